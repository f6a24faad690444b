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
var ErrLoopStopped = errors.New("kernel: the control loop has stopped")

// Loop is the control loop: one goroutine, locked to its own thread, that
// handles the messages of all mailboxes and the due timers, one at a time. It
// sleeps on a channel or a timer when there is nothing to do.
type Loop struct {
	clock clockwork.Clock
	wake  chan struct{}
	done  chan struct{}

	mu        sync.Mutex
	mailboxes []drainer

	timers timerHeap
}

// drainer is a mailbox as the loop sees it: drain handles the messages that
// are waiting and reports how many there were.
type drainer interface{ drain() int }

// NewLoop returns a loop that is not yet running.
func NewLoop(clock clockwork.Clock) *Loop {
	return &Loop{
		clock: clock,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
}

// Run handles messages until ctx ends. It locks the calling goroutine to its
// thread and must be called once.
func (l *Loop) Run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(l.done)
	for ctx.Err() == nil {
		if l.turn() > 0 {
			continue
		}
		l.sleep(ctx)
	}
}

// Done is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Now returns the time of the loop's clock.
func (l *Loop) Now() time.Time { return l.clock.Now() }

// turn handles what is waiting and reports how many messages and timers it
// handled.
func (l *Loop) turn() int {
	l.mu.Lock()
	mailboxes := l.mailboxes
	l.mu.Unlock()
	handled := l.fireDue()
	for _, mailbox := range mailboxes {
		handled += mailbox.drain()
	}
	return handled
}

// sleep waits for a message, the next timer or the end of ctx.
func (l *Loop) sleep(ctx context.Context) {
	if len(l.timers) == 0 {
		select {
		case <-ctx.Done():
		case <-l.wake:
		}
		return
	}
	timer := l.clock.NewTimer(l.timers[0].due.Sub(l.clock.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.wake:
	case <-timer.Chan():
	}
}

// signal wakes the loop; it never blocks.
func (l *Loop) signal() {
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
	due   time.Time
	fire  func()
	index int
}

const notInHeap = -1

// AfterFunc calls fire on the control goroutine once d has passed. Only code that
// runs on the control goroutine, or before the loop runs, may call it.
func (l *Loop) AfterFunc(d time.Duration, fire func()) *Timer {
	timer := &Timer{due: l.clock.Now().Add(d), fire: fire}
	heap.Push(&l.timers, timer)
	return timer
}

// CancelTimer stops a timer that has not fired. Only code that runs on the control
// goroutine may call it. A nil timer is ignored.
func (l *Loop) CancelTimer(timer *Timer) {
	if timer == nil || timer.index == notInHeap {
		return
	}
	heap.Remove(&l.timers, timer.index)
}

func (l *Loop) fireDue() int {
	now := l.clock.Now()
	fired := 0
	for len(l.timers) > 0 && !l.timers[0].due.After(now) {
		timer := heap.Pop(&l.timers).(*Timer)
		timer.fire()
		fired++
	}
	return fired
}

type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a timer; it is part of heap.Interface.
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

// Pop removes the last timer; it is part of heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = notInHeap
	return last
}
