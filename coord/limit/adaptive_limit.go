// Package limit decides how many requests run at once and which of the
// waiting ones is next. AdaptiveLimit finds the limit of one backend server from
// its latency; an AdmissionController admits requests by class, due time and workspace.
//
// Nothing here is safe for concurrent use: the caller holds a lock or owns
// the value. Time comes in with each call.
package limit

import (
	"math"
	"time"
)

// How many times the lowest latency is taken for normal.
const (
	// PlainTolerance is for plain services.
	PlainTolerance = 2.0
	// EngineTolerance is for model engines, which make more tokens in all the
	// more streams they batch, though each takes longer.
	EngineTolerance = 4.0
)

// Bounds of the limit of one server, in requests in flight.
const (
	MinLimit     = 2
	InitialLimit = 32
	MaxLimit     = 1024
)

const (
	// minGradient bounds how fast a limit falls.
	minGradient = 0.5
	// growSmoothing and fallSmoothing are the weights of a new window.
	growSmoothing = 0.25
	fallSmoothing = 0.5
	// probePeak is the count in flight up to which latency is not the doing of
	// the requests in flight: it becomes the baseline.
	probePeak = 6
	// probeFactor is how many times the normal latency makes a jump, after
	// which the limit drops to probePeak to find out whether the load or the
	// server itself is the cause. maxProbeWindows bounds that, and
	// minJumpSamples keeps single long requests from causing it.
	probeFactor     = 2.0
	maxProbeWindows = 4
	minJumpSamples  = 8
	// overloadFactor shrinks the limit when the load was the cause.
	overloadFactor = 0.5
	// failureFactor shrinks the limit after a window with failures.
	failureFactor = 0.9
	// baselineRise lets the lowest latency grow with each window, so that a
	// server that became slower for good is not throttled for good.
	baselineRise = 1.001
	// usedPart is the part of the limit that must have been in use for it to
	// grow.
	usedPart = 0.5
)

// WindowStats sums what was seen of a server between two calls of Observe.
type WindowStats struct {
	// Finished counts answered requests, and TotalLatency is the sum of their
	// latencies for each unit of work.
	Finished     int
	TotalLatency time.Duration
	// Failed counts requests that the server refused or broke.
	Failed int
	// PeakInFlight is the highest count in flight.
	PeakInFlight int
}

// AdaptiveLimit is the concurrency limit of one backend server. It falls with the
// gradient of the latency over its lowest value, and grows by the square root
// of itself while the server is used and answers as fast as ever.
type AdaptiveLimit struct {
	tolerance float64
	limit     float64
	baseline  time.Duration
	// before is the limit before a probe, and probed how many windows the
	// probe has taken; zero means that there is none.
	before float64
	probed int
}

// NewAdaptiveLimit returns a limit at its initial value. The tolerance is how many
// times the lowest latency is taken for normal.
func NewAdaptiveLimit(tolerance float64) AdaptiveLimit {
	return AdaptiveLimit{tolerance: tolerance, limit: InitialLimit}
}

// Limit returns the count of requests that may be in flight.
func (a *AdaptiveLimit) Limit() int { return int(a.limit) }

// Observe takes in a window and returns the new limit.
func (a *AdaptiveLimit) Observe(w WindowStats) int {
	if w.Failed > 0 {
		a.set(a.limit * failureFactor)
	}
	if w.Finished == 0 {
		return a.Limit()
	}
	latency := w.TotalLatency / time.Duration(w.Finished)
	if a.probed > 0 {
		a.probe(latency, w.PeakInFlight)
		return a.Limit()
	}
	if a.isJump(w, latency) {
		a.before, a.probed = a.limit, 1
		a.set(probePeak)
		return a.Limit()
	}
	a.learn(latency, w.PeakInFlight)
	gradient := min(1, max(minGradient, a.tolerance*float64(a.baseline)/float64(latency)))
	target := a.limit*gradient + math.Sqrt(a.limit)
	if target > a.limit && (w.Failed > 0 || float64(w.PeakInFlight) < a.limit*usedPart) {
		return a.Limit()
	}
	smoothing := growSmoothing
	if target < a.limit {
		smoothing = fallSmoothing
	}
	a.set(a.limit + smoothing*(target-a.limit))
	return a.Limit()
}

// isJump reports whether the latency has risen at once and many requests are
// in flight.
func (a *AdaptiveLimit) isJump(w WindowStats, latency time.Duration) bool {
	jump := probeFactor * a.tolerance * float64(a.baseline)
	return a.baseline > 0 && w.Finished >= minJumpSamples && w.PeakInFlight > probePeak && float64(latency) > jump
}

// probe looks at the latency that few requests in flight meet. When it is still
// high, the server is slower whatever the load, and its limit is restored.
func (a *AdaptiveLimit) probe(latency time.Duration, peak int) {
	isSlow := float64(latency) > a.tolerance*float64(a.baseline)
	switch {
	case peak > probePeak && a.probed < maxProbeWindows:
		a.probed++
	case peak <= probePeak && isSlow:
		a.baseline, a.probed = latency, 0
		a.set(a.before)
	default:
		a.probed = 0
		a.set(max(probePeak, a.before*overloadFactor))
	}
}

// learn keeps the lowest latency, and takes a higher one that few requests in
// flight met: the server itself has become slower.
func (a *AdaptiveLimit) learn(latency time.Duration, peak int) {
	raised := time.Duration(float64(a.baseline) * baselineRise)
	isSlower := peak <= probePeak && float64(latency) > a.tolerance*float64(a.baseline)
	if a.baseline == 0 || latency < raised || isSlower {
		a.baseline = max(latency, 1)
		return
	}
	a.baseline = raised
}

func (a *AdaptiveLimit) set(limit float64) { a.limit = min(MaxLimit, max(MinLimit, limit)) }
