package balance

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// ticket is a slot that a request holds on a server.
type ticket struct {
	service     *service
	view        *serviceView
	counters    *serverCounters
	tierIndex   int
	admission   limit.Request
	fingerprint quarantine.Fingerprint
	isSuspect   bool
	isRetry     bool
	started     time.Time
	isFinished  atomic.Bool
}

func (t *ticket) acquire() {
	t.counters.limitWindow.recordPeak(t.counters.inFlight.Add(1))
	t.view.tierLoads[t.tierIndex].own.Add(1)
	if t.isSuspect {
		t.counters.suspects.Add(1)
	}
}

// finish releases the slot and records the outcome. Only the first call has an
// effect.
func (t *ticket) finish(outcome contract.TicketOutcome) {
	if t.isFinished.Swap(true) {
		return
	}
	t.counters.inFlight.Add(-1)
	t.view.tierLoads[t.tierIndex].own.Add(-1)
	if t.isSuspect {
		t.counters.suspects.Add(-1)
	}
	now := t.service.clock.Now()
	t.releasePlace(now, outcome.Err)
	t.recordTransfer(outcome.Bytes)
	t.recordOutcome(outcome)
	t.service.signalTraffic()
}

const microsPerUnit = 1e6

// recordTransfer counts the bytes sent between regions and their price.
func (t *ticket) recordTransfer(bytes int64) {
	tier := &t.view.table.Tiers()[t.tierIndex]
	if tier.SameRegion || bytes == 0 {
		return
	}
	t.service.metrics.Count("balance.cross_region_bytes", bytes)
	t.service.metrics.Count("balance.cross_region_price_micros", int64(math.Round(tier.Cost(bytes)*microsPerUnit)))
}

// recordOutcome records what the outcome shows about the server and the
// request.
func (t *ticket) recordOutcome(outcome contract.TicketOutcome) {
	if outcome.Version != 0 && t.counters.weightVersion.Swap(uint64(outcome.Version)) != uint64(outcome.Version) {
		t.postEvent(eventVersionChanged)
	}
	if t.isFullServer(outcome.Err) {
		t.counters.limitWindow.failedCount.Add(1)
		return
	}
	switch kind := classify(outcome.Err); kind {
	case eventAnswered:
		t.counters.answeredAt.Store(t.service.clock.Now().UnixNano())
		t.counters.limitWindow.finishedCount.Add(1)
		t.counters.limitWindow.totalLatency.Add(int64(outcome.Latency) / int64(max(1, outcome.Units)))
		if t.counters.isFailing.Swap(false) {
			t.postEvent(eventAnswered)
			t.service.hosts.Report(t.counters.name, contract.SignalAnswered)
		}
		if t.fingerprint != 0 && (t.isSuspect || t.isRetry) {
			t.postEvent(eventSuspectAnswered)
		}
	case eventNone:
	default:
		t.counters.isFailing.Store(true)
		t.counters.limitWindow.failedCount.Add(1)
		if kind == eventConnectFailed {
			t.service.hosts.Report(t.counters.name, contract.SignalFailedConnect)
		}
		if kind == eventConnectionLost && t.fingerprint != 0 {
			t.service.unconfirmed.add(t.fingerprint, t.counters.name)
		}
		if result.CodeOf(outcome.Err) == result.BackendRefused {
			kind = t.recordRefusal()
		}
		if !t.postEvent(kind) {
			t.service.unconfirmed.resolve(t.counters.name)
			t.counters.isRefusing.Store(false)
		}
	}
}

// recordRefusal reports a server that takes no new work and returns the kind of
// the event. Other servers are preferred from now on, before the host list's
// view changes.
func (t *ticket) recordRefusal() eventKind {
	t.service.hosts.Report(t.counters.name, contract.SignalLeaving)
	if t.counters.isRefusing.Swap(true) {
		return eventFailed
	}
	return eventRefused
}

// postEvent posts an event to the control goroutine and reports whether the
// mailbox accepted it.
func (t *ticket) postEvent(kind eventKind) bool {
	event := event{server: t.counters.name, kind: kind, fingerprint: t.fingerprint}
	if t.service.control.events.Post(event) != nil {
		t.service.metrics.Count("balance.events_dropped", 1)
		return false
	}
	return true
}

// classify returns the kind of event that an error shows about the server.
func classify(err error) eventKind {
	switch {
	case err == nil:
		return eventAnswered
	case errors.Is(err, context.Canceled):
		return eventNone
	case errors.Is(err, context.DeadlineExceeded):
		return eventFailed
	}
	switch result.CodeOf(err) {
	case result.NoBackend:
		return eventConnectFailed
	case result.BackendBroke, result.AnswerCut:
		return eventConnectionLost
	case result.BackendRefused, result.BackendOverloaded, result.BackendBusy, result.OutcomeUnknown:
		return eventFailed
	}
	return eventNone
}
