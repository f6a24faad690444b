package zone

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The spans of the machine, in its own units of time.
const (
	machineSpan  = 10 * time.Nanosecond
	machineTTL   = 10 * time.Nanosecond
	machineHosts = 5
)

// machineStore stands for the platform's store.
type machineStore struct {
	term       structs.Term
	leaseUntil Instant
	head       GrantState
	acked      change.Round
	roster     Roster
	rosterTerm structs.Term
	rosterAt   int
}

// rosterTry is one write of the roster that may take effect at any time.
type rosterTry struct {
	term     structs.Term
	expected int
	roster   Roster
}

// machineDaemon is one incarnation of a daemon.
type machineDaemon struct {
	self     structs.Incarnation
	offset   Instant
	follower *Follower
	known    GrantState
	decide   *Collector
	// reading is a read of the head that was not yet delivered.
	reading  *GrantState
	rosterAt int
	proposal *rosterTry
	// cut and frozen daemons take no part in Round; target is the collector
	// that it asks.
	cut, frozen bool
	target      int
}

type machineMessage struct {
	from, to int
	member   structs.Incarnation
	asked    Instant
	ask      LeaseRequest
	reply    *LeaseReply
}

// machine drives the rules of several daemons of one zone. The actions that it
// doesn't take stand for freezes, cuts and outages.
type machine struct {
	now      Instant
	store    machineStore
	daemons  []*machineDaemon
	messages []machineMessage
	tries    []rosterTry
	starts   uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{}
	m.store.head.Revision = 1
	for range rapid.SampledFrom([]int{2, 2, 3, 3, 4, machineHosts}).Draw(t, "hosts") {
		m.daemons = append(m.daemons, nil)
		m.restart(t, len(m.daemons)-1)
		m.store.roster = m.store.roster.With(m.daemons[len(m.daemons)-1].self)
	}
	if rapid.Bool().Draw(t, "empty roster") {
		m.store.roster = nil
	}
	return m
}

func (m *machine) restart(t *rapid.T, i int) {
	m.starts++
	self := structs.Incarnation{Host: structs.HostName(strconv.Itoa(i)), Start: m.starts}
	m.daemons[i] = &machineDaemon{
		self:     self,
		offset:   Instant(rapid.IntRange(0, 100).Draw(t, "offset")) - m.now,
		follower: NewFollower(self, machineSpan),
	}
}

func (m *machine) local(d *machineDaemon) Instant { return m.now + d.offset }

func (m *machine) index(t *rapid.T) int {
	return rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")
}

// collector draws a daemon that collects, or returns nil when there is none.
func (m *machine) collector(t *rapid.T) *machineDaemon {
	var all []*machineDaemon
	for _, d := range m.daemons {
		if d.decide != nil {
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return rapid.SampledFrom(all).Draw(t, "collector")
}

// learn takes a state over unless a newer one is known.
func (d *machineDaemon) learn(news GrantState) {
	if news.Revision >= d.known.Revision && news.Round >= d.known.Round {
		d.known = news
	}
}

func (d *machineDaemon) stepDown() { d.decide, d.reading, d.proposal = nil, nil, nil }

func (d *machineDaemon) take(asked Instant, reply LeaseReply) {
	if reply.Revision > 0 && reply.Term >= d.follower.Term() {
		d.learn(GrantState{Round: reply.Round, Undecided: reply.Undecided, Revision: reply.Revision})
	}
	d.follower.ApplyReply(asked, reply)
}

// Cut cuts a daemon from the store, or heals the cut.
func (m *machine) Cut(t *rapid.T) {
	d := m.daemons[m.index(t)]
	d.cut = !d.cut
}

// Freeze stops a daemon or lets it go on.
func (m *machine) Freeze(t *rapid.T) {
	d := m.daemons[m.index(t)]
	d.frozen = !d.frozen
}

// Follow lets a daemon ask another collector.
func (m *machine) Follow(t *rapid.T) { m.daemons[m.index(t)].target = m.index(t) }

// Round lets some time pass in which all daemons do their work.
func (m *machine) Round(t *rapid.T) {
	m.Tick(t)
	for _, d := range m.daemons {
		if d.decide == nil || d.frozen {
			continue
		}
		if !d.cut && m.renew(d, false) {
			head := m.store.head
			d.reading = &head
			m.endRead(d)
			m.acknowledge(d)
		}
		if d.decide != nil {
			m.askSelf(d)
		}
	}
	for i, d := range m.daemons {
		target := m.daemons[d.target]
		if d.decide != nil || d.frozen || target.frozen || target.decide == nil {
			continue
		}
		message := machineMessage{from: i, to: d.target, member: d.self, asked: m.local(d), ask: d.follower.NewRequest()}
		if m.receive(&message) {
			m.deliver(message)
		}
	}
}

func (m *machine) Tick(t *rapid.T) {
	m.now += Instant(rapid.IntRange(1, 6).Draw(t, "span"))
}

// Check is the promise: who has a grant and knows of no undecided round knows
// the accepted revision.
func (m *machine) Check(t *rapid.T) {
	for _, d := range m.daemons {
		serves := m.local(d) < d.follower.GrantEnds() && !d.known.Undecided
		if serves && d.known.Revision != m.store.head.Revision {
			t.Fatalf("%v serves revision %d, but %d is accepted", d.self, d.known.Revision, m.store.head.Revision)
		}
	}
}

// always are the actions without which nothing happens; each run takes a
// random part of the others, so that some faults come often in some runs.
func (m *machine) always() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"round": m.Round, "round again": m.Round, "round once more": m.Round,
		"take role": m.TakeRole, "stage": m.Stage, "decide": m.Decide, "": m.Check,
	}
}

func (m *machine) sometimes() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick": m.Tick, "renew": m.Renew, "revoke": m.Revoke, "begin read": m.BeginRead, "end read": m.EndRead,
		"ask self": m.AskSelf, "ask": m.Ask, "deliver": m.Deliver, "restart": m.Restart, "acknowledge": m.Acknowledge,
		"propose": m.Propose, "write": m.Write, "land": m.Land, "cut": m.Cut, "freeze": m.Freeze, "follow": m.Follow,
	}
}

// TestZone_neverServesAnOldRevision runs the rules of collectors and followers
// against delays, losses, freezes, cuts, restarts and changes of the roster.
func TestZone_neverServesAnOldRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		actions, sometimes := m.always(), m.sometimes()
		for _, name := range slices.Sorted(maps.Keys(sometimes)) {
			if rapid.Bool().Draw(t, name) {
				actions[name] = sometimes[name]
			}
		}
		t.Repeat(actions)
	})
}
