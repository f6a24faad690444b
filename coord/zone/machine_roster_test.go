package zone

import (
	"slices"

	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// rosterTry is one write of the roster that may take effect at any time.
type rosterTry struct {
	term     structs.Term
	expected int
	roster   Roster
}

// Propose begins a change of the roster.
func (m *machine) Propose(t *rapid.T) {
	d := m.collector(t)
	if d == nil {
		return
	}
	next := d.decide.Roster()
	joins := m.daemons[m.index(t)].self
	if !next.Has(joins) {
		next = next.With(joins)
	}
	if rapid.Bool().Draw(t, "remove") {
		for _, silent := range d.decide.Silent(m.local(d), machineSpan) {
			next = next.Without(silent)
		}
	}
	if slices.Equal(next, d.decide.Roster()) || !d.decide.Propose(m.local(d), next) {
		return
	}
	d.proposal = &rosterTry{term: d.decide.Term(), expected: d.rosterAt, roster: next}
	m.write(t, d)
}

// Write tries a change of the roster again.
func (m *machine) Write(t *rapid.T) {
	d := m.collector(t)
	if d == nil || d.proposal == nil {
		return
	}
	m.write(t, d)
}

func (m *machine) write(t *rapid.T, d *machineDaemon) {
	switch rapid.IntRange(0, 3).Draw(t, "write") {
	case 0:
		m.tries = append(m.tries, *d.proposal)
		return
	case 1:
		m.land(*d.proposal)
		return
	}
	if !m.land(*d.proposal) && m.store.rosterTerm != d.decide.Term() {
		d.stepDown()
		return
	}
	d.rosterAt, d.proposal = m.store.rosterAt, nil
	d.decide.Resolve(m.local(d), m.store.roster)
}

// land is the compare-and-swap of the roster.
func (m *machine) land(try rosterTry) bool {
	if m.store.rosterAt != try.expected {
		return false
	}
	m.store.rosterAt++
	m.store.roster, m.store.rosterTerm = try.roster, try.term
	return true
}

// Land lets a delayed write of the roster take effect.
func (m *machine) Land(t *rapid.T) {
	if len(m.tries) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.tries)-1).Draw(t, "try")
	m.land(m.tries[at])
	m.tries = slices.Delete(m.tries, at, at+1)
}
