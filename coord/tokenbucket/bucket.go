// Package tokenbucket limits the rate of calls or requests. A bucket does not read the
// clock: callers pass the time.
package tokenbucket

import "time"

const (
	// tolerance makes up for rounding in the wait for a token, without which a bucket
	// could be a nanosecond short of one when that time has passed.
	tolerance = 1e-6
	// maxWait stands for the wait at a bucket that hardly fills.
	maxWait = 10 * time.Second
)

// Bucket is a token bucket. Its level may be negative: calls that wait take their tokens
// ahead. It is not safe for concurrent use. The zero value is empty and does not fill.
type Bucket struct {
	// rate is in tokens a second, and capacity in tokens.
	rate, capacity float64
	level          float64
	refilledAt     time.Time
}

// Capacity returns the number of tokens by which a bucket of the given rate, in tokens a
// second, fills in the given time, and at least the given minimum.
func Capacity(rate float64, fillTime time.Duration, minimum float64) float64 {
	return max(minimum, rate*fillTime.Seconds())
}

// NewFull returns a full bucket. The rate is in tokens a second.
func NewFull(now time.Time, rate, capacity float64) Bucket {
	return Bucket{rate: rate, capacity: capacity, level: capacity, refilledAt: now}
}

// SetRate changes the rate, in tokens a second, and the capacity from now on.
func (b *Bucket) SetRate(now time.Time, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 && !b.refilledAt.IsZero() {
		b.level = min(b.level+elapsed*b.rate, b.capacity)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// Take takes a token that is available after at most patience. It returns the time until
// then, and whether it took one; if not, the time until one is available.
func (b *Bucket) Take(now time.Time, patience time.Duration) (time.Duration, bool) {
	wait := b.Wait(now)
	if wait > patience {
		return wait, false
	}
	b.level--
	return wait, true
}

// Wait returns the time until a token is available, and maxWait at the most.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	missing := 1 - b.level
	switch {
	case missing <= tolerance:
		return 0
	case missing > b.rate*maxWait.Seconds():
		return maxWait
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// RefilledAt returns when the bucket was last used.
func (b *Bucket) RefilledAt() time.Time { return b.refilledAt }
