package weights

import "time"

// burstDuration is the time in which the rate would allow the calls of a burst.
const burstDuration = 250 * time.Millisecond

// tokenBucket is a token bucket that does not read the clock: callers pass the
// time. It starts full.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

func newTokenBucket(perSecond float64, now time.Time) tokenBucket {
	b := tokenBucket{perSecond: perSecond, updatedAt: now}
	b.tokens = b.capacity()
	return b
}

func (b *tokenBucket) capacity() float64 { return max(1, b.perSecond*burstDuration.Seconds()) }

func (b *tokenBucket) refill(now time.Time) {
	if now.After(b.updatedAt) {
		b.tokens = min(b.capacity(), b.tokens+b.perSecond*now.Sub(b.updatedAt).Seconds())
		b.updatedAt = now
	}
}

// tokenTolerance makes up for rounding in nextAt, without which a bucket could be
// a nanosecond short of a token at the time that nextAt returned.
const tokenTolerance = 1e-6

// tryTake reports whether a call may begin now, and takes a token if so.
func (b *tokenBucket) tryTake(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens--
	return true
}

// nextAt returns when the next call may begin.
func (b *tokenBucket) nextAt(now time.Time) time.Time {
	b.refill(now)
	if b.tokens >= 1-tokenTolerance {
		return now
	}
	return now.Add(time.Duration((1 - b.tokens) / b.perSecond * float64(time.Second)))
}
