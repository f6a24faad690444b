package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Workers runs blocking calls outside the control goroutine. At most a set
// number run at once; the rest wait for a turn.
type Workers struct {
	ctx    context.Context
	cancel context.CancelFunc
	turns  chan struct{}
	group  conc.WaitGroup

	mu      sync.Mutex
	stopped bool
}

// NewWorkers returns a pool that runs at most limit calls at once.
func NewWorkers(limit int) *Workers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Workers{ctx: ctx, cancel: cancel, turns: make(chan struct{}, limit)}
}

// Go runs work on a goroutine of its own once there is a turn. It never
// blocks. The context given to work ends when the pool stops; work that is
// given to a stopped pool does not run.
func (w *Workers) Go(work func(ctx context.Context)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.group.Go(func() {
		select {
		case w.turns <- struct{}{}:
		case <-w.ctx.Done():
			return
		}
		defer func() { <-w.turns }()
		work(w.ctx)
	})
}

// Stop ends the context of all work and waits for it.
func (w *Workers) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.cancel()
	w.group.Wait()
}

// AsyncResult is the outcome of a blocking call.
type AsyncResult[T any] struct {
	Value T
	Err   error
}

// RunAsync makes a blocking call on a worker, with a time limit, and posts its
// reply to a mailbox of the control loop. A limit of zero means none.
func RunAsync[T any](w *Workers, limit time.Duration, to *Mailbox[AsyncResult[T]], work func(ctx context.Context) (T, error)) {
	w.Go(func(ctx context.Context) {
		if limit > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, limit)
			defer cancel()
		}
		value, err := work(ctx)
		_ = to.Post(AsyncResult[T]{Value: value, Err: err})
	})
}
