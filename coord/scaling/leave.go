package scaling

import "time"

// leaveMargin is the time that a run must finish before its server leaves. The server's
// notice is some hundred milliseconds old, and the lengths of texts are estimates.
const leaveMargin = 500 * time.Millisecond

// Departure is when a server leaves that was reclaimed.
type Departure struct {
	// Started identifies the process of the server.
	Started int64
	At      time.Time
}

// Update returns the departure after a notice that was read at a time. A notice may be
// older than the one before, so the earlier departure holds.
func (d Departure) Update(started int64, leavesIn time.Duration, now time.Time) Departure {
	next := Departure{Started: started, At: now.Add(leavesIn)}
	if !d.At.IsZero() && d.Started == started && d.At.Before(next.At) {
		return d
	}
	return next
}

// Finishes reports whether a run with a number of events left at a pace finishes before
// its server leaves.
//
// The load that it answers: all reclaimable servers of a zone leave within seconds, while
// their slots are full. A run that finishes costs nothing. One that does not is resumed
// elsewhere at once: it would be lost in the last moment together with all others, and
// its caller would wait until the silence of the server is noticed.
func (d Departure) Finishes(events int, pace time.Duration, now time.Time) bool {
	return !now.Add(time.Duration(events)*pace + leaveMargin).After(d.At)
}
