package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// steadySample returns a sample with a constant pace, in milliseconds.
func steadySample(pace, events int) PaceSample {
	interval := time.Duration(pace) * time.Millisecond
	return PaceSample{Recent: interval, Mean: interval, Events: events}
}

func TestIsWorthWaiting(t *testing.T) {
	must.True(t, IsWorthWaiting(0, 1, 40*time.Millisecond))
	must.True(t, IsWorthWaiting(390*time.Millisecond, 10, 40*time.Millisecond))
	must.False(t, IsWorthWaiting(400*time.Millisecond, 10, 40*time.Millisecond))
	must.False(t, IsWorthWaiting(0, 0, 40*time.Millisecond))
}

func TestPaceEstimate_RecentPaceExpires(t *testing.T) {
	var estimate PaceEstimate
	must.Zero(t, estimate.At(epoch))
	estimate.AddSample(steadySample(40, 50), at(0))
	for range 20 {
		estimate.AddSample(steadySample(140, 50), at(1))
	}
	must.Between(t, 135*time.Millisecond, estimate.At(at(1)), 140*time.Millisecond)
	must.Between(t, 60*time.Millisecond, estimate.At(at(6)), 120*time.Millisecond)
	must.Eq(t, 40*time.Millisecond, estimate.At(at(10)))
}

func TestPaceEstimate_MinBestPaceEvents(t *testing.T) {
	var estimate PaceEstimate
	estimate.AddSample(steadySample(1, MinSampleEvents), at(0))
	must.Zero(t, estimate.Best)
	estimate.AddSample(steadySample(40, 50), at(1))
	must.Eq(t, 40*time.Millisecond, estimate.Best)
}

func TestPaceEstimate_Merge(t *testing.T) {
	estimate := PaceEstimate{Best: 45 * time.Millisecond, Recent: 45 * time.Millisecond, UpdatedAt: at(0)}
	must.True(t, (&PaceEstimate{Best: 40 * time.Millisecond, Recent: 90 * time.Millisecond}).DiffersFrom(estimate))
	estimate.Merge(PaceEstimate{Best: 40 * time.Millisecond, Recent: 90 * time.Millisecond}, at(1))
	must.Eq(t, PaceEstimate{Best: 40 * time.Millisecond, Recent: 90 * time.Millisecond, UpdatedAt: at(1)}, estimate)
	must.False(t, (&PaceEstimate{Best: 41 * time.Millisecond, Recent: 92 * time.Millisecond}).DiffersFrom(estimate))
}

func TestShouldMove(t *testing.T) {
	must.True(t, ShouldMove(60, 130*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(2, 130*time.Millisecond, 40*time.Millisecond))
	must.True(t, ShouldMove(60, 52*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(15, 52*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(180, 42*time.Millisecond, 40*time.Millisecond))
}

func TestUrgency(t *testing.T) {
	const pace, timeLeft = 40 * time.Millisecond, 7500 * time.Millisecond
	must.Greater(t, Urgency(180, pace, timeLeft, 0), Urgency(20, pace, timeLeft, 0))
	must.Greater(t, Urgency(20, pace, timeLeft, 0), Urgency(20, pace, timeLeft, 3))
	must.Less(t, Urgency(100, pace, timeLeft, 0), Urgency(100, 2*pace, timeLeft, 0))
}

// TestEstimateRemainingEvents compares the estimate with texts whose median
// length is the hint, and of which one in six is off by a factor of two.
func TestEstimateRemainingEvents(t *testing.T) {
	must.Between(t, 22, EstimateRemainingEvents(20, 0), 23)
	must.Less(t, EstimateRemainingEvents(20, 0), EstimateRemainingEvents(20, 10))
	must.Between(t, 8, EstimateRemainingEvents(20, 20), 12)
	// A text longer than its hint continues for a fraction of its length.
	must.Between(t, 10, EstimateRemainingEvents(20, 80), 40)
	must.Positive(t, EstimateRemainingEvents(0, 400))
	must.Positive(t, EstimateRemainingEvents(1, 1e6))
}
