package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Waiting is what waits of a class or a workspace.
type Waiting struct {
	Name          string  `json:"name"`
	Waiting       int     `json:"waiting"`
	OldestSeconds float64 `json:"oldest_seconds"`
	// Asked and Got are what a workspace asks and gets at this daemon, in places, and Due
	// the part of what it asks that it is due.
	Asked float64 `json:"asked,omitempty"`
	Got   float64 `json:"got,omitempty"`
	Due   float64 `json:"due,omitempty"`
}

func (w *Waiting) add(other Waiting) {
	w.Waiting += other.Waiting
	w.OldestSeconds = max(w.OldestSeconds, other.OldestSeconds)
	w.Asked += other.Asked
	w.Got += other.Got
}

// QueueReport is who runs and waits at a service. Its size is bounded.
type QueueReport struct {
	Running int `json:"running"`
	// Places is the number of slots; zero if they are not counted.
	Places        int       `json:"places,omitempty"`
	Waiting       int       `json:"waiting"`
	OldestSeconds float64   `json:"oldest_seconds"`
	Classes       []Waiting `json:"classes,omitempty"`
	// Workspaces are those with the most that waits or is asked, and Others the sum of the
	// rest, of which OtherCount is the number.
	Workspaces []Waiting `json:"workspaces,omitempty"`
	Others     *Waiting  `json:"others,omitempty"`
	OtherCount int       `json:"other_count,omitempty"`
}

// WaitTally adds up what waits for a QueueReport. The zero value is empty.
type WaitTally struct {
	classes    map[string]Waiting
	workspaces map[string]Waiting
}

// Add counts some of a class and a workspace, the oldest of which has waited for a time. An
// empty class or workspace is not told apart.
func (t *WaitTally) Add(class string, workspace structs.WorkspaceName, count int, oldest time.Duration) {
	if count == 0 {
		return
	}
	some := Waiting{Waiting: count, OldestSeconds: max(0, oldest.Seconds())}
	t.classes = addTo(t.classes, class, some)
	t.addWorkspace(workspace, some)
}

func (t *WaitTally) addWorkspace(name structs.WorkspaceName, some Waiting) {
	t.workspaces = addTo(t.workspaces, string(name), some)
}

func addTo(sums map[string]Waiting, name string, some Waiting) map[string]Waiting {
	if sums == nil {
		sums = make(map[string]Waiting)
	}
	sum := sums[name]
	sum.Name, sum.Due = name, max(sum.Due, some.Due)
	sum.add(some)
	sums[name] = sum
	return sums
}

// Report returns the report with at most the given number of workspaces.
func (t *WaitTally) Report(top int) QueueReport {
	var report QueueReport
	for _, class := range t.classes {
		report.Waiting += class.Waiting
		report.OldestSeconds = max(report.OldestSeconds, class.OldestSeconds)
	}
	report.Classes = named(t.classes)
	report.Workspaces = named(t.workspaces)
	if len(report.Workspaces) > top {
		rest := &Waiting{Name: "others"}
		for _, workspace := range report.Workspaces[top:] {
			rest.add(workspace)
		}
		report.Others, report.OtherCount = rest, len(report.Workspaces)-top
		report.Workspaces = report.Workspaces[:top]
	}
	return report
}

// named returns the sums that have a name, the largest first.
func named(sums map[string]Waiting) []Waiting {
	list := slices.DeleteFunc(slices.Collect(maps.Values(sums)), func(w Waiting) bool { return w.Name == "" })
	slices.SortFunc(list, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Report returns who runs and waits, with at most the given number of workspaces. It
// changes nothing.
func (c *AdmissionController[T]) Report(now time.Time, top int) QueueReport {
	var tally WaitTally
	for i := range c.queues {
		for _, w := range c.queues[i].waiters {
			tally.Add(w.Request.Class.String(), w.Request.Workspace, 1, now.Sub(w.enqueuedAt))
		}
	}
	for name, stored := range c.accounts.byName {
		a := *stored
		a.decay(now)
		if a.queued > 0 || a.asked >= negligiblePlaces {
			tally.addWorkspace(name, Waiting{Asked: a.asked, Got: a.got, Due: a.due})
		}
	}
	report := tally.Report(top)
	report.Running, report.Places = c.running, c.accounts.bound(c.capacity)
	return report
}
