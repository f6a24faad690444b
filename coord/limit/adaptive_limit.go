// Package limit decides how many requests run at once and which queued request
// runs next. AdaptiveLimit derives the concurrency limit of one backend server
// from its latency; AdmissionController admits requests by class, deadline and
// workspace.
//
// Nothing here is safe for concurrent use: the caller holds a lock or owns the
// value. The caller passes the current time to each call.
package limit

import (
	"math"
	"time"
)

// Tolerances: the multiple of the lowest latency up to which a latency counts
// as normal.
const (
	// PlainTolerance is the tolerance for plain services.
	PlainTolerance = 2.0
	// EngineTolerance is the tolerance for model engines, whose throughput
	// grows with the number of batched streams although each stream gets
	// slower.
	EngineTolerance = 4.0
)

// Bounds and initial value of the limit of one server, in requests in flight.
const (
	MinLimit     = 2
	InitialLimit = 32
	MaxLimit     = 1024
)

const (
	// minGradient bounds how far the gradient lowers the limit in one window.
	minGradient = 0.5
	// growSmoothing and fallSmoothing are the weights of a new window in the
	// limit when it grows and falls.
	growSmoothing = 0.25
	fallSmoothing = 0.5
	// probeInFlight is the number of requests in flight up to which their load
	// does not explain a high latency, which then becomes the baseline. It is
	// also the limit during a probe.
	probeInFlight = 6
	// jumpFactor is the multiple of the normal latency that counts as a jump.
	// After a jump the limit drops to probeInFlight, to find out whether the
	// load or the server is the cause. maxProbeWindows bounds how long that
	// takes, and minJumpSamples prevents a probe after a few long requests.
	jumpFactor      = 2.0
	maxProbeWindows = 4
	minJumpSamples  = 8
	// overloadFactor shrinks the limit when the load caused the jump.
	overloadFactor = 0.5
	// failureFactor shrinks the limit after a window with failures.
	failureFactor = 0.9
	// baselineGrowth raises the lowest latency with each window, so that a
	// server that stays slower is not throttled forever.
	baselineGrowth = 1.001
	// minUtilization is the fraction of the limit that must have been in flight
	// for the limit to grow.
	minUtilization = 0.5
)

// WindowStats aggregates the requests of a server between two calls of Observe.
type WindowStats struct {
	// Finished counts answered requests, and TotalLatency is the sum of their
	// latencies, each divided by the units of work of its request.
	Finished     int
	TotalLatency time.Duration
	// Failed counts requests that the server refused or did not answer in full.
	Failed int
	// PeakInFlight is the highest number of requests in flight.
	PeakInFlight int
}

// AdaptiveLimit is the concurrency limit of one backend server. It falls with
// the ratio of the lowest latency to the current one. It grows by its square
// root while the server is used and the latency is normal.
type AdaptiveLimit struct {
	tolerance float64
	limit     float64
	baseline  time.Duration
	// limitBeforeProbe is the limit at the start of the probe, and probeWindows
	// the number of windows since then; zero means that there is no probe.
	limitBeforeProbe float64
	probeWindows     int
}

// NewAdaptiveLimit returns a limit with its initial value. The tolerance is the
// multiple of the lowest latency that counts as normal.
func NewAdaptiveLimit(tolerance float64) AdaptiveLimit {
	return AdaptiveLimit{tolerance: tolerance, limit: InitialLimit}
}

// Limit returns the number of requests that may be in flight.
func (a *AdaptiveLimit) Limit() int { return int(a.limit) }

// Observe updates the limit with the statistics of a window and returns it.
func (a *AdaptiveLimit) Observe(w WindowStats) int {
	if w.Failed > 0 {
		a.setLimit(a.limit * failureFactor)
	}
	if w.Finished == 0 {
		return a.Limit()
	}
	latency := w.TotalLatency / time.Duration(w.Finished)
	if a.probeWindows > 0 {
		a.probe(latency, w.PeakInFlight)
		return a.Limit()
	}
	if a.isLatencyJump(w, latency) {
		a.limitBeforeProbe, a.probeWindows = a.limit, 1
		a.setLimit(probeInFlight)
		return a.Limit()
	}
	a.updateBaseline(latency, w.PeakInFlight)
	gradient := min(1, max(minGradient, a.tolerance*float64(a.baseline)/float64(latency)))
	target := a.limit*gradient + math.Sqrt(a.limit)
	if target > a.limit && (w.Failed > 0 || float64(w.PeakInFlight) < a.limit*minUtilization) {
		return a.Limit()
	}
	smoothing := growSmoothing
	if target < a.limit {
		smoothing = fallSmoothing
	}
	a.setLimit(a.limit + smoothing*(target-a.limit))
	return a.Limit()
}

// isLatencyJump reports whether the latency rose sharply while too many
// requests were in flight to exclude the load as the cause.
func (a *AdaptiveLimit) isLatencyJump(w WindowStats, latency time.Duration) bool {
	threshold := jumpFactor * a.tolerance * float64(a.baseline)
	return a.baseline > 0 && w.Finished >= minJumpSamples && w.PeakInFlight > probeInFlight && float64(latency) > threshold
}

// probe evaluates the latency of a window with few requests in flight. If it is
// still high, the server is slower regardless of the load, and the limit from
// before the probe is restored.
func (a *AdaptiveLimit) probe(latency time.Duration, peakInFlight int) {
	isSlow := float64(latency) > a.tolerance*float64(a.baseline)
	switch {
	case peakInFlight > probeInFlight && a.probeWindows < maxProbeWindows:
		a.probeWindows++
	case peakInFlight <= probeInFlight && isSlow:
		a.baseline, a.probeWindows = latency, 0
		a.setLimit(a.limitBeforeProbe)
	default:
		a.probeWindows = 0
		a.setLimit(max(probeInFlight, a.limitBeforeProbe*overloadFactor))
	}
}

// updateBaseline keeps the lowest latency as the baseline. It also accepts a
// higher latency if few requests were in flight, because the server itself has
// become slower then.
func (a *AdaptiveLimit) updateBaseline(latency time.Duration, peakInFlight int) {
	grownBaseline := time.Duration(float64(a.baseline) * baselineGrowth)
	isSlower := peakInFlight <= probeInFlight && float64(latency) > a.tolerance*float64(a.baseline)
	if a.baseline == 0 || latency < grownBaseline || isSlower {
		a.baseline = max(latency, 1)
		return
	}
	a.baseline = grownBaseline
}

func (a *AdaptiveLimit) setLimit(limit float64) { a.limit = min(MaxLimit, max(MinLimit, limit)) }
