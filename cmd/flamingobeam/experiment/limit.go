package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/limit"
)

// The experiment on limits keeps a server at its in-flight limit. The server runs
// a number of requests concurrently, which drops in the middle of the run; more
// requests in flight slow all of them down in proportion.
const (
	windows            = 400
	windowLength       = 250 * time.Millisecond
	requestServiceTime = 10 * time.Millisecond
	initialCapacity    = 20
	reducedCapacity    = 5
	fixedInFlightLimit = 256
)

// Limit compares an adaptive limit of the requests in flight with a fixed one.
func Limit() Result {
	return Result{Name: "limit", Ways: []Way{
		{Name: "adaptive", Figures: simulateSaturation(true)},
		{Name: "fixed", Figures: simulateSaturation(false)},
	}}
}

func simulateSaturation(adaptive bool) []Figure {
	latencies := hdrhistogram.New(1, int64(time.Hour), significantDigits)
	completed := 0
	adaptiveLimit := limit.NewAdaptiveLimit(limit.PlainTolerance)
	for window := range windows {
		capacity, inFlight := initialCapacity, fixedInFlightLimit
		if window >= windows/2 {
			capacity = reducedCapacity
		}
		if adaptive {
			inFlight = adaptiveLimit.Limit()
		}
		latency := requestServiceTime * time.Duration(max(capacity, inFlight)) / time.Duration(capacity)
		finished := int(windowLength * time.Duration(inFlight) / latency)
		completed += finished
		_ = latencies.RecordValues(int64(latency), int64(finished))
		adaptiveLimit.Observe(limit.WindowStats{Finished: finished, TotalLatency: latency * time.Duration(finished), PeakInFlight: inFlight})
	}
	return []Figure{
		{Name: "answered", Value: float64(completed)},
		{Name: "p50, ms", Value: float64(latencies.ValueAtPercentile(50)) / nanosPerMilli},
		{Name: "p99, ms", Value: float64(latencies.ValueAtPercentile(99)) / nanosPerMilli},
	}
}
