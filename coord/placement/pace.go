package placement

import (
	"math"
	"time"
)

const (
	// MinSampleEvents is the lowest number of events of a run that give its
	// pace.
	MinSampleEvents = 8
	// minBestPaceEvents is the lowest number of events of a run whose pace may
	// become the best pace of the engine: a few events that arrive together
	// give too short a time.
	minBestPaceEvents = 16
	// paceSmoothing is the weight of a new run in the recent pace of an engine.
	paceSmoothing = 0.4
	// The recent pace is used unchanged up to the age of recentPaceFull and
	// ignored from recentPaceExpiry on, when the best pace is assumed again:
	// engines are slow for some seconds at a time, and an unused engine gives
	// no new samples.
	recentPaceFull   = 2 * time.Second
	recentPaceExpiry = 8 * time.Second
	// minReportedChange is the relative change of a pace from the last one sent
	// to other daemons above which it is sent again.
	minReportedChange = 0.2
)

// PaceEstimate is the estimated time between the events of a run on an engine.
// The zero value is for an engine without completed samples.
type PaceEstimate struct {
	// Best is the shortest mean time between the events of a run so far; zero
	// means unknown.
	Best time.Duration
	// Recent is the moving average of the time between events in the newest
	// runs.
	Recent time.Duration
	// UpdatedAt is the time of the last update of Recent.
	UpdatedAt time.Time
}

// PaceSample is the measured pace of a run.
type PaceSample struct {
	// Recent is the time between the newest events, and Mean the mean over all
	// events of the run.
	Recent time.Duration
	Mean   time.Duration
	Events int
}

// AddSample updates the estimate with a sample.
func (e *PaceEstimate) AddSample(sample PaceSample, now time.Time) {
	if e.Recent == 0 || now.Sub(e.UpdatedAt) > recentPaceExpiry {
		e.Recent = sample.Recent
	}
	e.Recent += time.Duration(paceSmoothing * float64(sample.Recent-e.Recent))
	e.UpdatedAt = now
	if sample.Events >= minBestPaceEvents && (e.Best == 0 || sample.Mean < e.Best) {
		e.Best = sample.Mean
	}
}

// At estimates the pace of a run that starts now; zero means unknown.
func (e *PaceEstimate) At(now time.Time) time.Duration {
	age := now.Sub(e.UpdatedAt)
	switch {
	case e.Best == 0 || e.Recent == 0 || age <= recentPaceFull:
		return max(e.Best, e.Recent)
	case age >= recentPaceExpiry:
		return e.Best
	}
	weight := float64(recentPaceExpiry-age) / float64(recentPaceExpiry-recentPaceFull)
	return e.Best + time.Duration(weight*float64(e.Recent-e.Best))
}

// Merge updates the estimate with the one that another daemon has just sent.
func (e *PaceEstimate) Merge(other PaceEstimate, now time.Time) {
	if other.Best != 0 && (e.Best == 0 || other.Best < e.Best) {
		e.Best = other.Best
	}
	if other.Recent != 0 {
		e.Recent, e.UpdatedAt = other.Recent, now
	}
}

// DiffersFrom reports whether the estimate differs enough from the one sent
// last to be sent again.
func (e *PaceEstimate) DiffersFrom(sent PaceEstimate) bool {
	return differs(e.Best, sent.Best) || differs(e.Recent, sent.Recent)
}

func differs(a, b time.Duration) bool {
	return math.Abs(float64(a-b)) > minReportedChange*float64(max(b, 1))
}

const (
	// minMoveSaving is the time that a move must save: the run restarts and its
	// prompt is processed again.
	minMoveSaving = 300 * time.Millisecond
	// minMovePaceRatio is the lowest ratio of the pace of a run to the other
	// pace for a move. Engines of similar pace differ by less.
	minMovePaceRatio = 1.15
)

// IsWorthWaiting reports whether an item should wait for an engine that continues its
// text, rather than be generated anew elsewhere. Waiting costs no more than the time to
// generate its events again.
func IsWorthWaiting(waited time.Duration, events int, pace time.Duration) bool {
	return waited < time.Duration(events)*pace
}

// ShouldMove reports whether a run with remainingEvents should move to an
// engine with another pace.
func ShouldMove(remainingEvents int, pace, otherPace time.Duration) bool {
	if float64(pace) < minMovePaceRatio*float64(otherPace) {
		return false
	}
	return time.Duration(remainingEvents)*(pace-otherPace) > minMoveSaving
}
