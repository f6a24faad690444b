package zone

import "pgregory.net/rapid"

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
		message := machineMessage{from: i, to: d.target, member: d.self, asked: m.local(d), ask: d.follower.Ask()}
		if m.receive(&message) {
			m.deliver(message)
		}
	}
}

func (m *machine) Tick(t *rapid.T) {
	m.now += Instant(rapid.IntRange(1, 6).Draw(t, "span"))
}
