package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestPlan_StateMachine lets engines restart, swap halfway, lose answers and
// take late orders of a former collector. Once that ends, every engine comes
// to run the newest version whole.
func TestPlan_StateMachine(t *testing.T) {
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

// fakeEngine is the truth about an engine.
type fakeEngine struct {
	fenced  bool
	term    structs.Term
	running structs.WeightVersion
	half    bool
}

func (e *fakeEngine) obey(term structs.Term, version structs.WeightVersion) bool {
	if e.fenced && term < e.term {
		return false
	}
	e.term, e.running, e.half = max(e.term, term), version, false
	return true
}

type machine struct {
	plan    *Planner
	now     time.Time
	engines map[structs.HostName]*fakeEngine
	names   []structs.HostName
	newest  structs.WeightVersion
	pending []Action
	// floating are orders without an answer that may yet be carried out.
	floating []Action
	begun    []time.Time
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: start, engines: map[structs.HostName]*fakeEngine{}, newest: 2}
	m.plan = NewPlanner(limits(), 7, start)
	var list []Engine
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		name := structs.HostName(fmt.Sprint("e", i))
		m.engines[name] = &fakeEngine{fenced: rapid.Bool().Draw(t, "fenced"), term: 6, running: 1}
		m.names = append(m.names, name)
		list = append(list, Engine{Name: name, Model: "m", EnforcesFencing: m.engines[name].fenced})
	}
	m.plan.SetEngines(list)
	m.plan.SetTarget("m", m.newest)
	return m
}

// begin takes in the calls that are due and checks the limits.
func (m *machine) begin(t *rapid.T) {
	for _, action := range m.plan.TakeDueActions(m.now) {
		if action.Kind == ActionOrder {
			must.Eq(t, m.newest, action.Version)
			m.begun = append(m.begun, m.now)
		}
		m.pending = append(m.pending, action)
	}
	busy, orders := map[structs.HostName]bool{}, 0
	for _, action := range m.pending {
		must.False(t, busy[action.Engine])
		busy[action.Engine] = true
		if action.Kind == ActionOrder {
			orders++
		}
	}
	must.LessEq(t, limits().MaxConcurrentOrders, orders)
	for i := range m.begun {
		window := m.begun[len(m.begun)-1].Sub(m.begun[i])
		must.LessEq(t, 2+limits().OrdersPerSecond*window.Seconds()+0.01, float64(len(m.begun)-i))
	}
}

// act lets a call under way end well or badly.
func (m *machine) act(t *rapid.T) {
	m.begin(t)
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "call")
	action := m.pending[i]
	m.pending = append(m.pending[:i], m.pending[i+1:]...)
	m.end(action, rapid.SampledFrom([]string{"well", "half", "lost", "floating"}).Draw(t, "how"))
}

func (m *machine) end(action Action, how string) {
	e := m.engines[action.Engine]
	if action.Kind == ActionRead {
		m.plan.RecordRead(m.now, action.Engine, e.running, how == "well")
		return
	}
	if how == "half" || how == "floating" {
		e.half = e.half || how == "half"
		if how == "floating" {
			m.floating = append(m.floating, action)
		}
		m.plan.RecordOrder(m.now, action.Engine, OrderOutcome{Failed: true})
		return
	}
	obeyed := e.obey(action.Term, action.Version)
	m.plan.RecordOrder(m.now, action.Engine, OrderOutcome{RunningVersion: action.Version, Refused: !obeyed && how == "well", Failed: how == "lost"})
}

func (m *machine) publish(*rapid.T) {
	m.newest++
	m.plan.SetTarget("m", m.newest)
}

func (m *machine) pick(t *rapid.T) *fakeEngine {
	return m.engines[rapid.SampledFrom(m.names).Draw(t, "engine")]
}

// lateOrder is an order that a former collector gave before it was paused.
func (m *machine) lateOrder(t *rapid.T) { m.pick(t).obey(6, 1) }

// land carries out the orders that were on their way.
func (m *machine) land(*rapid.T) {
	for _, action := range m.floating {
		m.engines[action.Engine].obey(action.Term, action.Version)
	}
	m.floating = nil
}

func (m *machine) restart(t *rapid.T) {
	e := m.pick(t)
	e.running, e.half, e.term = 1, false, 0
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) check(t *rapid.T) { m.begin(t) }

// settle lets every call end well for as long as an engine may rest between
// two read-backs, and then for as long as it takes to order it again.
func (m *machine) settle(t *rapid.T) {
	m.land(t)
	until := m.now.Add(2 * limits().MaxReadBackInterval)
	for m.now.Before(until) {
		for _, action := range m.pending {
			m.end(action, "well")
		}
		m.pending = nil
		m.begin(t)
		next, ok := m.plan.NextDue(m.now)
		if len(m.pending) == 0 && ok {
			m.now = latest(next, m.now.Add(time.Millisecond))
		}
	}
	for name, e := range m.engines {
		must.Eq(t, m.newest, e.running, must.Sprintf("engine %s", name))
		must.False(t, e.half, must.Sprintf("engine %s", name))
	}
}
