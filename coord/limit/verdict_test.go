package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestForecast_IsWhatAdmitDecides runs a random load on two controllers of which one is also
// asked for forecasts: each must be what Admit then decides, and the forecasts must change
// nothing.
func TestForecast_IsWhatAdmitDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked, plain := NewAdmissionController[int](3), NewAdmissionController[int](3)
		now := time.Unix(1000, 0)
		byDemand := rapid.Bool().Draw(t, "by demand")
		var running []structs.Class
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(running) > 0 && rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				class := running[0]
				running = running[1:]
				asked.Release(class, 40*time.Millisecond)
				plain.Release(class, 40*time.Millisecond)
				for {
					first, runs := asked.Dequeue(now)
					second, alsoRuns := plain.Dequeue(now)
					must.Eq(t, first == nil, second == nil)
					if first == nil {
						break
					}
					must.Eq(t, first.Request, second.Request)
					must.Eq(t, runs, alsoRuns)
					if runs {
						running = append(running, first.Request.Class)
					}
				}
				continue
			}
			request := Request{
				Workspace: structs.WorkspaceName(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))), ByDemand: byDemand,
				Class:    structs.Class(rapid.IntRange(0, structs.ClassCount-1).Draw(t, "class")),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Deadline: now.Add(time.Duration(rapid.IntRange(-1, 400).Draw(t, "deadline")) * time.Millisecond),
			}
			forecast := asked.Forecast(now, request)
			must.Eq(t, forecast, asked.Forecast(now, request))
			decision, expected := asked.Admit(now, request), plain.Admit(now, request)
			must.Eq(t, expected.Action, decision.Action)
			must.Eq(t, expected.RetryAfter, decision.RetryAfter)
			must.Eq(t, forecast.Action, decision.Action)
			must.Eq(t, forecast.Code, decision.Code)
			must.Eq(t, forecast.RetryAfter, decision.RetryAfter)
			if decision.Action == ActionRun {
				running = append(running, request.Class)
			}
			must.Eq(t, asked.Report(now, 9), plain.Report(now, 9))
		}
	})
}

// TestForecast_PlaceInQueue asks for places behind and before what waits.
func TestForecast_PlaceInQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewAdmissionController[int](1)
	for range 4 {
		c.Admit(now, Request{Workspace: "north", Class: structs.ClassDossier})
	}
	must.Eq(t, 4, c.Forecast(now, Request{Workspace: "north", Class: structs.ClassDossier}).Place)
	must.Eq(t, 2, c.Forecast(now, Request{Workspace: "south", Class: structs.ClassDossier}).Place)
	must.Eq(t, 1, c.Forecast(now, Request{Workspace: "north", Class: structs.ClassLookup}).Place)
}
