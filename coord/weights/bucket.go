package weights

import "time"

// burstSpan is the time in which the calls of a burst would begin.
const burstSpan = 250 * time.Millisecond

// bucket is a token bucket over time that is passed in.
type bucket struct {
	perSecond float64
	level     float64
	at        time.Time
}

func newBucket(perSecond float64, now time.Time) bucket {
	b := bucket{perSecond: perSecond, at: now}
	b.level = b.size()
	return b
}

func (b *bucket) size() float64 { return max(1, b.perSecond*burstSpan.Seconds()) }

func (b *bucket) fill(now time.Time) {
	if now.After(b.at) {
		b.level = min(b.size(), b.level+b.perSecond*now.Sub(b.at).Seconds())
		b.at = now
	}
}

// slack keeps rounding from leaving a token a nanosecond short.
const slack = 1e-6

// take reports whether a call may begin now, and counts it then.
func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.level < 1-slack {
		return false
	}
	b.level--
	return true
}

// next is when the next call may begin.
func (b *bucket) next(now time.Time) time.Time {
	b.fill(now)
	if b.level >= 1-slack {
		return now
	}
	return now.Add(time.Duration((1 - b.level) / b.perSecond * float64(time.Second)))
}
