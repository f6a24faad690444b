package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestReport_Bounded lets many workspaces wait. The report must name only some of them, sum
// up the rest and change nothing.
func TestReport_Bounded(t *testing.T) {
	start := time.Unix(1000, 0)
	c := NewAdmissionController[int](10)
	const workspaces, top = 40, 5
	for round := range 3 {
		for i := range workspaces {
			name := structs.WorkspaceName(fmt.Sprintf("workspace-%02d", i))
			c.Admit(start.Add(time.Duration(round)*time.Second), Request{Workspace: name, ByDemand: true, Class: structs.ClassDraft})
		}
	}
	now := start.Add(4 * time.Second)
	report := c.Report(now, top)
	must.Eq(t, 10, report.Places)
	must.Eq(t, c.Running(), report.Running)
	must.Eq(t, c.QueueLength(structs.ClassDraft), report.Waiting)
	must.Eq(t, 4.0, report.OldestSeconds)
	must.Eq(t, []Waiting{{Name: "draft", Waiting: report.Waiting, OldestSeconds: 4}}, report.Classes)
	must.Len(t, top, report.Workspaces)
	must.Eq(t, workspaces-top, report.OtherCount)
	sum := report.Others.Waiting
	for _, workspace := range report.Workspaces {
		sum += workspace.Waiting
	}
	must.Eq(t, report.Waiting, sum)
	must.Eq(t, report, c.Report(now, top))
}
