package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// textLines builds the text form of an answer: a label and its value on each line.
type textLines struct{ lines []string }

func (t *textLines) add(label, format string, values ...any) {
	t.lines = append(t.lines, fmt.Sprintf("%-14s %s", label, fmt.Sprintf(format, values...)))
}

func (t *textLines) String() string { return strings.Join(t.lines, "\n") }

// managedStatusText returns the state of a daemon on a managed platform for people.
func managedStatusText(status contract.ManagedStatus) string {
	var t textLines
	t.add("host", "%s", status.Host)
	t.add("zone", "%s", status.Zone)
	t.add("configuration", "version %d", status.ConfigurationVersion)
	lease := "lease held"
	if !status.HoldsLease {
		lease = "no lease"
	}
	t.add("session", "%s, %s, %d live daemons", status.Session, lease, status.LiveDaemons)
	t.add("leader", "%s", holderText(status.Leader.Host, status.Leader.FencingToken, status.Leader.Since))
	if duties := status.Duties; duties != nil {
		suffix := ""
		if duties.IsSelf {
			suffix = ", this daemon"
		}
		t.add("duties", "%s", strings.Join(duties.Duties, ", "))
		t.add("holder", "%s%s", holderText(duties.Holder, duties.FencingToken, duties.Since), suffix)
	}
	if status.Usage != nil {
		addUsage(&t, *status.Usage)
	}
	for _, fleet := range status.Fleets {
		addFleet(&t, fleet)
	}
	for _, queue := range status.Queues {
		addQueue(&t, queue)
	}
	for _, reason := range slices.Sorted(maps.Keys(status.Refusals)) {
		t.add("refused", "%s: %d", reason, status.Refusals[reason])
	}
	for _, name := range status.Missing {
		t.add("missing", "%s did not report in time", name)
	}
	return t.String()
}

func holderText(host string, token uint64, since time.Time) string {
	if host == "" {
		host = "nobody"
	}
	text := host
	if token != 0 {
		text += fmt.Sprintf(", fencing token %d", token)
	}
	if since.IsZero() {
		return text
	}
	return text + ", since " + since.UTC().Format(time.RFC3339)
}

func addUsage(t *textLines, usage contract.UsageStatus) {
	for _, window := range usage.Reported {
		t.add("usage", "window %d: %d requests of %d workspaces, reported %.1f s after its end", window.Window, window.Requests, window.Workspaces, window.LateSeconds)
	}
	for _, window := range usage.Unreported {
		t.add("usage", "window %d: decided, not confirmed", window)
	}
}

func addFleet(t *textLines, fleet contract.FleetStatus) {
	t.add("fleet", "%s: needs %d servers (at least %d), %d plain and %d reclaimable expected", fleet.Service, fleet.Needed, fleet.Floor, fleet.Plain, fleet.Reclaimable)
	t.add("", "because of %.1f s of open work, %.1f s for all steps at once, due within %.1f s, %d running", fleet.OpenSeconds, fleet.StepSeconds, fleet.DueSeconds, fleet.Running)
	if !fleet.IsComplete {
		t.add("", "some work may be unknown, so that no server is taken away")
	}
	for _, order := range fleet.Orders {
		t.add("", "ordered %s at %s", order, fleet.OrderedAt.UTC().Format(time.RFC3339))
	}
}

func addQueue(t *textLines, queue contract.QueueStatus) {
	places := ""
	if queue.Places > 0 {
		places = fmt.Sprintf(" in %d places", queue.Places)
	}
	t.add("queue", "%s (%s): %d running%s, %d waiting, oldest %.1f s", queue.Service, queue.Kind, queue.Running, places, queue.Waiting, queue.OldestSeconds)
	for _, class := range queue.Classes {
		addWaiting(t, "class "+class.Name, class)
	}
	for _, workspace := range queue.Workspaces {
		addWaiting(t, "workspace "+workspace.Name, workspace)
	}
	if queue.Others != nil {
		addWaiting(t, fmt.Sprintf("%d other workspaces", queue.OtherCount), *queue.Others)
	}
}

func addWaiting(t *textLines, name string, waiting limit.Waiting) {
	share := ""
	if waiting.Asked > 0 {
		share = fmt.Sprintf("; asks %.2f places, gets %.2f", waiting.Asked, waiting.Got)
	}
	if waiting.Due > 0 {
		share += fmt.Sprintf(", due %.0f%% of what it asks", 100*waiting.Due)
	}
	t.add("", "%s: %d waiting, oldest %.1f s%s", name, waiting.Waiting, waiting.OldestSeconds, share)
}
