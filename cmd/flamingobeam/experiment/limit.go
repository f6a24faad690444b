package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/limit"
)

// The experiment on limits: a server is asked for as much as its limit allows.
// It runs a count of requests at once, and fewer from the middle on; what is
// over that makes all of them slower.
const (
	windows     = 400
	windowSpan  = 250 * time.Millisecond
	requestSpan = 10 * time.Millisecond
	roomBefore  = 20
	roomAfter   = 5
	fixedLimit  = 256
)

// Limit compares the adaptive limit of a server with a fixed one.
func Limit() Result {
	return Result{Name: "limit", Ways: []Way{
		{Name: "adaptive", Figures: keepBusy(true)},
		{Name: "fixed", Figures: keepBusy(false)},
	}}
}

func keepBusy(adaptive bool) []Figure {
	latencies := hdrhistogram.New(1, int64(time.Hour), significantDigits)
	answered := 0
	found := limit.NewAdaptiveLimit(limit.PlainTolerance)
	for window := range windows {
		room, inFlight := roomBefore, fixedLimit
		if window >= windows/2 {
			room = roomAfter
		}
		if adaptive {
			inFlight = found.Limit()
		}
		latency := requestSpan * time.Duration(max(room, inFlight)) / time.Duration(room)
		count := int(windowSpan * time.Duration(inFlight) / latency)
		answered += count
		_ = latencies.RecordValues(int64(latency), int64(count))
		found.Observe(limit.WindowStats{Finished: count, TotalLatency: latency * time.Duration(count), PeakInFlight: inFlight})
	}
	return []Figure{
		{Name: "answered", Value: float64(answered)},
		{Name: "p50, ms", Value: float64(latencies.ValueAtPercentile(50)) / nanosPerMilli},
		{Name: "p99, ms", Value: float64(latencies.ValueAtPercentile(99)) / nanosPerMilli},
	}
}
