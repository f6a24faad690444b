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
		MaxConcurrentOrders: 2, MaxConcurrentReads: 2, OrdersPerSecond: 8, ReadsPerSecond: 100,
		RetryDelay: time.Second, MaxRetryDelay: 8 * time.Second, ReadBackDelay: 2 * time.Second, MaxReadBackInterval: time.Minute,
	}
}

// newTestPlanner returns a planner of term 7 with the target version 2.
func newTestPlanner(engines ...Engine) *Planner {
	p := NewPlanner(limits(), 7, start)
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

// TestPlanner_FirstActions: an engine that enforces fencing is ordered at once,
// any other is read first.
func TestPlanner_FirstActions(t *testing.T) {
	p := newTestPlanner(Engine{Name: "a", EnforcesFencing: true}, Engine{Name: "b"})
	must.Eq(t, []Action{order("a", 2), read("b")}, p.TakeDueActions(start))
	p.RecordOrder(start, "a", OrderOutcome{RunningVersion: 2})
	must.False(t, p.RecordRead(start, "b", 1, true))
	must.Eq(t, []Action{order("b", 2)}, p.TakeDueActions(start))
	must.Eq(t, Progress{Engines: 2, Current: 1}, p.Progress("m"))
}

// TestPlanner_RefusedOrder: an engine that follows a newer term is only read.
func TestPlanner_RefusedOrder(t *testing.T) {
	p := newTestPlanner(Engine{Name: "a", EnforcesFencing: true})
	p.TakeDueActions(start)
	p.RecordOrder(start, "a", OrderOutcome{Refused: true})
	must.Eq(t, []Action{read("a")}, p.TakeDueActions(start.Add(time.Hour)))
}

// TestPlanner_ReorderAfterRollback: an engine that ignores terms may return to an
// older version after a late order; the read-back finds it.
func TestPlanner_ReorderAfterRollback(t *testing.T) {
	p := newTestPlanner(Engine{Name: "a"})
	p.TakeDueActions(start)
	p.RecordRead(start, "a", 1, true)
	p.TakeDueActions(start)
	p.RecordOrder(start, "a", OrderOutcome{RunningVersion: 2})
	due, ok := p.NextDue(start)
	must.True(t, ok)
	must.Eq(t, start.Add(limits().ReadBackDelay), due)
	must.Eq(t, []Action{read("a")}, p.TakeDueActions(due))
	must.True(t, p.RecordRead(due, "a", 1, true))
	must.Eq(t, []Action{order("a", 2)}, p.TakeDueActions(due))
}

// TestPlanner_FailedOrder: a failed order may have left the engine with a partial
// swap, so it is repeated without a read, and read back soon after.
func TestPlanner_FailedOrder(t *testing.T) {
	p := newTestPlanner(Engine{Name: "a", EnforcesFencing: true})
	p.TakeDueActions(start)
	p.RecordOrder(start, "a", OrderOutcome{Failed: true})
	must.SliceEmpty(t, p.TakeDueActions(start))
	due, _ := p.NextDue(start)
	must.Eq(t, start.Add(limits().RetryDelay), due)
	must.Eq(t, []Action{order("a", 2)}, p.TakeDueActions(due))
	p.RecordOrder(due, "a", OrderOutcome{RunningVersion: 2})
	must.Eq(t, []Action{read("a")}, p.TakeDueActions(due.Add(limits().ReadBackDelay)))
}

func TestPlanner_SupersedingVersion(t *testing.T) {
	p := newTestPlanner(Engine{Name: "a", EnforcesFencing: true}, Engine{Name: "b", EnforcesFencing: true}, Engine{Name: "c", EnforcesFencing: true})
	must.Eq(t, []Action{order("a", 2), order("b", 2)}, p.TakeDueActions(start))
	p.SetTarget("m", 3)
	p.SetTarget("m", 1)
	must.SliceEmpty(t, p.TakeDueActions(start))
	p.RecordOrder(start, "a", OrderOutcome{RunningVersion: 2})
	later := start.Add(time.Second)
	must.Eq(t, []Action{order("c", 3)}, p.TakeDueActions(later))
	p.RecordOrder(later, "b", OrderOutcome{RunningVersion: 2})
	must.Eq(t, []Action{order("a", 3)}, p.TakeDueActions(later.Add(time.Second)))
}

// TestPlanner_RolloutTime rolls a version out to a large zone, each of whose
// engines takes a second for a weight swap.
func TestPlanner_RolloutTime(t *testing.T) {
	const engines, swap, bound = 1250, time.Second, 15 * time.Second
	wide := limits()
	wide.MaxConcurrentOrders, wide.OrdersPerSecond = 128, 100
	p := NewPlanner(wide, 7, start)
	var list []Engine
	for i := range engines {
		list = append(list, Engine{Name: structs.HostName(fmt.Sprint("e", i)), Model: "m", EnforcesFencing: true})
	}
	p.SetEngines(list)
	p.SetTarget("m", 2)
	now, ends := start, map[structs.HostName]time.Time{}
	for p.Progress("m").Current < engines {
		for _, action := range p.TakeDueActions(now) {
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
				p.RecordOrder(now, name, OrderOutcome{RunningVersion: 2})
			}
		}
	}
	t.Logf("%d engines updated after %s", engines, now.Sub(start))
	must.LessEq(t, bound, now.Sub(start))
}
