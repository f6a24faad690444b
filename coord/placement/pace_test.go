package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// steady is a run of so many events at a pace in milliseconds.
func steady(pace, events int) PaceSample {
	between := time.Duration(pace) * time.Millisecond
	return PaceSample{Recent: between, Mean: between, Events: events}
}

func TestSpeed_ASlowSpellPasses(t *testing.T) {
	var speed PaceEstimate
	must.Zero(t, speed.At(epoch))
	speed.AddSample(steady(40, 50), at(0))
	for range 20 {
		speed.AddSample(steady(140, 50), at(1))
	}
	must.Between(t, 135*time.Millisecond, speed.At(at(1)), 140*time.Millisecond)
	must.Between(t, 60*time.Millisecond, speed.At(at(6)), 120*time.Millisecond)
	must.Eq(t, 40*time.Millisecond, speed.At(at(10)))
}

func TestSpeed_AFewEventsTellNoBest(t *testing.T) {
	var speed PaceEstimate
	speed.AddSample(steady(1, MinSampleEvents), at(0))
	must.Zero(t, speed.Best)
	speed.AddSample(steady(40, 50), at(1))
	must.Eq(t, 40*time.Millisecond, speed.Best)
}

func TestSpeed_MergeTakesTheBestAndTheNewest(t *testing.T) {
	speed := PaceEstimate{Best: 45 * time.Millisecond, Recent: 45 * time.Millisecond, UpdatedAt: at(0)}
	must.True(t, (&PaceEstimate{Best: 40 * time.Millisecond, Recent: 90 * time.Millisecond}).DiffersFrom(speed))
	speed.Merge(PaceEstimate{Best: 40 * time.Millisecond, Recent: 90 * time.Millisecond}, at(1))
	must.Eq(t, PaceEstimate{Best: 40 * time.Millisecond, Recent: 90 * time.Millisecond, UpdatedAt: at(1)}, speed)
	must.False(t, (&PaceEstimate{Best: 41 * time.Millisecond, Recent: 92 * time.Millisecond}).DiffersFrom(speed))
}

func TestShouldMove_OnlyForWhatASlowRunWouldLose(t *testing.T) {
	must.True(t, ShouldMove(60, 130*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(2, 130*time.Millisecond, 40*time.Millisecond))
	must.True(t, ShouldMove(60, 52*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(15, 52*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(180, 42*time.Millisecond, 40*time.Millisecond))
}

func TestUrgency_RisesAsTheDueTimeComes(t *testing.T) {
	const pace, due = 40 * time.Millisecond, 7500 * time.Millisecond
	must.Greater(t, Urgency(180, pace, due, 0), Urgency(20, pace, due, 0))
	must.Greater(t, Urgency(20, pace, due, 0), Urgency(20, pace, due, 3))
	must.Less(t, Urgency(100, pace, due, 0), Urgency(100, 2*pace, due, 0))
}

// TestRemaining_FollowsHintAndWhatIsMade holds the estimate to what texts did whose
// hint is right at the median and a factor of two off for one in six.
func TestRemaining_FollowsHintAndWhatIsMade(t *testing.T) {
	must.Between(t, 22, EstimateRemainingEvents(20, 0), 23)
	must.Less(t, EstimateRemainingEvents(20, 0), EstimateRemainingEvents(20, 10))
	must.Between(t, 8, EstimateRemainingEvents(20, 20), 12)
	// A text that has outlived its hint goes on for a part of its length.
	must.Between(t, 10, EstimateRemainingEvents(20, 80), 40)
	must.Positive(t, EstimateRemainingEvents(0, 400))
	must.Positive(t, EstimateRemainingEvents(1, 1e6))
}
