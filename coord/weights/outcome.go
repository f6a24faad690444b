package weights

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// RecordOrder tells how an order ended.
func (p *Planner) RecordOrder(now time.Time, engine structs.HostName, outcome OrderOutcome) {
	m := p.ended(engine, ActionOrder)
	switch {
	case m == nil:
	case outcome.Refused:
		// Another daemon collects now; read-backs tell what became of it.
		m.refused, m.unsure, m.failures = true, false, 0
		p.readAfter(m, now, p.limits.MaxReadBackInterval)
	case outcome.Failed || outcome.RunningVersion != m.ordered:
		m.unsure = true
		p.failed(m, now)
	default:
		p.carriedOut(m, now)
	}
}

// carriedOut notes that an engine runs what was ordered. An engine that might
// still carry out another order is read back soon.
func (p *Planner) carriedOut(m *member, now time.Time) {
	soon := !m.EnforcesFencing || m.unsure
	m.running, m.known, m.installed = m.ordered, true, true
	m.unsure, m.failures = false, 0
	if soon {
		p.readAfter(m, now, p.limits.ReadBackDelay)
	} else {
		p.readAfter(m, now, p.limits.MaxReadBackInterval)
	}
}

// RecordRead tells which version an engine says it runs, or that it did not answer.
// It reports whether the engine went back to an older version.
func (p *Planner) RecordRead(now time.Time, engine structs.HostName, version structs.WeightVersion, answered bool) bool {
	m := p.ended(engine, ActionRead)
	if m == nil {
		return false
	}
	if !answered {
		p.failed(m, now)
		return false
	}
	wentBack := m.known && version < m.running
	if wentBack {
		// A restart or another daemon's order; the term may be forgotten.
		m.installed, m.refused, m.gap = false, false, 0
	}
	m.running, m.known, m.failures = version, true, 0
	p.readAfter(m, now, min(p.limits.MaxReadBackInterval, max(2*m.gap, p.limits.ReadBackDelay)))
	return wentBack
}

// ended ends the call under way on an engine. It returns nil for one that is
// no longer listed or has no such call.
func (p *Planner) ended(engine structs.HostName, kind ActionKind) *member {
	m := p.members[engine]
	if m == nil || m.busy != kind {
		return nil
	}
	m.busy = 0
	if !m.present {
		delete(p.members, engine)
		return nil
	}
	return m
}

func (p *Planner) readAfter(m *member, now time.Time, gap time.Duration) {
	m.gap = gap
	m.readAt, m.resume = now.Add(gap), now
}

// failed lets an engine rest after a failed call.
func (p *Planner) failed(m *member, now time.Time) {
	delay := p.limits.RetryDelay
	for i := 0; i < m.failures && delay < p.limits.MaxRetryDelay; i++ {
		delay *= 2
	}
	m.failures++
	m.resume = now.Add(min(delay, p.limits.MaxRetryDelay))
}
