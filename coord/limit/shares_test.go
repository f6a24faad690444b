package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestDivide_Properties checks that no more is due than there is, that all places are due
// if enough is asked, that each workspace is due at least a quarter as much of what it asks
// as all, and that one which asks no more than another of its priority is not due less.
func TestDivide_Properties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var demands []Demand
		asked := 0.0
		for i := range rapid.IntRange(1, 78).Draw(r, "workspaces") {
			demand := Demand{
				Workspace: structs.WorkspaceName(fmt.Sprint("w", i)), Priority: rapid.IntRange(0, 2).Draw(r, "priority"),
				Places: rapid.Float64Range(0.001, 100).Draw(r, "places"),
			}
			asked += demand.Places
			demands = append(demands, demand)
		}
		places := rapid.Float64Range(0.5, 300).Draw(r, "available")
		due, sum := Divide(places, demands), 0.0
		for _, a := range demands {
			sum += due[a.Workspace] * a.Places
			must.LessEq(r, 1+1e-9, due[a.Workspace])
			must.GreaterEq(r, min(1, guaranteedPart*places/asked)-1e-9, due[a.Workspace])
			for _, b := range demands {
				if a.Priority <= b.Priority && a.Places <= b.Places {
					must.GreaterEq(r, due[b.Workspace]-1e-9, due[a.Workspace])
				}
			}
		}
		must.InDelta(r, min(places, asked), sum, 1e-6)
	})
}

// TestDivide_AcrossDaemons reports a large workspace that looks small at each daemon, beside
// one that asks as much in all, at one daemon. Both must be due the same.
func TestDivide_AcrossDaemons(t *testing.T) {
	pool := NewPool()
	const service = structs.ServiceName("s")
	for i := range 50 {
		demands := []Demand{{Workspace: "spread", Places: 1}}
		if i == 0 {
			demands = append(demands, Demand{Workspace: "one", Places: 50}, Demand{Workspace: "small", Places: 1})
		}
		pool.Record(fmt.Sprint("daemon-", i), 10, 7, map[structs.ServiceName][]Demand{service: demands})
	}
	first, other := pool.Divide("daemon-0", service, 20), pool.Divide("daemon-1", service, 20)
	must.InDelta(t, first.Due["one"], first.Due["spread"], 1e-9)
	must.InDelta(t, 1, first.Due["small"], 1e-9)
	must.InDelta(t, 20, first.Places+49*other.Places, 1e-9)
	must.Eq(t, 0, pool.Divide("daemon-0", service, 200).Places)
	pool.Record("daemon-0", 20, 17, nil)
	must.MapEmpty(t, pool.Divide("daemon-0", service, 20).Due)
}

// pressing is a workspace that asks for slots at a rate, for some work each.
type pressing struct {
	workspace structs.WorkspaceName
	priority  int
	class     structs.Class
	perSecond int
	work      time.Duration
}

// serve plays a minute of a service with some slots and returns which part of its requests
// each workspace got served.
func serve(slots int, load []pressing) map[structs.WorkspaceName]float64 {
	type run struct {
		request Request
		work    time.Duration
		ends    time.Time
	}
	const step = time.Millisecond
	c := NewAdmissionController[time.Duration](slots)
	var running []run
	asked, served := make(map[structs.WorkspaceName]int), make(map[structs.WorkspaceName]float64)
	start := func(now time.Time, request Request, work time.Duration) {
		served[request.Workspace]++
		running = append(running, run{request, work, now.Add(work)})
	}
	for tick := range int(time.Minute / step) {
		now := epoch.Add(time.Duration(tick) * step)
		for i := len(running) - 1; i >= 0; i-- {
			if r := running[i]; !now.Before(r.ends) {
				running = append(running[:i], running[i+1:]...)
				c.Release(r.request.Class, r.work)
				c.RecordWork(r.request.Workspace, r.work)
			}
		}
		for _, p := range load {
			for n := tick * p.perSecond / 1000; n < (tick+1)*p.perSecond/1000; n++ {
				asked[p.workspace]++
				request := Request{Workspace: p.workspace, Class: p.class, ByDemand: true, Priority: p.priority, Deadline: now.Add(500 * time.Millisecond)}
				switch decision := c.Admit(now, request); decision.Action {
				case ActionRun:
					start(now, request, p.work)
				case ActionQueue:
					decision.Waiter.Value = p.work
				}
			}
		}
		for w, runs := c.Dequeue(now); w != nil; w, runs = c.Dequeue(now) {
			if runs {
				start(now, w.Request, w.Value)
			}
		}
	}
	for name := range asked {
		served[name] /= float64(asked[name])
	}
	return served
}

// TestAdmissionController_Shares presses a service with ten times what it can do. A small
// workspace must get what it asks, one with work of another size no more than its part, and
// none less than a quarter as much as all, whatever the priorities of workspaces and routes.
func TestAdmissionController_Shares(t *testing.T) {
	large := pressing{"large", 1, structs.ClassDossier, 4000, 25 * time.Millisecond}
	small := pressing{"small", 1, structs.ClassDossier, 5, 25 * time.Millisecond}
	heavy := pressing{"heavy", 1, structs.ClassDossier, 100, 250 * time.Millisecond}
	served := serve(10, []pressing{large, small})
	must.Greater(t, 0.95, served["small"])
	must.Between(t, 0.08, served["large"], 0.11)

	served = serve(10, []pressing{large, small, heavy})
	must.Greater(t, 0.95, served["small"])
	// Both ask more than they are due, in work and not in requests. How much work a request
	// is shows only after some of them.
	due := Divide(10, []Demand{{Workspace: "large", Places: 100}, {Workspace: "small", Places: 0.125}, {Workspace: "heavy", Places: 25}})
	for _, name := range []structs.WorkspaceName{"large", "heavy"} {
		must.Between(t, 0.8*due[name], served[name], 1.2*due[name])
	}

	large.priority, large.class = 0, structs.ClassLookup
	served = serve(10, []pressing{large, small})
	all := 10 / (0.025 * 4005)
	must.Greater(t, 0.25*all, served["small"])
	small.priority, small.class = 0, structs.ClassDraft
	large.priority = 1
	must.Greater(t, 0.95, serve(10, []pressing{large, small})["small"])
}

// TestAdmissionController_SmallQueue checks that a workspace which asks little may still
// ask for some things at once beside one that fills the queue.
func TestAdmissionController_SmallQueue(t *testing.T) {
	c := NewAdmissionController[int](1)
	for range 1000 {
		c.Admit(epoch, Request{Workspace: "large", ByDemand: true})
	}
	later := epoch.Add(divideInterval)
	for range minWorkspaceQueue {
		must.Eq(t, ActionQueue, c.Admit(later, Request{Workspace: "small", ByDemand: true}).Action)
	}
	must.Eq(t, result.FairShareExceeded, c.Admit(later, Request{Workspace: "small", ByDemand: true}).Code)
}
