package kernel

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrMailboxFull is returned when a mailbox holds as many messages as it may.
var ErrMailboxFull = errors.New("kernel: the mailbox is full")

// Mailbox is a bounded queue of typed messages to the control loop. Post may
// be called from any goroutine; the handler runs on the control goroutine.
type Mailbox[M any] struct {
	loop     *Loop
	capacity int
	handle   func(M)
	dropped  atomic.Uint64

	mu      sync.Mutex
	waiting []M
	spare   []M
}

// NewMailbox attaches a mailbox to a loop. The capacity is a count of
// messages.
func NewMailbox[M any](loop *Loop, capacity int, handle func(M)) *Mailbox[M] {
	mb := &Mailbox[M]{loop: loop, capacity: capacity, handle: handle}
	loop.attach(mb)
	return mb
}

// Post queues a message. A full mailbox refuses it with ErrMailboxFull and
// counts the drop.
func (mb *Mailbox[M]) Post(message M) error {
	mb.mu.Lock()
	if len(mb.waiting) >= mb.capacity {
		mb.mu.Unlock()
		mb.dropped.Add(1)
		return ErrMailboxFull
	}
	mb.waiting = append(mb.waiting, message)
	mb.mu.Unlock()
	mb.loop.signal()
	return nil
}

// Dropped counts the messages that were refused.
func (mb *Mailbox[M]) Dropped() uint64 { return mb.dropped.Load() }

func (mb *Mailbox[M]) drain() int {
	mb.mu.Lock()
	batch := mb.waiting
	mb.waiting, mb.spare = mb.spare[:0], nil
	mb.mu.Unlock()
	for _, message := range batch {
		mb.handle(message)
	}
	count := len(batch)
	clear(batch)
	mb.mu.Lock()
	mb.spare = batch
	mb.mu.Unlock()
	return count
}

// CoalescingMailbox is a mailbox that keeps only the newest message of each key, for
// reports where an older one is worth nothing once a newer one is there.
type CoalescingMailbox[K comparable, M any] struct {
	loop     *Loop
	capacity int
	handle   func(K, M)
	dropped  atomic.Uint64

	mu      sync.Mutex
	waiting map[K]M
}

// NewCoalescingMailbox attaches a coalescing mailbox to a loop. The capacity is a count
// of keys.
func NewCoalescingMailbox[K comparable, M any](loop *Loop, capacity int, handle func(K, M)) *CoalescingMailbox[K, M] {
	lb := &CoalescingMailbox[K, M]{loop: loop, capacity: capacity, handle: handle, waiting: make(map[K]M)}
	loop.attach(lb)
	return lb
}

// Post queues a message in place of an older one of the same key. A mailbox
// that holds its full count of other keys refuses it with ErrMailboxFull.
func (lb *CoalescingMailbox[K, M]) Post(key K, message M) error {
	lb.mu.Lock()
	_, known := lb.waiting[key]
	if !known && len(lb.waiting) >= lb.capacity {
		lb.mu.Unlock()
		lb.dropped.Add(1)
		return ErrMailboxFull
	}
	lb.waiting[key] = message
	lb.mu.Unlock()
	lb.loop.signal()
	return nil
}

// Dropped counts the messages that were refused.
func (lb *CoalescingMailbox[K, M]) Dropped() uint64 { return lb.dropped.Load() }

func (lb *CoalescingMailbox[K, M]) drain() int {
	lb.mu.Lock()
	if len(lb.waiting) == 0 {
		lb.mu.Unlock()
		return 0
	}
	batch := lb.waiting
	lb.waiting = make(map[K]M, len(batch))
	lb.mu.Unlock()
	for key, message := range batch {
		lb.handle(key, message)
	}
	return len(batch)
}

// call is a function that waits to run on the control goroutine.
type call struct {
	run  func()
	done chan struct{}
}

const callCapacity = 1024

// LoopExecutor runs functions on the control goroutine for callers that wait for the
// result, such as an operator's status query.
type LoopExecutor struct {
	loop    *Loop
	mailbox *Mailbox[call]
}

// NewLoopExecutor attaches a mailbox for calls to a loop.
func NewLoopExecutor(loop *Loop) *LoopExecutor {
	return &LoopExecutor{loop: loop, mailbox: NewMailbox(loop, callCapacity, func(c call) {
		c.run()
		close(c.done)
	})}
}

// Do runs a function on the control goroutine and waits for it. It fails with
// ErrMailboxFull, ErrLoopStopped or the error of ctx; in the last two cases
// the function may still run. It must not be called on the control goroutine.
func (cs *LoopExecutor) Do(ctx context.Context, run func()) error {
	c := call{run: run, done: make(chan struct{})}
	if err := cs.mailbox.Post(c); err != nil {
		return err
	}
	select {
	case <-c.done:
		return nil
	case <-cs.loop.Done():
		return ErrLoopStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
