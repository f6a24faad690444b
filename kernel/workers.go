package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Workers is a pool for blocking calls, which must not run on the control
// goroutine. It limits the concurrent calls; the others wait for a slot.
type Workers struct {
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	guard  *Guard
	group  conc.WaitGroup

	mu      sync.Mutex
	stopped bool
}

// NewWorkers returns a pool that runs at most limit calls concurrently.
func NewWorkers(limit int) *Workers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Workers{ctx: ctx, cancel: cancel, slots: make(chan struct{}, limit)}
}

// Go runs work on a new goroutine as soon as a slot is free. It never blocks.
// The context of work is cancelled when the pool stops. Work that has no slot by
// then, or is submitted later, does not run.
func (w *Workers) Go(work func(ctx context.Context)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.group.Go(func() {
		select {
		case w.slots <- struct{}{}:
		case <-w.ctx.Done():
			return
		}
		defer func() { <-w.slots }()
		w.guard.Run("a call on a worker", func() { work(w.ctx) })
	})
}

// Stop cancels the context of all work and waits until it has returned.
func (w *Workers) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.cancel()
	w.group.Wait()
}

// AsyncResult is the result of a call by RunAsync.
type AsyncResult[T any] struct {
	Value T
	Err   error
}

// RunAsync makes a blocking call on a worker and posts its result to a mailbox
// of the control loop, waiting for room if the mailbox is full, so that each call
// that began has a result unless the workers stop. The result of a call that panics
// is ErrPanicked. A timeout of zero means none.
func RunAsync[T any](w *Workers, timeout time.Duration, results *Mailbox[AsyncResult[T]], work func(ctx context.Context) (T, error)) {
	w.Go(func(ctx context.Context) {
		result := AsyncResult[T]{Err: ErrPanicked}
		workersCtx := ctx
		// An error means that the workers stop, and nothing handles results any more.
		defer func() { _ = results.PostWait(workersCtx, result) }()
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		value, err := work(ctx)
		result = AsyncResult[T]{Value: value, Err: err}
	})
}
