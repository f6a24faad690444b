// Package limit decides how many requests run at once and which of the
// waiting ones is next. Adaptive finds the limit of one backend server from
// its latency; a Gate admits requests by class, due time and workspace.
//
// Nothing here is safe for concurrent use: the caller holds a lock or owns
// the value. Time comes in with each call.
package limit

import (
	"math"
	"time"
)

// Bounds of the limit of one server, in requests in flight.
const (
	MinLimit     = 2
	InitialLimit = 32
	MaxLimit     = 1024
)

const (
	// tolerance is how many times the lowest latency is taken for normal.
	tolerance = 2.0
	// minGradient bounds how fast a limit falls.
	minGradient = 0.5
	// smoothing is the weight of a new window.
	smoothing = 0.25
	// failureFactor shrinks the limit after a window with failures.
	failureFactor = 0.9
	// baselineRise lets the lowest latency grow with each window, so that a
	// server that became slower for good is not throttled for good.
	baselineRise = 1.001
	// usedPart is the part of the limit that must have been in use for it to
	// grow.
	usedPart = 0.5
)

// Window sums what was seen of a server between two calls of Observe.
type Window struct {
	// Finished counts answered requests, and Latency is the sum of their
	// latencies for each unit of work.
	Finished int
	Latency  time.Duration
	// Refused counts requests that the server refused or broke.
	Refused int
	// Peak is the highest count in flight.
	Peak int
}

// Adaptive is the concurrency limit of one backend server. It falls with the
// gradient of the latency over its lowest value, and grows by the square root
// of itself while the server is used and answers as fast as ever.
type Adaptive struct {
	limit    float64
	baseline time.Duration
}

// NewAdaptive returns a limit at its initial value.
func NewAdaptive() Adaptive { return Adaptive{limit: InitialLimit} }

// Limit returns the count of requests that may be in flight.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Observe takes in a window and returns the new limit.
func (a *Adaptive) Observe(w Window) int {
	if w.Refused > 0 {
		a.set(a.limit * failureFactor)
	}
	if w.Finished == 0 {
		return a.Limit()
	}
	latency := w.Latency / time.Duration(w.Finished)
	a.learn(latency)
	gradient := min(1, max(minGradient, tolerance*float64(a.baseline)/float64(latency)))
	target := a.limit*gradient + math.Sqrt(a.limit)
	if target > a.limit && (w.Refused > 0 || float64(w.Peak) < a.limit*usedPart) {
		return a.Limit()
	}
	a.set(a.limit + smoothing*(target-a.limit))
	return a.Limit()
}

// learn keeps the lowest latency.
func (a *Adaptive) learn(latency time.Duration) {
	raised := time.Duration(float64(a.baseline) * baselineRise)
	if a.baseline == 0 || latency < raised {
		a.baseline = max(latency, 1)
		return
	}
	a.baseline = raised
}

func (a *Adaptive) set(limit float64) { a.limit = min(MaxLimit, max(MinLimit, limit)) }
