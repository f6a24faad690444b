package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var testModels = []structs.ServiceName{"model-0", "model-1", "model-2", "model-3"}

// paceOf makes two of three engines faster than the rest.
func paceOf(index int) time.Duration {
	if index%3 == 2 {
		return 56 * time.Millisecond
	}
	return 43 * time.Millisecond
}

// mostRuns lets four owners place the items of their steps on 40 shared engines at the
// same moment, and again once the reports on the runs have passed. It returns the most
// runs on an engine after each of both.
func mostRuns(t *testing.T, knowsHomes, shares bool, items int) (atOnce, after int) {
	t.Helper()
	servers := newServers(40)
	start := time.Unix(1000, 0)
	owners := make([]SharedRuns, len(testModels))
	placed := make([]map[structs.HostName]int, len(testModels))
	runs := make(map[structs.HostName]int)
	round := func(now time.Time, models []structs.ServiceName) int {
		for owner, model := range models {
			engines := make([]Engine, len(servers))
			for i, server := range servers {
				engines[i] = Engine{
					Server: server, Pace: paceOf(i), LocalItems: placed[owner][server.ID],
					OtherItems: owners[owner].Others(server.ID, now),
					IsForeign:  knowsHomes && HomeModel(server.ID, testModels) != model,
				}
			}
			selector := NewEngineSelector(engines, 0, uint64(owner))
			for range items {
				choice, ok := selector.Select(18, nil, resume.Position{})
				if !ok {
					break
				}
				selector.Assign(choice)
				placed[owner][engines[choice].Server.ID]++
				runs[engines[choice].Server.ID]++
			}
		}
		most := 0
		for _, count := range runs {
			most = max(most, count)
		}
		return most
	}
	for owner := range owners {
		placed[owner] = make(map[structs.HostName]int)
	}
	atOnce = round(start, testModels)
	for owner := range owners {
		var report []EngineRuns
		for server, count := range placed[owner] {
			report = append(report, EngineRuns{Server: server, Runs: count})
		}
		for other := range owners {
			if shares && other != owner {
				owners[other].Report(string(testModels[owner]), ReportedRuns(report), start)
			}
		}
	}
	return atOnce, round(start.Add(50*time.Millisecond), testModels[:1])
}

// TestSharedRuns_StepsAtTheSameMoment plays four trainers whose steps are asked at the same
// moment on engines with eight slots each.
func TestSharedRuns_StepsAtTheSameMoment(t *testing.T) {
	slots := newServers(1)[0].Slots
	atOnce, _ := mostRuns(t, false, false, 60)
	must.Greater(t, slots+slots/4, atOnce, must.Sprint("the load of this test does not show the fault"))
	atOnce, after := mostRuns(t, true, true, 60)
	// Owners whose own engines are full place the rest before they know of each other.
	must.LessEq(t, slots+slots/4, atOnce)
	must.LessEq(t, max(slots, atOnce), after)
}

// TestSharedRuns_OwnerGone plays an owner that dies with runs. Its slots are free again
// once its reports have lapsed.
func TestSharedRuns_OwnerGone(t *testing.T) {
	var shared SharedRuns
	now := time.Unix(1000, 0)
	shared.Report("gone", []EngineRuns{{Server: "engine-1", Runs: 5}}, now)
	shared.Report("other", []EngineRuns{{Server: "engine-1", Runs: 2}}, now.Add(time.Second))
	must.Eq(t, 7, shared.Others("engine-1", now.Add(time.Second)))
	must.Eq(t, 2, shared.Others("engine-1", now.Add(sharedRunsTTL+time.Millisecond)))
	shared.Report("other", nil, now.Add(2*sharedRunsTTL))
	must.Eq(t, 0, shared.Others("engine-1", now.Add(2*sharedRunsTTL)))
	must.MapLen(t, 1, shared.owners)
}

// TestReportedRuns_Bounded keeps reports small at thousands of engines.
func TestReportedRuns_Bounded(t *testing.T) {
	var runs []EngineRuns
	for i := range 10_000 {
		runs = append(runs, EngineRuns{Server: structs.HostName(fmt.Sprint("engine-", i)), Runs: i % 9})
	}
	reported := ReportedRuns(runs)
	must.Len(t, maxReportedEngines, reported)
	must.Eq(t, 8, reported[len(reported)-1].Runs)
	perSecond := time.Second / RunsInterval(len(reported)) * time.Duration(16*len(reported))
	must.Less(t, 10_000, perSecond)
}

// TestTakesNow_SteadyOwner plays an owner whose waiting items fill each slot that its own
// runs leave, before another owner hears of it. The other owner must still get its engines.
func TestTakesNow_SteadyOwner(t *testing.T) {
	server := newServers(1)[0]
	crowded := Engine{Server: server, Pace: fastPace, OtherItems: server.Slots}
	must.True(t, crowded.TakesNow())
	choice, ok := NewEngineSelector([]Engine{crowded}, 0, 1).Select(18, nil, resume.Position{})
	must.True(t, ok)
	must.Eq(t, 0, choice)
	crowded.IsForeign = true
	must.False(t, crowded.TakesNow())
	crowded.OtherItems--
	must.True(t, crowded.TakesNow())
}

// TestSelect_RestartedEngine offers an engine that was just restarted beside one with idle
// connections. It must get items.
func TestSelect_RestartedEngine(t *testing.T) {
	servers := newServers(2)
	engines := []Engine{
		{Server: servers[0], Pace: fastPace + time.Millisecond, BestPace: fastPace, Connections: servers[0].Slots, LocalItems: 2},
		{Server: servers[1]},
	}
	choice, ok := NewEngineSelector(engines, 0, 1).Select(18, nil, resume.Position{})
	must.True(t, ok)
	must.Eq(t, 1, choice)
}
