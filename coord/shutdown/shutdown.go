// Package shutdown decides when the steps of a planned stop happen. All times follow
// from the grace period of the platform, so that no step uses up the time of another.
package shutdown

import "time"

const (
	// unreadyPeriod is how long the load balancer may still send requests after a
	// daemon has reported that it is not ready: it probes once a second and stops after
	// two failed probes.
	unreadyPeriod = 3 * time.Second
	// maxUnreadyFraction bounds unreadyPeriod, as a fraction of the grace period.
	maxUnreadyFraction = 0.75
	// reserveFraction is the fraction of the grace period that is left after the
	// requests in flight have been ended, and maxReserve the longest time that the rest
	// of the stop takes. The platform expects requests to end within five sixths of the
	// grace period, so this leaves room for the delay of their last bytes.
	reserveFraction = 0.1
	maxReserve      = 800 * time.Millisecond
	// closeFraction and endFraction divide that time: the responses to requests that
	// were ended, the remaining services, and the last lines of the log.
	closeFraction = 0.2
	endFraction   = 0.75
	// minHandoverFraction is the least fraction of the grace period that is reserved
	// before DrainEnd for handing over the batch jobs: with a slow store a write and
	// reading its outcome take seconds.
	minHandoverFraction = 0.4
)

// Schedule is the schedule of a planned stop.
type Schedule struct {
	// UnreadyEnd is when the listener for callers is closed. Until then the load balancer
	// may send new requests.
	UnreadyEnd time.Time
	// HandoverAt is when the batch jobs are handed over, beside the requests in flight.
	HandoverAt time.Time
	// DrainEnd is when requests in flight are ended.
	DrainEnd time.Time
	// CloseAt is when the connections are closed of requests that were ended.
	CloseAt time.Time
	// StopEnd is when the last service must have stopped.
	StopEnd time.Time
	// KillAt is when the platform kills the process.
	KillAt time.Time
}

// NewSchedule returns the schedule of a process that was asked to stop at a time and is
// killed after a grace period.
func NewSchedule(requested time.Time, grace time.Duration) Schedule {
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(grace)) }
	reserve := min(maxReserve, fraction(reserveFraction))
	part := func(f float64) time.Duration { return time.Duration(f * float64(reserve)) }
	drainEnd := requested.Add(grace - reserve)
	unready := min(unreadyPeriod, fraction(maxUnreadyFraction))
	return Schedule{
		UnreadyEnd: requested.Add(unready),
		HandoverAt: requested.Add(min(unready, grace-reserve-fraction(minHandoverFraction))),
		DrainEnd:   drainEnd,
		CloseAt:    drainEnd.Add(part(closeFraction)),
		StopEnd:    drainEnd.Add(part(endFraction)),
		KillAt:     requested.Add(grace),
	}
}

// MayOutlast reports whether a request with a deadline could still be in progress when
// requests are ended.
func (s Schedule) MayOutlast(deadline time.Time) bool { return deadline.After(s.DrainEnd) }
