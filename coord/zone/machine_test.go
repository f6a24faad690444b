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

// The durations are in units of the machine's own clock.
const (
	machineGrantDuration = 10 * time.Nanosecond
	machineStoreTTL      = 10 * time.Nanosecond
	machineHosts         = 5
)

// machineStore is the state of the platform's store.
type machineStore struct {
	term           structs.Term
	leaseUntil     Instant
	head           GrantState
	ackedRound     change.Round
	roster         Roster
	rosterTerm     structs.Term
	rosterRevision int
}

// rosterWrite is a compare-and-swap of the roster that may take effect at any
// time.
type rosterWrite struct {
	term             structs.Term
	expectedRevision int
	roster           Roster
}

// machineDaemon is one incarnation of a daemon. Its collector is nil unless it has
// the role.
type machineDaemon struct {
	self      structs.Incarnation
	offset    Instant
	follower  *Follower
	state     GrantState
	collector *Collector
	// pendingRead is a read of the head that has not been delivered.
	pendingRead    *GrantState
	rosterRevision int
	proposal       *rosterWrite
	// In Round, a frozen daemon does nothing, and a partitioned one does not reach
	// the store; followedIndex is the daemon that it sends its requests to.
	partitioned, frozen bool
	followedIndex       int
}

type machineMessage struct {
	from, to    int
	member      structs.Incarnation
	requestedAt Instant
	request     Ask
	reply       *Reply
}

// machine runs the collectors and followers of one zone. Freezes, partitions and
// outages are actions that do not happen.
type machine struct {
	now              Instant
	store            machineStore
	daemons          []*machineDaemon
	messages         []machineMessage
	lateRosterWrites []rosterWrite
	startCount       uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{}
	m.store.head.Revision = 1
	for range rapid.SampledFrom([]int{2, 2, 3, 3, 4, machineHosts}).Draw(t, "hosts") {
		m.daemons = append(m.daemons, nil)
		m.startDaemon(t, len(m.daemons)-1)
		m.store.roster = m.store.roster.With(m.daemons[len(m.daemons)-1].self)
	}
	if rapid.Bool().Draw(t, "empty roster") {
		m.store.roster = nil
	}
	return m
}

func (m *machine) startDaemon(t *rapid.T, i int) {
	m.startCount++
	self := structs.Incarnation{Host: structs.HostName(strconv.Itoa(i)), Start: m.startCount}
	m.daemons[i] = &machineDaemon{
		self:     self,
		offset:   Instant(rapid.IntRange(0, 100).Draw(t, "offset")) - m.now,
		follower: NewFollower(self, machineGrantDuration),
	}
}

func (m *machine) localTime(d *machineDaemon) Instant { return m.now + d.offset }

func (m *machine) anyIndex(t *rapid.T) int {
	return rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")
}

// anyCollector draws a daemon that has the role of collector, or returns nil if
// there is none.
func (m *machine) anyCollector(t *rapid.T) *machineDaemon {
	var all []*machineDaemon
	for _, d := range m.daemons {
		if d.collector != nil {
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return rapid.SampledFrom(all).Draw(t, "collector")
}

// updateState sets the state unless the daemon has a newer one.
func (d *machineDaemon) updateState(state GrantState) {
	if state.Revision >= d.state.Revision && state.Round >= d.state.Round {
		d.state = state
	}
}

func (d *machineDaemon) stepDown() { d.collector, d.pendingRead, d.proposal = nil, nil, nil }

func (d *machineDaemon) applyReply(requestedAt Instant, reply Reply) {
	if reply.Revision > 0 && reply.Term >= d.follower.Term() {
		d.updateState(GrantState{Round: reply.Round, Undecided: reply.Undecided, Revision: reply.Revision})
	}
	d.follower.ApplyReply(requestedAt, reply)
}

// Cut partitions a daemon from the store, or ends its partition.
func (m *machine) Cut(t *rapid.T) {
	d := m.daemons[m.anyIndex(t)]
	d.partitioned = !d.partitioned
}

// Freeze pauses a daemon or resumes it.
func (m *machine) Freeze(t *rapid.T) {
	d := m.daemons[m.anyIndex(t)]
	d.frozen = !d.frozen
}

// Follow makes a daemon send its requests to another daemon.
func (m *machine) Follow(t *rapid.T) { m.daemons[m.anyIndex(t)].followedIndex = m.anyIndex(t) }

// Round advances the clock, and then runs each daemon that is not frozen once.
func (m *machine) Round(t *rapid.T) {
	m.Tick(t)
	for _, d := range m.daemons {
		if d.collector == nil || d.frozen {
			continue
		}
		if !d.partitioned && m.renewStoreLease(d, false) {
			head := m.store.head
			d.pendingRead = &head
			m.finishRead(d)
			m.tryAcknowledge(d)
		}
		if d.collector != nil {
			m.renewOwnGrant(d)
		}
	}
	for i, d := range m.daemons {
		target := m.daemons[d.followedIndex]
		if d.collector != nil || d.frozen || target.frozen || target.collector == nil {
			continue
		}
		message := machineMessage{from: i, to: d.followedIndex, member: d.self, requestedAt: m.localTime(d), request: d.follower.NewRequest()}
		if m.handleRequest(&message) {
			m.deliverReply(message)
		}
	}
}

func (m *machine) Tick(t *rapid.T) {
	m.now += Instant(rapid.IntRange(1, 6).Draw(t, "span"))
}

// Check verifies the guarantee: a daemon that has a grant and no undecided round
// has the accepted revision.
func (m *machine) Check(t *rapid.T) {
	for _, d := range m.daemons {
		serves := m.localTime(d) < d.follower.GrantEnds() && !d.state.Undecided
		if serves && d.state.Revision != m.store.head.Revision {
			t.Fatalf("%v serves revision %d; accepted revision is %d", d.self, d.state.Revision, m.store.head.Revision)
		}
	}
}

// commonActions returns the actions that every run needs to make progress. Each
// run adds a random subset of the others, so that some faults are frequent in
// some runs.
func (m *machine) commonActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"round": m.Round, "round again": m.Round, "round once more": m.Round,
		"take role": m.TakeRole, "stage": m.Stage, "decide": m.Decide, "": m.Check,
	}
}

func (m *machine) optionalActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick": m.Tick, "renew": m.Renew, "revoke": m.Revoke, "begin read": m.BeginRead, "end read": m.EndRead,
		"ask self": m.AskSelf, "ask": m.Ask, "deliver": m.Deliver, "restart": m.Restart, "acknowledge": m.Acknowledge,
		"propose": m.Propose, "write": m.Write, "land": m.Land, "cut": m.Cut, "freeze": m.Freeze, "follow": m.Follow,
	}
}

// TestZone_NoStaleRevisionServed runs collectors and followers with delays, losses,
// freezes, partitions, restarts and changes of the roster. No daemon with a grant
// may serve a revision older than the accepted one.
func TestZone_NoStaleRevisionServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		actions, optional := m.commonActions(), m.optionalActions()
		for _, name := range slices.Sorted(maps.Keys(optional)) {
			if rapid.Bool().Draw(t, name) {
				actions[name] = optional[name]
			}
		}
		t.Repeat(actions)
	})
}
