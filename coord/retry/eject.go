package retry

import (
	"time"
)

const (
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 3
	// firstEjection and maxEjection bound how long a server is ejected; the
	// time doubles with each ejection that follows a failed return.
	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
	// returnSpan is how long a server takes to come back to its full share.
	returnSpan = 10 * time.Second
	// returnSteps is how many steps of the share there are.
	returnSteps = 5
	// firstShare is the share at the start of the return, in thousandths.
	firstShare = 50
	fullShare  = 1000
	// MaxEjectedFraction is the part of a service's servers that may be ejected
	// at once: failures of more than that are not the servers' own, and the
	// rest could not carry the load.
	MaxEjectedFraction = 0.5
)

// Health is the standing of one backend server. The zero value is healthy.
type Health struct {
	failures  int
	ejections int
	until     time.Time
	returning bool
}

// RecordFailure takes in a failed request and reports whether the server is to be
// ejected now. A server that is returning is ejected by one failure. The
// caller asks mayEject only for the last step.
func (h *Health) RecordFailure(now time.Time, mayEject func() bool) bool {
	h.failures++
	if h.isOut(now) || (!h.returning && h.failures < ejectAfter) || !mayEject() {
		return false
	}
	span := min(maxEjection, firstEjection<<min(h.ejections, 5))
	h.until = now.Add(span)
	h.ejections++
	h.failures = 0
	h.returning = true
	return true
}

// RecordSuccess takes in an answered request.
func (h *Health) RecordSuccess() { h.failures = 0 }

// Share returns the part of its traffic that the server gets, in thousandths,
// and when that is to be looked at again; a zero time means never.
func (h *Health) Share(now time.Time) (uint16, time.Time) {
	switch {
	case !h.returning:
		return fullShare, time.Time{}
	case h.isOut(now):
		return 0, h.until
	}
	step := int(now.Sub(h.until) * returnSteps / returnSpan)
	if step >= returnSteps {
		h.returning, h.ejections, h.failures = false, 0, 0
		return fullShare, time.Time{}
	}
	next := h.until.Add(time.Duration(step+1) * returnSpan / returnSteps)
	return uint16(firstShare + step*(fullShare-firstShare)/returnSteps), next
}

func (h *Health) isOut(now time.Time) bool { return h.returning && now.Before(h.until) }
