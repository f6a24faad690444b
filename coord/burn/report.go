package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Alarm names a pair of windows that are looked at together: the long one
// shows that the burn matters, the short one that it goes on.
type Alarm struct {
	Name        string
	Short, Long time.Duration
	// Threshold is the burn rate from which the alarm is raised, over both
	// windows.
	Threshold float64
}

// Alarms lists the alarms, the fastest first. The fast one is raised when a
// fifth of the period's budget would be gone in an hour.
func Alarms() []Alarm {
	return []Alarm{
		{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "medium", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
		{Name: "slow", Short: 6 * time.Hour, Long: Period, Threshold: 1},
	}
}

// Window is the burn over a span of time.
type Window struct {
	// Seconds is the span.
	Seconds float64 `json:"seconds"`
	Count
	// Rate is the part of bad requests over the part that the objective
	// allows: at 1 the budget lasts exactly for the period.
	Rate float64 `json:"rate"`
}

// AlarmStatus is the standing of one alarm.
type AlarmStatus struct {
	Name      string  `json:"name"`
	Short     Window  `json:"short"`
	Long      Window  `json:"long"`
	Threshold float64 `json:"limit"`
	Raised    bool    `json:"raised"`
}

// Row is the burn of one workspace and class.
type Row struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	Class     structs.Class         `json:"class"`
	Objective float64               `json:"objective"`
	Alarms    []AlarmStatus         `json:"alarms"`
	// BudgetLeft is the part of the period's error budget that is left; it is
	// negative once the budget is overdrawn.
	BudgetLeft float64 `json:"budget_left"`
	// ExhaustedInSeconds is in how many seconds the budget is used up at the rate of
	// the last hour: zero when it is already, and nil when it never is.
	ExhaustedInSeconds *float64 `json:"exhausted_in,omitempty"`
}

// Report is the burn of all workspaces and classes.
type Report struct {
	At time.Time `json:"at"`
	// PeriodSeconds is the period of the error budget.
	PeriodSeconds float64 `json:"period_seconds"`
	Rows          []Row   `json:"rows"`
}

// Sort puts the rows into the order of workspaces and classes.
func (r *Report) Sort() {
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
}

// NewRow reports on a series.
func NewRow(now time.Time, workspace structs.WorkspaceName, class structs.Class, objective float64, series *Series) Row {
	row := Row{Workspace: workspace, Class: class, Objective: objective}
	row.fill(func(span time.Duration) Count { return series.Sum(now, span) })
	return row
}

// fill computes a row from the counts over the windows.
func (r *Row) fill(over func(time.Duration) Count) {
	window := func(span time.Duration) Window {
		count := over(span)
		return Window{Seconds: span.Seconds(), Count: count, Rate: rate(count, r.Objective)}
	}
	r.Alarms = nil
	for _, alarm := range Alarms() {
		short, long := window(alarm.Short), window(alarm.Long)
		r.Alarms = append(r.Alarms, AlarmStatus{
			Name:      alarm.Name,
			Short:     short,
			Long:      long,
			Threshold: alarm.Threshold,
			Raised:    short.Rate >= alarm.Threshold && long.Rate >= alarm.Threshold,
		})
	}
	r.BudgetLeft = 1 - window(Period).Rate
	r.ExhaustedInSeconds = exhaustion(r.BudgetLeft, window(time.Hour).Rate)
}

// over finds the counts of a window in a row, or none.
func (r *Row) over(span time.Duration) Count {
	for _, alarm := range r.Alarms {
		for _, window := range []Window{alarm.Short, alarm.Long} {
			if window.Seconds == span.Seconds() {
				return window.Count
			}
		}
	}
	return Count{}
}

// Merge adds the reports of several daemons up. Each daemon counts only the
// requests that came to it.
func Merge(reports []Report) Report {
	merged := Report{PeriodSeconds: Period.Seconds()}
	type key struct {
		workspace structs.WorkspaceName
		class     structs.Class
	}
	rows := make(map[key][]Row)
	for _, report := range reports {
		if report.At.After(merged.At) {
			merged.At = report.At
		}
		for _, row := range report.Rows {
			k := key{workspace: row.Workspace, class: row.Class}
			rows[k] = append(rows[k], row)
		}
	}
	for k, parts := range rows {
		row := Row{Workspace: k.workspace, Class: k.class, Objective: parts[0].Objective}
		row.fill(func(span time.Duration) Count {
			var sum Count
			for i := range parts {
				sum.add(parts[i].over(span))
			}
			return sum
		})
		merged.Rows = append(merged.Rows, row)
	}
	merged.Sort()
	return merged
}

func rate(count Count, objective float64) float64 {
	allowed := 1 - objective
	if count.total() == 0 || allowed <= 0 {
		return 0
	}
	return float64(count.Bad) / float64(count.total()) / allowed
}

// exhaustion is the time in seconds until the budget is used up at a rate.
func exhaustion(left, rate float64) *float64 {
	if left > 0 && rate <= 0 {
		return nil
	}
	seconds := 0.0
	if left > 0 {
		seconds = left * Period.Seconds() / rate
	}
	return &seconds
}
