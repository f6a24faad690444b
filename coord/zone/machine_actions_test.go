package zone

import (
	"slices"

	"pgregory.net/rapid"
)

// TakeRole makes a daemon the collector if the store lease is free.
func (m *machine) TakeRole(t *rapid.T) {
	d := m.daemons[m.anyIndex(t)]
	if d.collector != nil || m.now <= m.store.leaseUntil && m.store.term > 0 {
		return
	}
	m.store.term++
	m.store.leaseUntil = m.now + machineStoreTTL
	m.store.rosterRevision++
	m.store.rosterTerm = m.store.term
	d.rosterRevision = m.store.rosterRevision
	d.collector = NewCollector(d.self, m.store.term, machineGrantDuration, m.store.roster)
	d.collector.SetStoreLease(m.localTime(d) + machineStoreTTL)
	m.renewOwnGrant(d)
	for _, other := range m.daemons {
		if rapid.Bool().Draw(t, "follows") {
			other.followedIndex = slices.Index(m.daemons, d)
		}
	}
}

func (m *machine) Renew(t *rapid.T) {
	if d := m.anyCollector(t); d != nil {
		m.renewStoreLease(d, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
	}
}

// renewStoreLease reports whether the lease in the store still existed. With lost,
// the lease is renewed but the collector gets no response.
func (m *machine) renewStoreLease(d *machineDaemon, lost bool) bool {
	if d.collector.Term() != m.store.term || m.now > m.store.leaseUntil {
		d.stepDown()
		return false
	}
	m.store.leaseUntil = m.now + machineStoreTTL
	if !lost {
		d.collector.SetStoreLease(m.localTime(d) + machineStoreTTL)
	}
	return true
}

func (m *machine) Revoke(t *rapid.T) {
	d := m.anyCollector(t)
	if d == nil || rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		return
	}
	if d.collector.Term() == m.store.term {
		m.store.leaseUntil = m.now - 1
	}
	d.stepDown()
}

func (m *machine) BeginRead(t *rapid.T) {
	head := m.store.head
	if d := m.anyCollector(t); d != nil {
		d.pendingRead = &head
	}
}

func (m *machine) EndRead(t *rapid.T) {
	d := m.anyCollector(t)
	if d == nil || d.pendingRead == nil {
		return
	}
	m.finishRead(d)
}

func (m *machine) finishRead(d *machineDaemon) {
	d.updateState(*d.pendingRead)
	d.pendingRead = nil
	d.collector.SetGrantState(d.state)
	m.renewOwnGrant(d)
}

func (m *machine) AskSelf(t *rapid.T) {
	if d := m.anyCollector(t); d != nil {
		m.renewOwnGrant(d)
	}
}

// renewOwnGrant sends two requests of a collector to itself: the first adopts its
// term, the second is granted.
func (m *machine) renewOwnGrant(d *machineDaemon) {
	for range 2 {
		now := m.localTime(d)
		d.applyReply(now, d.collector.HandleRequest(now, d.follower.NewRequest()))
	}
}

func (m *machine) Ask(t *rapid.T) {
	from := m.anyIndex(t)
	d, to := m.daemons[from], m.anyCollector(t)
	if to == nil || d.collector != nil {
		return
	}
	message := machineMessage{from: from, to: slices.Index(m.daemons, to), member: d.self, requestedAt: m.localTime(d), request: d.follower.NewRequest()}
	if rapid.IntRange(0, 2).Draw(t, "delayed") == 0 {
		m.messages = append(m.messages, message)
	} else if m.handleRequest(&message) {
		m.deliverReply(message)
	}
}

// handleRequest sets the reply of a collector and reports whether there is one.
func (m *machine) handleRequest(message *machineMessage) bool {
	d := m.daemons[message.to]
	if d.collector == nil {
		return false
	}
	if message.request.Term > d.collector.Term() {
		d.stepDown()
		return false
	}
	reply := d.collector.HandleRequest(m.localTime(d), message.request)
	message.reply = &reply
	return true
}

func (m *machine) deliverReply(message machineMessage) {
	if d := m.daemons[message.from]; d.self == message.member && d.collector == nil {
		d.applyReply(message.requestedAt, *message.reply)
	}
}

// Deliver delivers a delayed message or drops it.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	message := m.messages[at]
	m.messages = slices.Delete(m.messages, at, at+1)
	switch {
	case rapid.IntRange(0, 4).Draw(t, "lost") == 0:
	case message.reply != nil:
		m.deliverReply(message)
	case m.handleRequest(&message):
		m.messages = append(m.messages, message)
	}
}

func (m *machine) Restart(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		return
	}
	m.startDaemon(t, m.anyIndex(t))
}

func (m *machine) Stage(t *rapid.T) {
	if m.store.head.Undecided {
		return
	}
	m.store.head.Round++
	m.store.head.Undecided = true
}

func (m *machine) Acknowledge(t *rapid.T) {
	if d := m.anyCollector(t); d != nil {
		m.tryAcknowledge(d)
	}
}

func (m *machine) tryAcknowledge(d *machineDaemon) {
	if d.state.Undecided && d.collector.MayAcknowledge(m.localTime(d), d.state.Round) {
		m.store.ackedRound = max(m.store.ackedRound, d.state.Round)
	}
}

// Decide accepts the round if the zone has acknowledged it, and seldom withdraws it
// if not. The acknowledgements of the other zones are not modelled.
func (m *machine) Decide(t *rapid.T) {
	head := &m.store.head
	if !head.Undecided {
		return
	}
	if m.store.ackedRound == head.Round {
		head.Revision++
	} else if rapid.IntRange(0, 30).Draw(t, "withdrawn") > 0 {
		return
	}
	head.Undecided = false
}

// Propose starts a change of the roster.
func (m *machine) Propose(t *rapid.T) {
	d := m.anyCollector(t)
	if d == nil {
		return
	}
	next := d.collector.Roster()
	added := m.daemons[m.anyIndex(t)].self
	if !next.Has(added) {
		next = next.With(added)
	}
	if rapid.Bool().Draw(t, "remove") {
		for _, unresponsive := range d.collector.UnresponsiveMembers(m.localTime(d), machineGrantDuration) {
			next = next.Without(unresponsive)
		}
	}
	if slices.Equal(next, d.collector.Roster()) || !d.collector.ProposeRoster(m.localTime(d), next) {
		return
	}
	d.proposal = &rosterWrite{term: d.collector.Term(), expectedRevision: d.rosterRevision, roster: next}
	m.sendRosterWrite(t, d)
}

// Write repeats the write of a proposed roster.
func (m *machine) Write(t *rapid.T) {
	d := m.anyCollector(t)
	if d == nil || d.proposal == nil {
		return
	}
	m.sendRosterWrite(t, d)
}

// sendRosterWrite delays the write, applies it without a response, or applies it
// and delivers the response.
func (m *machine) sendRosterWrite(t *rapid.T, d *machineDaemon) {
	switch rapid.IntRange(0, 3).Draw(t, "write") {
	case 0:
		m.lateRosterWrites = append(m.lateRosterWrites, *d.proposal)
		return
	case 1:
		m.applyRosterWrite(*d.proposal)
		return
	}
	if !m.applyRosterWrite(*d.proposal) && m.store.rosterTerm != d.collector.Term() {
		d.stepDown()
		return
	}
	d.rosterRevision, d.proposal = m.store.rosterRevision, nil
	d.collector.ResolveRoster(m.localTime(d), m.store.roster)
}

// applyRosterWrite is the compare-and-swap of the roster.
func (m *machine) applyRosterWrite(write rosterWrite) bool {
	if m.store.rosterRevision != write.expectedRevision {
		return false
	}
	m.store.rosterRevision++
	m.store.roster, m.store.rosterTerm = write.roster, write.term
	return true
}

// Land applies a delayed write of the roster.
func (m *machine) Land(t *rapid.T) {
	if len(m.lateRosterWrites) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.lateRosterWrites)-1).Draw(t, "try")
	m.applyRosterWrite(m.lateRosterWrites[at])
	m.lateRosterWrites = slices.Delete(m.lateRosterWrites, at, at+1)
}
