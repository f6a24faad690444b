// Package usage decides which counts of begun requests are reported for which window of
// time. It answers the load of hundreds of daemons that begin requests, are killed,
// stopped and cut off while one of them gathers their counts, and of a store and a
// platform that are away for a while.
package usage

import (
	"slices"
	"time"
)

// Window is the number of a window of true time, counted from the start of 1970.
type Window int64

// Rules are the times of reports.
type Rules struct {
	// Length is the length of a window, and Due how soon after its end it must be
	// reported.
	Length time.Duration
	Due    time.Duration
}

const (
	// settleTime is how long after its end the counts of a window are gathered, so that
	// requests which began just before have been counted.
	settleTime = 700 * time.Millisecond
	// gatherRetryDelay is the pause before daemons that did not answer are asked again.
	gatherRetryDelay = 600 * time.Millisecond
	// stepRetryDelay is the pause after the store or the platform failed a step.
	stepRetryDelay = 300 * time.Millisecond
	// openTime is how late windows are still gathered, decided and reported.
	openTime = 2 * time.Minute
	// gatherFraction is the part of Due after which a window is decided without the
	// daemons that have not answered.
	gatherFraction = 0.45
)

// OpenWindows returns the number of windows that are open at the most.
func (r Rules) OpenWindows() Window { return max(1, Window(openTime/r.Length)) }

// KeepTime returns how long daemons must keep their counts.
func (r Rules) KeepTime() time.Duration { return time.Duration(r.OpenWindows()+1) * r.Length }

// WindowAt returns the window that a time belongs to.
func (r Rules) WindowAt(at time.Time) Window { return Window(at.UnixNano() / int64(r.Length)) }

// StartOf returns the start of a window, and EndOf its end.
func (r Rules) StartOf(window Window) time.Time { return time.Unix(0, int64(window)*int64(r.Length)) }

// EndOf returns the end of a window.
func (r Rules) EndOf(window Window) time.Time { return r.StartOf(window + 1) }

// clockTolerance is the difference between two clocks that does not matter for a window.
const clockTolerance = 250 * time.Millisecond

// ClockReading is how far a clock is ahead of another one, as read by messages, in
// nanoseconds. It crosses net/rpc. The type name is part of the gob encoding.
type ClockReading struct {
	Offset time.Duration
	// Uncertainty is half of the time that the messages took.
	Uncertainty time.Duration
}

// Delayed returns the reading of a clock that shows offset, by a request and a reply that
// together took a time besides that of an earlier reading.
func (r ClockReading) Delayed(took time.Duration) ClockReading {
	return ClockReading{Offset: r.Offset - took/2, Uncertainty: r.Uncertainty + took/2}
}

// IsUseful reports whether a reading is exact enough to tell a wrong clock.
func (r ClockReading) IsUseful() bool { return r.Uncertainty <= clockTolerance }

// Differs reports whether a clock seems to be wrong by something else than a known error.
func (r ClockReading) Differs(known time.Duration) bool { return IsWrong(r.Offset - known) }

// Error returns by how much a clock is certainly wrong, and zero if it may be right.
func (r ClockReading) Error() time.Duration {
	if r.Offset.Abs() <= clockTolerance+r.Uncertainty {
		return 0
	}
	return r.Offset
}

// IsWrong reports whether a clock that is ahead of the true time by an offset is wrong.
func IsWrong(offset time.Duration) bool { return offset.Abs() > clockTolerance }

// Median returns the median of the offsets of clocks, and zero without any. It is right as
// long as most clocks are.
func Median(offsets []time.Duration) time.Duration {
	if len(offsets) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(offsets))
	return sorted[len(sorted)/2]
}
