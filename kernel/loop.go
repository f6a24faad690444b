package kernel

import (
	"container/heap"
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// ErrLoopStopped is returned when the control loop has ended.
var ErrLoopStopped = errors.New("kernel: control loop stopped")

// Loop is the control loop: one goroutine, locked to its own thread, that
// handles the messages of all mailboxes and the expired timers one at a time.
// While idle it blocks on a channel or a timer.
type Loop struct {
	clock clockwork.Clock
	wake  chan struct{}
	done  chan struct{}
	guard *Guard

	mu        sync.Mutex
	mailboxes []drainer

	timers timerHeap
}

// drainer is the loop's interface to a mailbox. drain handles the queued
// messages and returns their number.
type drainer interface{ drain() int }

// NewLoop returns a loop that is not yet running.
func NewLoop(clock clockwork.Clock) *Loop {
	return &Loop{
		clock: clock,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
}

// Run handles messages and timers until ctx is done. It locks the calling
// goroutine to its thread and must be called only once.
func (l *Loop) Run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(l.done)
	for ctx.Err() == nil {
		if l.runOnce() > 0 {
			continue
		}
		l.sleep(ctx)
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Now returns the time of the loop's clock.
func (l *Loop) Now() time.Time { return l.clock.Now() }

// runOnce handles the expired timers and the queued messages and returns their
// number.
func (l *Loop) runOnce() int {
	l.mu.Lock()
	mailboxes := l.mailboxes
	l.mu.Unlock()
	handled := l.fireExpired()
	for _, mailbox := range mailboxes {
		handled += mailbox.drain()
	}
	return handled
}

// sleep blocks until a message arrives, the next timer expires or ctx is done.
func (l *Loop) sleep(ctx context.Context) {
	if len(l.timers) == 0 {
		select {
		case <-ctx.Done():
		case <-l.wake:
		}
		return
	}
	timer := l.clock.NewTimer(l.timers[0].deadline.Sub(l.clock.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.wake:
	case <-timer.Chan():
	}
}

// notify wakes the loop without blocking.
func (l *Loop) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) attach(mailbox drainer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mailboxes = append(l.mailboxes[:len(l.mailboxes):len(l.mailboxes)], mailbox)
}

// Timer is a pending call of AfterFunc.
type Timer struct {
	deadline time.Time
	callback func()
	index    int
}

const notInHeap = -1

// AfterFunc calls callback on the control goroutine after d. It may be called
// only on the control goroutine, or before the loop runs.
func (l *Loop) AfterFunc(d time.Duration, callback func()) *Timer {
	timer := &Timer{deadline: l.clock.Now().Add(d), callback: callback}
	heap.Push(&l.timers, timer)
	return timer
}

// CancelTimer stops a timer that has not fired; otherwise it does nothing. It
// may be called only on the control goroutine. A nil timer is ignored.
func (l *Loop) CancelTimer(timer *Timer) {
	if timer == nil || timer.index == notInHeap {
		return
	}
	heap.Remove(&l.timers, timer.index)
}

func (l *Loop) fireExpired() int {
	now := l.clock.Now()
	fired := 0
	for len(l.timers) > 0 && !l.timers[0].deadline.After(now) {
		timer := heap.Pop(&l.timers).(*Timer)
		l.guard.Run("a timer of the control loop", timer.callback)
		fired++
	}
	return fired
}

type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = notInHeap
	return last
}
