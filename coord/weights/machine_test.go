package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestPlanner_StateMachine runs a planner against engines that restart, stop in
// the middle of a weight swap, lose responses and carry out late orders of a
// former collector. After the faults end, every engine must run the complete
// newest version.
func TestPlanner_StateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"act":     m.act,
			"publish": m.publish,
			"late":    m.lateOrder,
			"land":    m.land,
			"restart": m.restart,
			"wait":    m.wait,
			"":        m.check,
		})
		m.settle(t)
	})
}

// fakeEngine is the actual state of an engine. A partial one stopped in the middle
// of a weight swap.
type fakeEngine struct {
	fenced  bool
	term    structs.Term
	running structs.WeightVersion
	partial bool
}

func (e *fakeEngine) applyOrder(term structs.Term, version structs.WeightVersion) bool {
	if e.fenced && term < e.term {
		return false
	}
	e.term, e.running, e.partial = max(e.term, term), version, false
	return true
}

type machine struct {
	planner  *Planner
	now      time.Time
	engines  map[structs.HostName]*fakeEngine
	names    []structs.HostName
	newest   structs.WeightVersion
	inFlight []Action
	// lateOrders have no response and may still be carried out.
	lateOrders []Action
	orderTimes []time.Time
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: start, engines: map[structs.HostName]*fakeEngine{}, newest: 2}
	m.planner = NewPlanner(limits(), 7, start)
	var list []Engine
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		name := structs.HostName(fmt.Sprint("e", i))
		m.engines[name] = &fakeEngine{fenced: rapid.Bool().Draw(t, "fenced"), term: 6, running: 1}
		m.names = append(m.names, name)
		list = append(list, Engine{Name: name, Model: "m", EnforcesFencing: m.engines[name].fenced})
	}
	m.planner.SetEngines(list)
	m.planner.SetTarget("m", m.newest)
	return m
}

// beginDue begins the calls that are due and checks the limits.
func (m *machine) beginDue(t *rapid.T) {
	for _, action := range m.planner.TakeDueActions(m.now) {
		if action.Kind == ActionOrder {
			must.Eq(t, m.newest, action.Version)
			m.orderTimes = append(m.orderTimes, m.now)
		}
		m.inFlight = append(m.inFlight, action)
	}
	busy, orders := map[structs.HostName]bool{}, 0
	for _, action := range m.inFlight {
		must.False(t, busy[action.Engine])
		busy[action.Engine] = true
		if action.Kind == ActionOrder {
			orders++
		}
	}
	must.LessEq(t, limits().MaxConcurrentOrders, orders)
	for i := range m.orderTimes {
		window := m.orderTimes[len(m.orderTimes)-1].Sub(m.orderTimes[i])
		must.LessEq(t, 2+limits().OrdersPerSecond*window.Seconds()+0.01, float64(len(m.orderTimes)-i))
	}
}

// act ends a call in flight, successfully or not.
func (m *machine) act(t *rapid.T) {
	m.beginDue(t)
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "call")
	action := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	m.end(action, rapid.SampledFrom([]string{"well", "half", "lost", "floating"}).Draw(t, "how"))
}

func (m *machine) end(action Action, how string) {
	e := m.engines[action.Engine]
	if action.Kind == ActionRead {
		m.planner.RecordRead(m.now, action.Engine, e.running, how == "well")
		return
	}
	if how == "half" || how == "floating" {
		e.partial = e.partial || how == "half"
		if how == "floating" {
			m.lateOrders = append(m.lateOrders, action)
		}
		m.planner.RecordOrder(m.now, action.Engine, OrderOutcome{Failed: true})
		return
	}
	applied := e.applyOrder(action.Term, action.Version)
	m.planner.RecordOrder(m.now, action.Engine, OrderOutcome{RunningVersion: action.Version, Refused: !applied && how == "well", Failed: how == "lost"})
}

func (m *machine) publish(*rapid.T) {
	m.newest++
	m.planner.SetTarget("m", m.newest)
}

func (m *machine) anyEngine(t *rapid.T) *fakeEngine {
	return m.engines[rapid.SampledFrom(m.names).Draw(t, "engine")]
}

// lateOrder carries out an order that a former collector sent before it was
// paused.
func (m *machine) lateOrder(t *rapid.T) { m.anyEngine(t).applyOrder(6, 1) }

// land carries out the late orders.
func (m *machine) land(*rapid.T) {
	for _, action := range m.lateOrders {
		m.engines[action.Engine].applyOrder(action.Term, action.Version)
	}
	m.lateOrders = nil
}

func (m *machine) restart(t *rapid.T) {
	e := m.anyEngine(t)
	e.running, e.partial, e.term = 1, false, 0
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) check(t *rapid.T) { m.beginDue(t) }

// settle ends every call successfully for twice the longest interval between
// read-backs: one interval to find an old version, one to order it again.
func (m *machine) settle(t *rapid.T) {
	m.land(t)
	until := m.now.Add(2 * limits().MaxReadBackInterval)
	for m.now.Before(until) {
		for _, action := range m.inFlight {
			m.end(action, "well")
		}
		m.inFlight = nil
		m.beginDue(t)
		next, ok := m.planner.NextDue(m.now)
		if len(m.inFlight) == 0 && ok {
			m.now = laterOf(next, m.now.Add(time.Millisecond))
		}
	}
	for name, e := range m.engines {
		must.Eq(t, m.newest, e.running, must.Sprintf("engine %s", name))
		must.False(t, e.partial, must.Sprintf("engine %s", name))
	}
}
