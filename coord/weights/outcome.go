package weights

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// RecordOrder records the outcome of an order.
func (p *Planner) RecordOrder(now time.Time, engine structs.HostName, outcome OrderOutcome) {
	state := p.endAction(engine, ActionOrder)
	switch {
	case state == nil:
	case outcome.Refused:
		// Another daemon is the collector now. Read-backs report the version that
		// it installs.
		state.followsNewerTerm, state.lateOrderPossible, state.consecutiveFailures = true, false, 0
		p.scheduleReadBack(state, now, p.limits.MaxReadBackInterval)
	case outcome.Failed || outcome.RunningVersion != state.orderedVersion:
		state.lateOrderPossible = true
		p.recordFailure(state, now)
	default:
		p.recordInstalled(state, now)
	}
}

// recordInstalled records that an engine runs the ordered version. An engine that
// might still carry out another order is read back after ReadBackDelay.
func (p *Planner) recordInstalled(state *engineState, now time.Time) {
	readBackSoon := !state.EnforcesFencing || state.lateOrderPossible
	state.runningVersion, state.versionKnown, state.orderedInTerm = state.orderedVersion, true, true
	state.lateOrderPossible, state.consecutiveFailures = false, 0
	if readBackSoon {
		p.scheduleReadBack(state, now, p.limits.ReadBackDelay)
	} else {
		p.scheduleReadBack(state, now, p.limits.MaxReadBackInterval)
	}
}

// RecordRead records the version that an engine reports, or that it did not
// respond. It returns whether the engine has returned to an older version.
func (p *Planner) RecordRead(now time.Time, engine structs.HostName, version structs.WeightVersion, answered bool) bool {
	state := p.endAction(engine, ActionRead)
	if state == nil {
		return false
	}
	if !answered {
		p.recordFailure(state, now)
		return false
	}
	rolledBack := state.versionKnown && version < state.runningVersion
	if rolledBack {
		// The engine restarted or carried out another daemon's order, so it
		// may no longer store this term.
		state.orderedInTerm, state.followsNewerTerm, state.readBackInterval = false, false, 0
	}
	state.runningVersion, state.versionKnown, state.consecutiveFailures = version, true, 0
	p.scheduleReadBack(state, now, min(p.limits.MaxReadBackInterval, max(2*state.readBackInterval, p.limits.ReadBackDelay)))
	return rolledBack
}

// endAction ends the call in flight to an engine and returns the engine's state.
// It returns nil if the engine is no longer listed or has no such call.
func (p *Planner) endAction(engine structs.HostName, kind ActionKind) *engineState {
	state := p.engines[engine]
	if state == nil || state.inFlight != kind {
		return nil
	}
	state.inFlight = 0
	if !state.listed {
		delete(p.engines, engine)
		return nil
	}
	return state
}

// scheduleReadBack sets the time of the next read-back.
func (p *Planner) scheduleReadBack(state *engineState, now time.Time, interval time.Duration) {
	state.readBackInterval = interval
	state.readBackAt, state.notBefore = now.Add(interval), now
}

// recordFailure delays the next call to an engine, exponentially in the number of
// consecutive failures.
func (p *Planner) recordFailure(state *engineState, now time.Time) {
	delay := p.limits.RetryDelay
	for i := 0; i < state.consecutiveFailures && delay < p.limits.MaxRetryDelay; i++ {
		delay *= 2
	}
	state.consecutiveFailures++
	state.notBefore = now.Add(min(delay, p.limits.MaxRetryDelay))
}
