package scaling

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// PoolKey identifies the servers of a service in a zone that are ordered together.
type PoolKey struct {
	Zone structs.ZoneName
	// Reclaimable is set for the servers that the platform may take back, all of a zone
	// at once.
	Reclaimable bool
}

// Outcome is the outcome of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// OrderAccepted means that the platform executes the order.
	OrderAccepted Outcome = iota
	// OrderUnavailable means that the zone has no such servers at present.
	OrderUnavailable
	// OrderUnknown means that the order may take effect later, or never.
	OrderUnknown
	// OrderNotExecuted means that the order has no effect.
	OrderNotExecuted
)

const (
	// listingDelay is the time until the server list shows that a server has started, or
	// that one is draining: an interval of its reports and the delays of the list.
	listingDelay = 3 * time.Second
	// retryDelay is the pause after an order that may not have been executed.
	retryDelay = 2 * time.Second
	// A zone without servers is asked again after minUnavailable, and after twice as long
	// each further time up to maxUnavailable.
	minUnavailable = 4 * time.Second
	maxUnavailable = 16 * time.Second
)

// Pool is the state of the servers of one key.
type Pool struct {
	// Present is the number of listed servers that take work.
	Present int
	// isReclaimed is set while servers leave that no order took away.
	isReclaimed bool
	// isLowered is set from an order for fewer servers until none is draining.
	isLowered bool
	// ordered is the number of the last order.
	ordered int
	// settlesAt is when the server list shows the effect of the last order.
	settlesAt time.Time
	// blockedUntil is when the next order may be sent, and unavailableUntil when one for
	// more servers may.
	blockedUntil     time.Time
	unavailableUntil time.Time
	refusals         int
	// inFlight is set while an order waits for its response.
	inFlight bool
}

// List sets what the server list shows: the servers that take work and those that are
// draining.
func (p *Pool) List(present, draining int, now time.Time) {
	p.Present = present
	if draining == 0 && !p.inFlight && !now.Before(p.settlesAt) {
		p.isLowered = false
	}
	p.isReclaimed = draining > 0 && !p.isLowered
	if p.isReclaimed {
		// What was ordered before does not come any more.
		p.settlesAt = time.Time{}
	}
}

// serving returns the number of servers that go on serving.
func (p *Pool) serving(now time.Time) int {
	if p.inFlight || now.Before(p.settlesAt) {
		return min(p.Present, p.ordered)
	}
	return p.Present
}

// expected returns the number of servers once the last order has taken effect.
func (p *Pool) expected(now time.Time) int {
	if p.inFlight || now.Before(p.settlesAt) {
		return p.ordered
	}
	return p.Present
}

// mayOrder reports whether an order may be sent, and mayGrow whether one for more
// servers may.
func (p *Pool) mayOrder(now time.Time) bool { return !p.inFlight && !now.Before(p.blockedUntil) }
func (p *Pool) mayGrow(now time.Time) bool {
	return p.mayOrder(now) && !now.Before(p.unavailableUntil) && !p.isReclaimed
}

// mayShrink reports whether an order for fewer servers may be sent: none for more is
// being executed.
func (p *Pool) mayShrink(now time.Time) bool {
	return p.mayOrder(now) && p.expected(now) <= p.serving(now)
}

// isUnavailable reports whether the zone had no such servers when it was asked last.
func (p *Pool) isUnavailable(now time.Time) bool {
	return now.Before(p.unavailableUntil) || p.isReclaimed
}

// Sent records that an order was sent.
func (p *Pool) Sent(count int) {
	p.inFlight, p.ordered = true, count
	p.isLowered = p.isLowered || count < p.Present
}

// Answered records the outcome of an order.
func (p *Pool) Answered(outcome Outcome, bootTime time.Duration, now time.Time) {
	p.inFlight = false
	switch outcome {
	case OrderAccepted:
		p.refusals = 0
		p.settlesAt = now.Add(listingDelay)
		if p.ordered > p.Present {
			p.settlesAt = p.settlesAt.Add(bootTime)
		}
	case OrderUnavailable:
		p.settlesAt = time.Time{}
		p.unavailableUntil = now.Add(min(minUnavailable<<min(p.refusals, 8), maxUnavailable))
		p.refusals++
	case OrderUnknown:
		// Servers that may be taken away no longer count, and none is expected.
		p.ordered = min(p.ordered, p.Present)
		p.settlesAt, p.blockedUntil = now.Add(retryDelay), now.Add(retryDelay)
	case OrderNotExecuted:
		p.settlesAt, p.blockedUntil = time.Time{}, now.Add(retryDelay)
	}
}
