package placement

import (
	"math"
	"time"
)

const (
	// MinSampleEvents is how many events tell the pace of a run.
	MinSampleEvents = 8
	// enoughForBest is how many events a run must have for its pace to count as
	// the engine's best: a few that arrive together tell too short a time.
	enoughForBest = 16
	// paceSmoothing is the weight of a new run in the recent pace of an engine.
	paceSmoothing = 0.4
	// recentFor is how long the pace of the newest runs holds, and after
	// recentUntil the engine counts as being at its best again: engines turn slow
	// for some seconds, and one that nobody uses tells nothing of itself.
	recentFor   = 2 * time.Second
	recentUntil = 8 * time.Second
	// notable is the part by which a pace must differ from what others were told
	// for it to be told again.
	notable = 0.2
)

// PaceEstimate is what is known of how fast an engine makes the events of a run. The
// zero value is an engine that has run nothing yet.
type PaceEstimate struct {
	// Best is the shortest time between the events of a run so far, the mean of
	// that run; zero is unknown.
	Best time.Duration
	// Recent is the time between the events of the newest runs.
	Recent time.Duration
	// UpdatedAt is when Recent was seen.
	UpdatedAt time.Time
}

// PaceSample is what a run shows of its engine.
type PaceSample struct {
	// Recent is the time between the newest events, and Mean that between all.
	Recent time.Duration
	Mean   time.Duration
	Events int
}

// AddSample takes in what a run shows.
func (s *PaceEstimate) AddSample(sample PaceSample, now time.Time) {
	if s.Recent == 0 || now.Sub(s.UpdatedAt) > recentUntil {
		s.Recent = sample.Recent
	}
	s.Recent += time.Duration(paceSmoothing * float64(sample.Recent-s.Recent))
	s.UpdatedAt = now
	if sample.Events >= enoughForBest && (s.Best == 0 || sample.Mean < s.Best) {
		s.Best = sample.Mean
	}
}

// At estimates the pace of a run that begins now; zero is unknown.
func (s *PaceEstimate) At(now time.Time) time.Duration {
	age := now.Sub(s.UpdatedAt)
	switch {
	case s.Best == 0 || s.Recent == 0 || age <= recentFor:
		return max(s.Best, s.Recent)
	case age >= recentUntil:
		return s.Best
	}
	left := float64(recentUntil-age) / float64(recentUntil-recentFor)
	return s.Best + time.Duration(left*float64(s.Recent-s.Best))
}

// Merge takes in what another daemon has seen of the engine just now.
func (s *PaceEstimate) Merge(other PaceEstimate, now time.Time) {
	if other.Best != 0 && (s.Best == 0 || other.Best < s.Best) {
		s.Best = other.Best
	}
	if other.Recent != 0 {
		s.Recent, s.UpdatedAt = other.Recent, now
	}
}

// DiffersFrom reports whether a speed differs enough from one that was told before to
// be told again.
func (s *PaceEstimate) DiffersFrom(told PaceEstimate) bool {
	return differs(s.Best, told.Best) || differs(s.Recent, told.Recent)
}

func differs(a, b time.Duration) bool {
	return math.Abs(float64(a-b)) > notable*float64(max(b, 1))
}

const (
	// worthMoving is the time that a move must save: the run starts anew and
	// reads its prompt again.
	worthMoving = 300 * time.Millisecond
	// slowFactor is how many times the pace elsewhere a run must take before
	// it is moved: paces alike differ by less.
	slowFactor = 1.15
)

// ShouldMove reports whether a run with so many events left should go on at an
// engine of another pace.
func ShouldMove(left int, pace, elsewhere time.Duration) bool {
	if float64(pace) < slowFactor*float64(elsewhere) {
		return false
	}
	return time.Duration(left)*(pace-elsewhere) > worthMoving
}
