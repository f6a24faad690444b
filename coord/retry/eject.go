package retry

import (
	"time"
)

const (
	// maxConsecutiveFailures is the number of failures in a row that ejects a
	// server.
	maxConsecutiveFailures = 3
	// baseEjection is the duration of a first ejection. It doubles, up to
	// maxEjection, each time a server fails again before it has its full share
	// back.
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
	// rampDuration is the time from the end of an ejection until the server has
	// its full share again. The share grows in rampSteps steps.
	rampDuration = 10 * time.Second
	rampSteps    = 5
	// initialShare and fullShare are the traffic shares at the start and the
	// end of the ramp, in thousandths.
	initialShare = 50
	fullShare    = 1000
	// MaxEjectedFraction is the fraction of a service's servers that may be
	// ejected at the same time. If more fail, the cause is unlikely to be the
	// individual servers, and the remaining ones could not carry the load.
	MaxEjectedFraction = 0.5
)

// Health is the outlier ejection state of one backend server. The zero value is
// healthy.
type Health struct {
	// failures counts the consecutive failures.
	failures int
	// ejections counts the ejections since the server last had its full share.
	ejections int
	// ejectedAt and ejectedUntil are the start and the end of the latest ejection.
	ejectedAt    time.Time
	ejectedUntil time.Time
	// recovering is set from an ejection until the server has its full share
	// again.
	recovering bool
}

// RecordFailure records a failed request and reports whether it ejects the
// server. A server whose share is still ramping up is ejected by a single
// failure. RecordFailure calls mayEject only if all other conditions for an
// ejection hold.
func (h *Health) RecordFailure(now time.Time, mayEject func() bool) bool {
	h.failures++
	if h.isEjected(now) || (!h.recovering && h.failures < maxConsecutiveFailures) || !mayEject() {
		return false
	}
	duration := min(maxEjection, baseEjection<<min(h.ejections, 5))
	h.ejectedAt, h.ejectedUntil = now, now.Add(duration)
	h.ejections++
	h.failures = 0
	h.recovering = true
	return true
}

// RevokeSince forgets the failures in a row, and an ejection that began after a time. It
// reports whether there was one.
func (h *Health) RevokeSince(since time.Time) bool {
	h.failures = 0
	if !h.recovering || h.ejectedAt.Before(since) {
		return false
	}
	*h = Health{}
	return true
}

// RecordSuccess records a successful request.
func (h *Health) RecordSuccess() { h.failures = 0 }

// Share returns the share of its normal traffic that the server gets, in
// thousandths, and the time at which the share changes next; a zero time means
// that it stays.
func (h *Health) Share(now time.Time) (uint16, time.Time) {
	switch {
	case !h.recovering:
		return fullShare, time.Time{}
	case h.isEjected(now):
		return 0, h.ejectedUntil
	}
	step := int(now.Sub(h.ejectedUntil) * rampSteps / rampDuration)
	if step >= rampSteps {
		h.recovering, h.ejections, h.failures = false, 0, 0
		return fullShare, time.Time{}
	}
	next := h.ejectedUntil.Add(time.Duration(step+1) * rampDuration / rampSteps)
	return uint16(initialShare + step*(fullShare-initialShare)/rampSteps), next
}

func (h *Health) isEjected(now time.Time) bool { return h.recovering && now.Before(h.ejectedUntil) }
