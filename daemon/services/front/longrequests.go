package front

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// longRequestFraction is the fraction of the shutdown timeout after which long
// requests (rollouts, Drafts and waits for a step) are canceled. They may take
// longer than the whole timeout. Canceling them early returns a definite error to
// their callers and leaves time for other requests and for handing over the state
// of this daemon.
const longRequestFraction = 0.5

// drainFraction is the fraction of the shutdown timeout for which requests in flight are
// waited for. The rest is for handing over the state of this daemon.
const drainFraction = 0.75

// longRequests cancels the long requests of a daemon that is stopping.
type longRequests struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newLongRequests() *longRequests {
	l := &longRequests{}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	return l
}

// longRequestTimeout returns the time from the start of a shutdown to the
// cancellation of long requests.
func longRequestTimeout(stopTimeout time.Duration) time.Duration {
	return time.Duration(longRequestFraction * float64(stopTimeout))
}

// cancelAll cancels the long requests. Their cause has code Stopping.
func (l *longRequests) cancelAll() { l.cancel(result.New(result.Stopping, "")) }

// newContext returns a context that ends with parent or with cancelAll, and a
// function that releases it. It fails with code Stopping after cancelAll.
func (l *longRequests) newContext(parent context.Context) (context.Context, context.CancelFunc, error) {
	if l.ctx.Err() != nil {
		return nil, nil, context.Cause(l.ctx)
	}
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(l.ctx, func() { cancel(context.Cause(l.ctx)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}, nil
}
