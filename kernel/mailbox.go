package kernel

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrMailboxFull is returned when a mailbox has reached its capacity.
var ErrMailboxFull = errors.New("kernel: mailbox full")

// Mailbox is a bounded queue of typed messages to the control loop. Post may
// be called from any goroutine; the handler runs on the control goroutine.
type Mailbox[M any] struct {
	loop     *Loop
	capacity int
	handle   func(M)
	dropped  atomic.Uint64

	mu    sync.Mutex
	queue []M
	spare []M
	// room is closed when the queue has been emptied; nil if nobody waits.
	room chan struct{}
}

// NewMailbox returns a mailbox that is attached to a loop. Its capacity is a
// number of messages.
func NewMailbox[M any](loop *Loop, capacity int, handle func(M)) *Mailbox[M] {
	mb := &Mailbox[M]{loop: loop, capacity: capacity, handle: handle}
	loop.attach(mb)
	return mb
}

// Post queues a message without blocking. If the mailbox is full, Post drops the
// message, counts it and returns ErrMailboxFull.
func (mb *Mailbox[M]) Post(message M) error {
	mb.mu.Lock()
	if len(mb.queue) >= mb.capacity {
		mb.mu.Unlock()
		mb.dropped.Add(1)
		return ErrMailboxFull
	}
	mb.queue = append(mb.queue, message)
	mb.mu.Unlock()
	mb.loop.notify()
	return nil
}

// PostWait queues a message, and waits for room while the mailbox is full. It
// returns the error of the context if that ends first. The control goroutine must
// not call it.
func (mb *Mailbox[M]) PostWait(ctx context.Context, message M) error {
	for {
		mb.mu.Lock()
		if len(mb.queue) < mb.capacity {
			mb.queue = append(mb.queue, message)
			mb.mu.Unlock()
			mb.loop.notify()
			return nil
		}
		if mb.room == nil {
			mb.room = make(chan struct{})
		}
		room := mb.room
		mb.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Dropped returns the number of messages dropped by Post.
func (mb *Mailbox[M]) Dropped() uint64 { return mb.dropped.Load() }

func (mb *Mailbox[M]) drain() int {
	mb.mu.Lock()
	batch := mb.queue
	mb.queue, mb.spare = mb.spare[:0], nil
	if mb.room != nil {
		close(mb.room)
		mb.room = nil
	}
	mb.mu.Unlock()
	for _, message := range batch {
		mb.loop.guard.Run("a message to the control loop", func() { mb.handle(message) })
	}
	count := len(batch)
	clear(batch)
	mb.mu.Lock()
	mb.spare = batch
	mb.mu.Unlock()
	return count
}

// CoalescingMailbox is a mailbox that keeps only the newest message of each key,
// for reports that a newer one replaces. The order between keys is undefined.
type CoalescingMailbox[K comparable, M any] struct {
	loop     *Loop
	capacity int
	handle   func(K, M)
	dropped  atomic.Uint64

	mu    sync.Mutex
	queue map[K]M
}

// NewCoalescingMailbox returns a coalescing mailbox that is attached to a loop.
// Its capacity is a number of keys.
func NewCoalescingMailbox[K comparable, M any](loop *Loop, capacity int, handle func(K, M)) *CoalescingMailbox[K, M] {
	cm := &CoalescingMailbox[K, M]{loop: loop, capacity: capacity, handle: handle, queue: make(map[K]M)}
	loop.attach(cm)
	return cm
}

// Post queues a message and replaces a queued one of the same key. If the key is
// new and the mailbox is full, Post drops the message, counts it and returns
// ErrMailboxFull.
func (cm *CoalescingMailbox[K, M]) Post(key K, message M) error {
	cm.mu.Lock()
	_, known := cm.queue[key]
	if !known && len(cm.queue) >= cm.capacity {
		cm.mu.Unlock()
		cm.dropped.Add(1)
		return ErrMailboxFull
	}
	cm.queue[key] = message
	cm.mu.Unlock()
	cm.loop.notify()
	return nil
}

// Dropped returns the number of messages dropped by Post.
func (cm *CoalescingMailbox[K, M]) Dropped() uint64 { return cm.dropped.Load() }

func (cm *CoalescingMailbox[K, M]) drain() int {
	cm.mu.Lock()
	if len(cm.queue) == 0 {
		cm.mu.Unlock()
		return 0
	}
	batch := cm.queue
	cm.queue = make(map[K]M, len(batch))
	cm.mu.Unlock()
	for key, message := range batch {
		cm.loop.guard.Run("a message to the control loop", func() { cm.handle(key, message) })
	}
	return len(batch)
}

// task is a function to run on the control goroutine.
type task struct {
	run func()
	// err is set before done is closed.
	err  error
	done chan struct{}
}

const executorCapacity = 1024

// LoopExecutor runs functions on the control goroutine for callers that wait for
// the result, such as an operator's status query.
type LoopExecutor struct {
	loop    *Loop
	mailbox *Mailbox[*task]
}

// NewLoopExecutor returns an executor whose mailbox is attached to a loop.
func NewLoopExecutor(loop *Loop) *LoopExecutor {
	return &LoopExecutor{loop: loop, mailbox: NewMailbox(loop, executorCapacity, func(t *task) {
		defer close(t.done)
		t.err = ErrPanicked
		t.run()
		t.err = nil
	})}
}

// Do runs a function on the control goroutine and waits until it returns. It
// fails with ErrMailboxFull, ErrPanicked, ErrLoopStopped or the error of ctx; in
// the last two cases the function may still run. It must not be called on the control
// goroutine, where it would block forever.
func (e *LoopExecutor) Do(ctx context.Context, run func()) error {
	t := &task{run: run, done: make(chan struct{})}
	if err := e.mailbox.Post(t); err != nil {
		return err
	}
	select {
	case <-t.done:
		return t.err
	case <-e.loop.Done():
		return ErrLoopStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
