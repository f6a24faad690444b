package placement

import "time"

// Priorities of an item on its engine, from 0, the highest, to 9.
const (
	priorityLate   = 1
	priorityTight  = 3
	priorityNormal = 5
	// maxRoutePriority bounds the part of the priority that comes from the
	// route.
	maxRoutePriority = 1
	// tightSlack and lateSlack are the times to spare before the deadline of
	// the results below which an item has a higher priority.
	tightSlack = 3 * time.Second
	lateSlack  = time.Second
)

// IsPressing reports whether an item with remainingEvents at a pace has little time to
// spare before the deadline of its results.
func IsPressing(remainingEvents int, pace, timeLeft time.Duration) bool {
	return timeLeft-time.Duration(remainingEvents)*pace < tightSlack
}

// Urgency returns the priority of an item from the time to spare: timeLeft
// until the deadline less the time for remainingEvents at a pace. Among items
// with equal time to spare the priority of the route decides, of which zero is
// the highest.
func Urgency(remainingEvents int, pace, timeLeft time.Duration, routePriority int) int {
	slack := timeLeft - time.Duration(remainingEvents)*pace
	priority := priorityNormal
	switch {
	case slack < lateSlack:
		priority = priorityLate
	case slack < tightSlack:
		priority = priorityTight
	}
	return priority + min(max(0, routePriority), maxRoutePriority)
}
