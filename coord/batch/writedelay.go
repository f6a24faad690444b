package batch

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWriteDelay is how long a finished result may wait to be written together
	// with others, as each write to the store is charged.
	maxWriteDelay = 700 * time.Millisecond
	// readPause is the time between two reads of a trainer. A read that waits for
	// new results returns with the first of them, and the rest is seen a pause
	// later.
	readPause = 600 * time.Millisecond
	// writeMargin is the time before the deadline of a job from which results are
	// written without delay.
	writeMargin = time.Second
)

// WriteDelay returns how long the finished results of a job may still wait to be
// written to its log. Waited is how long the oldest of them has waited, untilDue the
// time to the job's deadline, and untilWanted the upper bound of the time until as
// many groups are complete as the trainer waits for, as of UntilWanted.
//
// It answers steps whose last texts end within a second of each other and close to
// the deadline: results written just before the last of them would answer the
// trainer's read, and the trainer would see the last ones only with its next read.
// Results are not held for a group that may miss the deadline. Those of a step that has
// missed it are: the next step waits for its end.
func WriteDelay(waited, untilDue, untilWanted time.Duration) time.Duration {
	if untilWanted <= 0 {
		return 0
	}
	if untilWanted <= readPause && (untilWanted <= untilDue || untilDue <= 0) {
		return max(0, min(untilWanted, maxWriteDelay+readPause-waited))
	}
	return max(0, min(maxWriteDelay-waited, untilDue-writeMargin))
}

// UnknownTime is the time left of an item that may take arbitrarily long.
const UnknownTime = time.Duration(math.MaxInt64)

// ItemState is the group of an item and the upper bound of the time until its result
// is finished, zero if it is.
type ItemState struct {
	Group    string
	TimeLeft time.Duration
}

// UntilWanted returns the upper bound of the time until the given number of groups is
// complete: zero if they are, UnknownTime if there is no bound.
func UntilWanted(items []ItemState, wantedGroups int) time.Duration {
	timeLeft := make(map[string]time.Duration)
	for _, item := range items {
		timeLeft[item.Group] = max(timeLeft[item.Group], item.TimeLeft)
	}
	times := make([]time.Duration, 0, len(timeLeft))
	for _, left := range timeLeft {
		times = append(times, left)
	}
	if wantedGroups <= 0 || len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(wantedGroups, len(times))-1]
}
