package zone

import (
	"slices"

	"pgregory.net/rapid"
)

func (m *machine) TakeRole(t *rapid.T) {
	d := m.daemons[m.index(t)]
	if d.decide != nil || m.now <= m.store.leaseUntil && m.store.term > 0 {
		return
	}
	m.store.term++
	m.store.leaseUntil = m.now + machineTTL
	m.store.rosterAt++
	m.store.rosterTerm = m.store.term
	d.rosterAt = m.store.rosterAt
	d.decide = NewCollector(d.self, m.store.term, machineSpan, m.store.roster)
	d.decide.SetStoreLease(m.local(d) + machineTTL)
	m.askSelf(d)
	for _, other := range m.daemons {
		if rapid.Bool().Draw(t, "follows") {
			other.target = slices.Index(m.daemons, d)
		}
	}
}

func (m *machine) Renew(t *rapid.T) {
	if d := m.collector(t); d != nil {
		m.renew(d, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
	}
}

// renew reports whether the lease in the store was still there.
func (m *machine) renew(d *machineDaemon, lost bool) bool {
	if d.decide.Term() != m.store.term || m.now > m.store.leaseUntil {
		d.stepDown()
		return false
	}
	m.store.leaseUntil = m.now + machineTTL
	if !lost {
		d.decide.SetStoreLease(m.local(d) + machineTTL)
	}
	return true
}

func (m *machine) Revoke(t *rapid.T) {
	d := m.collector(t)
	if d == nil || rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		return
	}
	if d.decide.Term() == m.store.term {
		m.store.leaseUntil = m.now - 1
	}
	d.stepDown()
}

func (m *machine) BeginRead(t *rapid.T) {
	head := m.store.head
	if d := m.collector(t); d != nil {
		d.reading = &head
	}
}

func (m *machine) EndRead(t *rapid.T) {
	d := m.collector(t)
	if d == nil || d.reading == nil {
		return
	}
	m.endRead(d)
}

func (m *machine) endRead(d *machineDaemon) {
	d.learn(*d.reading)
	d.reading = nil
	d.decide.SetGrantState(d.known)
	m.askSelf(d)
}

func (m *machine) AskSelf(t *rapid.T) {
	if d := m.collector(t); d != nil {
		m.askSelf(d)
	}
}

func (m *machine) askSelf(d *machineDaemon) {
	for range 2 {
		now := m.local(d)
		d.take(now, d.decide.HandleRequest(now, d.follower.NewRequest()))
	}
}

func (m *machine) Ask(t *rapid.T) {
	from := m.index(t)
	d, to := m.daemons[from], m.collector(t)
	if to == nil || d.decide != nil {
		return
	}
	message := machineMessage{from: from, to: slices.Index(m.daemons, to), member: d.self, asked: m.local(d), ask: d.follower.NewRequest()}
	if rapid.IntRange(0, 2).Draw(t, "delayed") == 0 {
		m.messages = append(m.messages, message)
	} else if m.receive(&message) {
		m.deliver(message)
	}
}

// receive lets a collector answer and reports whether it did.
func (m *machine) receive(message *machineMessage) bool {
	d := m.daemons[message.to]
	if d.decide == nil {
		return false
	}
	if message.ask.Term > d.decide.Term() {
		d.stepDown()
		return false
	}
	reply := d.decide.HandleRequest(m.local(d), message.ask)
	message.reply = &reply
	return true
}

func (m *machine) deliver(message machineMessage) {
	if d := m.daemons[message.from]; d.self == message.member && d.decide == nil {
		d.take(message.asked, *message.reply)
	}
}

// Deliver moves a message that was delayed, or loses it.
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
		m.deliver(message)
	case m.receive(&message):
		m.messages = append(m.messages, message)
	}
}

func (m *machine) Restart(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		return
	}
	m.restart(t, m.index(t))
}

func (m *machine) Stage(t *rapid.T) {
	if m.store.head.Undecided {
		return
	}
	m.store.head.Round++
	m.store.head.Undecided = true
}

func (m *machine) Acknowledge(t *rapid.T) {
	if d := m.collector(t); d != nil {
		m.acknowledge(d)
	}
}

func (m *machine) acknowledge(d *machineDaemon) {
	if d.known.Undecided && d.decide.MayAcknowledge(m.local(d), d.known.Round) {
		m.store.acked = max(m.store.acked, d.known.Round)
	}
}

// Decide accepts the round when the zone has acknowledged it; the other zones
// may have done so at any time.
func (m *machine) Decide(t *rapid.T) {
	head := &m.store.head
	if !head.Undecided {
		return
	}
	if m.store.acked == head.Round {
		head.Revision++
	} else if rapid.IntRange(0, 30).Draw(t, "withdrawn") > 0 {
		return
	}
	head.Undecided = false
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
		for _, silent := range d.decide.UnresponsiveMembers(m.local(d), machineSpan) {
			next = next.Without(silent)
		}
	}
	if slices.Equal(next, d.decide.Roster()) || !d.decide.ProposeRoster(m.local(d), next) {
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
	d.decide.ResolveRoster(m.local(d), m.store.roster)
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
