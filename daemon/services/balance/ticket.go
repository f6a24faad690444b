package balance

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// ticket is a place that a request holds on a server.
type ticket struct {
	service *service
	view    *view
	place   *place
	tier    int
	class   structs.Class
	print   quarantine.Fingerprint
	suspect bool
	retried bool
	begun   time.Time
	done    atomic.Bool
}

func (t *ticket) take() {
	t.place.window.reached(t.place.inFlight.Add(1))
	t.view.tiers[t.tier].own.Add(1)
	if t.suspect {
		t.place.suspects.Add(1)
	}
}

// finish gives the place back and tells what was learned. Only the first call
// counts.
func (t *ticket) finish(outcome contract.TicketOutcome) {
	if t.done.Swap(true) {
		return
	}
	t.place.inFlight.Add(-1)
	t.view.tiers[t.tier].own.Add(-1)
	if t.suspect {
		t.place.suspects.Add(-1)
	}
	now := t.service.clock.Now()
	t.view.pool.leave(now, t.class, now.Sub(t.begun))
	t.charge(outcome.Bytes)
	t.learn(outcome)
	t.service.arm()
}

const microsPerUnit = 1e6

// charge counts the bytes between regions and their price.
func (t *ticket) charge(bytes int64) {
	tier := &t.view.table.Tiers()[t.tier]
	if tier.SameRegion || bytes == 0 {
		return
	}
	t.service.metrics.Count("balance.cross_region_bytes", bytes)
	t.service.metrics.Count("balance.cross_region_price_micros", int64(math.Round(tier.Cost(bytes)*microsPerUnit)))
}

// learn sums up what the outcome says of the server and of the request.
func (t *ticket) learn(outcome contract.TicketOutcome) {
	if outcome.Version != 0 && t.place.version.Swap(uint64(outcome.Version)) != uint64(outcome.Version) {
		t.tell(eventVersion)
	}
	switch kind := classify(outcome.Err); kind {
	case eventAnswered:
		t.place.window.finished.Add(1)
		t.place.window.latency.Add(int64(outcome.Latency) / int64(max(1, outcome.Units)))
		if t.place.failing.Swap(false) {
			t.tell(eventAnswered)
			t.service.hosts.Report(t.place.name, contract.SignalAnswered)
		}
		if t.print != 0 && (t.suspect || t.retried) {
			t.tell(eventCleared)
		}
	case eventNone:
	default:
		t.place.failing.Store(true)
		t.place.window.refused.Add(1)
		if kind == eventUnreached {
			t.service.hosts.Report(t.place.name, contract.SignalFailedConnect)
		}
		if kind == eventBroke && t.print != 0 {
			t.service.undecided.add(t.print, t.place.name)
		}
		if result.CodeOf(outcome.Err) == result.BackendRefused {
			kind = t.refused()
		}
		if !t.tell(kind) {
			t.service.undecided.settle(t.place.name)
			t.place.refusing.Store(false)
		}
	}
}

// refused reports a server that takes no new work. The other servers go before
// it from now on, and not only once the host list's view has changed.
func (t *ticket) refused() eventKind {
	t.service.hosts.Report(t.place.name, contract.SignalLeaving)
	if t.place.refusing.Swap(true) {
		return eventSlow
	}
	return eventRefused
}

// tell reports whether the control goroutine will hear of an event.
func (t *ticket) tell(kind eventKind) bool {
	event := event{server: t.place.name, kind: kind, print: t.print}
	if t.service.control.events.Post(event) != nil {
		t.service.metrics.Count("balance.events_dropped", 1)
		return false
	}
	return true
}

// classify tells what an error says of the server.
func classify(err error) eventKind {
	switch {
	case err == nil:
		return eventAnswered
	case errors.Is(err, context.Canceled):
		return eventNone
	case errors.Is(err, context.DeadlineExceeded):
		return eventSlow
	}
	switch result.CodeOf(err) {
	case result.NoBackend:
		return eventUnreached
	case result.BackendBroke, result.AnswerCut:
		return eventBroke
	case result.BackendRefused, result.BackendOverloaded, result.BackendBusy, result.OutcomeUnknown:
		return eventSlow
	}
	return eventNone
}
