package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// tailFactor is how many times longer than the median a request takes before it
	// counts as slow. A quantile near one would rise to the times of slow servers.
	tailFactor = 3
	// callerTailFactor is the same for requests of callers, who wait for the response, and
	// callerShareFactor how many times the share of their requests counts as slow.
	callerTailFactor  = 2
	callerShareFactor = 3
	// minTailFactor keeps requests of even length from being hedged for small differences.
	minTailFactor = 1.5
	// MinDelay is the shortest delay before a hedge.
	MinDelay = 10 * time.Millisecond
	// minSamples is the number of responses below which their times are not relied on.
	minSamples = 8
	// slowZoneShare is the share of the latest responses of a zone that took longer than
	// the delay from which the zone counts as slow.
	slowZoneShare = 0.3
	// slowZoneSmoothing is the weight of a response in that share.
	slowZoneSmoothing = 0.1
	// maxLatency bounds the latencies that are told apart, latencyUnit is the smallest
	// difference, and latencyDigits the significant decimal digits.
	maxLatency    = 16 * time.Second
	latencyUnit   = 500 * time.Microsecond
	latencyDigits = 1
	// recomputeAfter is the number of responses after which a delay is computed again.
	recomputeAfter = 16
)

// Distance is how far a server is from the daemon that asks it.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// DistanceOf returns the distance between two places.
func DistanceOf(a, b structs.Place) Distance {
	switch {
	case a.Zone == b.Zone:
		return SameZone
	case a.Region == b.Region:
		return SameRegion
	}
	return OtherRegion
}

// Key identifies requests that take about the same time on all daemons: those to one
// service over the same distance with the same latency target.
type Key struct {
	Service  structs.ServiceName
	Distance Distance
	Target   time.Duration
	// IsAccepted is set for calls for accepted work.
	IsAccepted bool
}

// Delays learns from the times of responses after which delay a request is slow. It is not
// safe for concurrent use.
type Delays struct {
	share float64
	times map[Key]*times
	// slow is the share of the latest responses of each zone that were slow.
	slow map[zoneKey]float64
}

type zoneKey struct {
	service structs.ServiceName
	zone    structs.ZoneName
}

// times holds the times of two periods, so that old ones are forgotten.
type times struct {
	recent, earlier *hdrhistogram.Histogram
	recentSince     time.Time
	// delay is zero while too few responses are known. It was computed newCount responses
	// ago.
	delay    time.Duration
	newCount int
}

// NewDelays returns a Delays for a limit on the share of hedges.
func NewDelays(share float64) *Delays {
	return &Delays{share: share, times: make(map[Key]*times), slow: make(map[zoneKey]float64)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
}

// Observe records the time that a response took.
func (d *Delays) Observe(now time.Time, key Key, latency time.Duration) {
	t := d.times[key]
	if t == nil {
		t = &times{recent: newHistogram(), earlier: newHistogram(), recentSince: now}
		d.times[key] = t
	}
	t.advance(now)
	// A value outside the range is not recorded; it is clamped to the range here.
	_ = t.recent.RecordValue(int64(min(max(latency, latencyUnit), maxLatency) / latencyUnit))
	if t.newCount++; t.newCount >= recomputeAfter || t.delay == 0 {
		t.compute(d.share, key.IsAccepted)
	}
}

// RecordZone records whether a request to a service's servers in a zone was slow.
func (d *Delays) RecordZone(service structs.ServiceName, zone structs.ZoneName, isSlow bool) {
	key := zoneKey{service, zone}
	value := 0.0
	if isSlow {
		value = 1
	}
	d.slow[key] += slowZoneSmoothing * (value - d.slow[key])
}

// IsZoneSlow reports whether many of the latest responses of a service's servers in a zone
// were slow.
func (d *Delays) IsZoneSlow(service structs.ServiceName, zone structs.ZoneName) bool {
	return d.slow[zoneKey{service, zone}] > slowZoneShare
}

// Delay returns the time after which a request is slow, and false while too few responses
// are known.
func (d *Delays) Delay(now time.Time, key Key) (time.Duration, bool) {
	t := d.times[key]
	if t == nil {
		return 0, false
	}
	t.advance(now)
	return t.delay, t.delay > 0
}

// Forecast returns what Delay would return. It changes nothing.
func (d *Delays) Forecast(key Key) (time.Duration, bool) {
	t := d.times[key]
	if t == nil {
		return 0, false
	}
	return t.delay, t.delay > 0
}

// compute computes the delay from the times of both periods.
func (t *times) compute(share float64, isAccepted bool) {
	factor := float64(tailFactor)
	if !isAccepted {
		share, factor = min(0.5, callerShareFactor*share), callerTailFactor
	}
	t.newCount, t.delay = 0, 0
	merged := newHistogram()
	merged.Merge(t.recent)
	merged.Merge(t.earlier)
	if merged.TotalCount() < minSamples {
		return
	}
	median := time.Duration(merged.ValueAtQuantile(50)) * latencyUnit
	tail := time.Duration(merged.ValueAtQuantile(100*(1-share))) * latencyUnit
	t.delay = max(MinDelay, time.Duration(minTailFactor*float64(median)), min(tail, time.Duration(factor*float64(median))))
}

// advance begins a new period if the recent one is over. The delay stays until the next
// response.
func (t *times) advance(now time.Time) {
	switch elapsed := now.Sub(t.recentSince); {
	case elapsed >= 2*window:
		t.recent, t.earlier, t.recentSince = newHistogram(), newHistogram(), now
	case elapsed >= window:
		t.recent, t.earlier, t.recentSince = newHistogram(), t.recent, now
	}
}
