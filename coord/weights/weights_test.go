package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func limits() Limits {
	return Limits{
		Orders: 2, Reads: 2, OrdersPerSecond: 8, ReadsPerSecond: 100,
		Retry: time.Second, MaxRetry: 8 * time.Second, Confirm: 2 * time.Second, Audit: time.Minute,
	}
}

// planOf returns a plan of term 7 with engines and version 2 to run.
func planOf(engines ...Engine) *Plan {
	p := New(limits(), 7, start)
	for i := range engines {
		engines[i].Model = "m"
	}
	p.SetEngines(engines)
	p.SetTarget("m", 2)
	return p
}

func order(engine structs.HostName, version structs.WeightVersion) Action {
	return Action{Kind: ActionOrder, Engine: engine, Model: "m", Version: version, Term: 7}
}

func read(engine structs.HostName) Action {
	return Action{Kind: ActionRead, Engine: engine, Model: "m", Term: 7}
}

func TestPlan_OrdersFencedAtOnceAndReadsTheOthersFirst(t *testing.T) {
	p := planOf(Engine{Name: "a", Fenced: true}, Engine{Name: "b"})
	must.Eq(t, []Action{order("a", 2), read("b")}, p.Due(start))
	p.Ordered(start, "a", OrderOutcome{Ran: 2})
	must.False(t, p.Read(start, "b", 1, true))
	must.Eq(t, []Action{order("b", 2)}, p.Due(start))
	must.Eq(t, Progress{Engines: 2, Current: 1}, p.Progress("m"))
}

func TestPlan_RefusedEngineIsLeftToTheNewerCollector(t *testing.T) {
	p := planOf(Engine{Name: "a", Fenced: true})
	p.Due(start)
	p.Ordered(start, "a", OrderOutcome{Refused: true})
	must.Eq(t, []Action{read("a")}, p.Due(start.Add(time.Hour)))
}

func TestPlan_EngineThatIgnoresTermsIsReadBackAndOrderedAgain(t *testing.T) {
	p := planOf(Engine{Name: "a"})
	p.Due(start)
	p.Read(start, "a", 1, true)
	p.Due(start)
	p.Ordered(start, "a", OrderOutcome{Ran: 2})
	due, ok := p.NextDue(start)
	must.True(t, ok)
	must.Eq(t, start.Add(limits().Confirm), due)
	must.Eq(t, []Action{read("a")}, p.Due(due))
	must.True(t, p.Read(due, "a", 1, true))
	must.Eq(t, []Action{order("a", 2)}, p.Due(due))
}

func TestPlan_OrderThatStoppedHalfwayIsGivenAgain(t *testing.T) {
	p := planOf(Engine{Name: "a", Fenced: true})
	p.Due(start)
	p.Ordered(start, "a", OrderOutcome{Failed: true})
	must.SliceEmpty(t, p.Due(start))
	due, _ := p.NextDue(start)
	must.Eq(t, start.Add(limits().Retry), due)
	must.Eq(t, []Action{order("a", 2)}, p.Due(due))
	p.Ordered(due, "a", OrderOutcome{Ran: 2})
	must.Eq(t, []Action{read("a")}, p.Due(due.Add(limits().Confirm)))
}

func TestPlan_NewerVersionSupersedesAnUnfinishedOne(t *testing.T) {
	p := planOf(Engine{Name: "a", Fenced: true}, Engine{Name: "b", Fenced: true}, Engine{Name: "c", Fenced: true})
	must.Eq(t, []Action{order("a", 2), order("b", 2)}, p.Due(start))
	p.SetTarget("m", 3)
	p.SetTarget("m", 1)
	must.SliceEmpty(t, p.Due(start))
	p.Ordered(start, "a", OrderOutcome{Ran: 2})
	later := start.Add(time.Second)
	must.Eq(t, []Action{order("c", 3)}, p.Due(later))
	p.Ordered(later, "b", OrderOutcome{Ran: 2})
	must.Eq(t, []Action{order("a", 3)}, p.Due(later.Add(time.Second)))
}

// TestPlan_ZoneIsCurrentInTime rolls a version out to the engines of a large
// zone, each of which takes a second to swap.
func TestPlan_ZoneIsCurrentInTime(t *testing.T) {
	const engines, swap, bound = 1250, time.Second, 15 * time.Second
	wide := limits()
	wide.Orders, wide.OrdersPerSecond = 128, 100
	p := New(wide, 7, start)
	var list []Engine
	for i := range engines {
		list = append(list, Engine{Name: structs.HostName(fmt.Sprint("e", i)), Model: "m", Fenced: true})
	}
	p.SetEngines(list)
	p.SetTarget("m", 2)
	now, ends := start, map[structs.HostName]time.Time{}
	for p.Progress("m").Current < engines {
		for _, action := range p.Due(now) {
			must.Eq(t, ActionOrder, action.Kind)
			ends[action.Engine] = now.Add(swap)
		}
		next, ok := p.NextDue(now)
		for _, end := range ends {
			if !ok || end.Before(next) {
				next, ok = end, true
			}
		}
		now = next
		for name, end := range ends {
			if !end.After(now) {
				delete(ends, name)
				p.Ordered(now, name, OrderOutcome{Ran: 2})
			}
		}
	}
	t.Logf("%d engines after %s", engines, now.Sub(start))
	must.LessEq(t, bound, now.Sub(start))
}
