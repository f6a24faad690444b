package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stepEnd simulates the end of a step: its results are written to the log, each write
// takes writeTime, and a trainer reads the log. A read waits up to a second for new
// results, and the next one begins readPause after it.
type stepEnd struct {
	finishedAt []time.Duration
	// isBounded reports whether the time left of an item is known.
	isBounded func(item int) bool
	due       time.Duration
	delay     func(waited, untilDue, untilWanted time.Duration) time.Duration
}

const (
	writeTime = 80 * time.Millisecond
	tick      = 10 * time.Millisecond
)

// run returns when the trainer has read all results, and the longest time that a
// result waited for its write to begin.
func (e *stepEnd) run() (readAt, longestWait time.Duration) {
	listed, read, writing := 0, 0, 0
	var writeEnds, nextRead, readBegan time.Duration
	isReading := false
	for now := time.Duration(0); ; now += tick {
		if writing > 0 && now >= writeEnds {
			listed, writing = listed+writing, 0
		}
		finished, oldest := 0, now
		items := make([]ItemState, len(e.finishedAt))
		for i, at := range e.finishedAt {
			items[i] = ItemState{Group: fmt.Sprint(i), TimeLeft: UnknownTime}
			switch {
			case at <= now:
				items[i].TimeLeft = 0
				if finished++; finished > listed+writing {
					oldest = min(oldest, at)
				}
			case e.isBounded(i):
				items[i].TimeLeft = at - now
			}
		}
		if writing == 0 && finished > listed && e.delay(now-oldest, e.due-now, UntilWanted(items, len(items))) <= 0 {
			writing, writeEnds = finished-listed, now+writeTime
			longestWait = max(longestWait, now-oldest)
		}
		if !isReading && now >= nextRead {
			isReading, readBegan = true, now
		}
		if isReading && (listed > read || now-readBegan >= time.Second) {
			read, isReading, nextRead = listed, false, now+readPause
		}
		if read == len(e.finishedAt) {
			return now, longestWait
		}
	}
}

// TestWriteDelay_EndOfStep plays steps whose last texts reach their longest length
// within 0.3 s of each other, after others that end at any time, before the deadline and
// two seconds after it. The trainer must have all results earlier than without holding, on
// average, never later than its pause and two writes after the last text, and no result
// waits for its write longer than the ordinary delay and a pause.
func TestWriteDelay_EndOfStep(t *testing.T) {
	const items, bounded, steps = 60, 3, 50
	plain := func(waited, untilDue, untilWanted time.Duration) time.Duration {
		if untilWanted <= 0 {
			return 0
		}
		return max(0, min(maxWriteDelay-waited, untilDue-writeMargin))
	}
	for _, untilDue := range []time.Duration{300 * time.Millisecond, -2 * time.Second} {
		var delayPlain, delayHeld time.Duration
		random := rand.New(rand.NewPCG(1, 2))
		for range steps {
			end := 7*time.Second + time.Duration(random.Int64N(int64(time.Second)))
			finishedAt := make([]time.Duration, 0, items)
			for i := range items - bounded {
				finishedAt = append(finishedAt, end*time.Duration(i+1)/items-time.Second/2)
			}
			for range bounded - 1 {
				finishedAt = append(finishedAt, end-time.Duration(random.Int64N(int64(300*time.Millisecond))))
			}
			finishedAt = append(finishedAt, end)
			step := stepEnd{finishedAt: finishedAt, isBounded: func(item int) bool { return item >= items-bounded }, due: end + untilDue, delay: plain}
			readAt, _ := step.run()
			delayPlain += readAt - end
			step.delay = WriteDelay
			readAt, longestWait := step.run()
			delayHeld += readAt - end
			must.LessEq(t, end+readPause+2*writeTime+2*tick, readAt)
			must.LessEq(t, maxWriteDelay+readPause+writeTime, longestWait)
		}
		t.Logf("mean delay of the trainer's last read: %v, and %v without holding", delayHeld/steps, delayPlain/steps)
		must.Less(t, delayPlain, delayHeld)
	}
}

func TestWriteDelay_Bounds(t *testing.T) {
	const day = 24 * time.Hour
	// Enough groups are complete.
	must.Zero(t, WriteDelay(0, day, 0))
	// The end of the step is far or unknown.
	must.Eq(t, maxWriteDelay, WriteDelay(0, day, UnknownTime))
	must.Zero(t, WriteDelay(maxWriteDelay, day, time.Second))
	// The end is near.
	must.Eq(t, 300*time.Millisecond, WriteDelay(maxWriteDelay, day, 300*time.Millisecond))
	must.Zero(t, WriteDelay(maxWriteDelay+readPause, day, 300*time.Millisecond))
	// The deadline is near, or comes before the end.
	must.Zero(t, WriteDelay(0, writeMargin, UnknownTime))
	must.Eq(t, 300*time.Millisecond, WriteDelay(0, 400*time.Millisecond, 300*time.Millisecond))
	must.Zero(t, WriteDelay(0, 200*time.Millisecond, 300*time.Millisecond))
	// The deadline has passed.
	must.Eq(t, 300*time.Millisecond, WriteDelay(0, -time.Second, 300*time.Millisecond))
	must.Zero(t, WriteDelay(maxWriteDelay+readPause, -time.Second, 300*time.Millisecond))
	must.Zero(t, WriteDelay(0, -time.Second, UnknownTime))
}

func TestUntilWanted_Groups(t *testing.T) {
	items := []ItemState{{"a", 0}, {"a", 2}, {"b", 0}, {"c", 5}, {"c", UnknownTime}}
	must.Zero(t, UntilWanted(items, 0))
	must.Zero(t, UntilWanted(items, 1))
	must.Eq(t, 2, UntilWanted(items, 2))
	must.Eq(t, UnknownTime, UntilWanted(items, 3))
	// A trainer that waits for more groups than there are gets all of them.
	must.Eq(t, UnknownTime, UntilWanted(items, 4))
}
