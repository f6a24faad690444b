package placement

import "time"

// The urgency of an item at its engine, from 0, the first, to 9.
const (
	urgencyLate  = 1
	urgencyTight = 3
	urgencyUsual = 5
	// mostRank bounds what the rank of a route adds.
	mostRank = 1
	// tightSlack and lateSlack are the times to spare before the results are
	// due, below which an item goes before others.
	tightSlack = 3 * time.Second
	lateSlack  = time.Second
)

// Urgency ranks an item by the time to spare when so many events are left at a
// pace, and among items alike by the rank of their route, of which zero is the
// first.
func Urgency(left int, pace, due time.Duration, rank int) int {
	slack := due - time.Duration(left)*pace
	urgency := urgencyUsual
	switch {
	case slack < lateSlack:
		urgency = urgencyLate
	case slack < tightSlack:
		urgency = urgencyTight
	}
	return urgency + min(max(0, rank), mostRank)
}
