// Package serverlimit decides how daemons keep together to the limits of requests a
// second that backend servers in need name in their responses. One daemon hands out the
// requests that a server takes, one by one, to all that have some for it; a daemon that
// does not reach that one has a small part of the limit to itself. It answers the load of
// many daemons that send to a few servers whose limits are below the demand.
package serverlimit

import "time"

const (
	// minBurst is the smallest capacity of a bucket, in requests.
	minBurst = 2
	// burstTime is the time in which a bucket with a high rate fills. The items of a
	// step arrive together.
	burstTime = 1500 * time.Millisecond
	// maxWait stands for the wait at a bucket that hardly fills.
	maxWait = 10 * time.Second
)

// Bucket is a token bucket. Its level may be negative: requests that wait take their
// tokens ahead. It is not safe for concurrent use. The zero value is empty and does not
// fill.
type Bucket struct {
	// rate is in tokens a second.
	rate, level float64
	last        time.Time
}

// SetRate changes the rate from now on, in tokens a second.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	b.rate = rate
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 && !b.last.IsZero() {
		burst := max(minBurst, b.rate*burstTime.Seconds())
		b.level = min(b.level+elapsed*b.rate, burst)
	}
	b.last = now
}

// Take takes a token that is available after at most patience. It returns the time until
// then, and whether it took one; if not, the time until one is available.
func (b *Bucket) Take(now time.Time, patience time.Duration) (time.Duration, bool) {
	b.refill(now)
	wait := b.wait()
	if wait > patience {
		return wait, false
	}
	b.level--
	return wait, true
}

// wait returns the time until a whole token is available.
func (b *Bucket) wait() time.Duration {
	missing := 1 - b.level
	switch {
	case missing <= 0:
		return 0
	case missing > b.rate*maxWait.Seconds():
		return maxWait
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}
