package front

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// longPart is the part of the time to stop for which long requests (rollouts,
// Drafts and waits for a step) go on. They may take longer than the whole of
// it, so that they are then broken off and told so, and the rest of the time
// is left for all other requests and for handing over what this daemon holds.
const longPart = 0.5

// breakOff ends the long requests of a daemon that stops.
type breakOff struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newBreakOff() *breakOff {
	b := &breakOff{}
	b.ctx, b.cancel = context.WithCancelCause(context.Background())
	return b
}

// longSpan is how long long requests go on once the daemon is to stop.
func longSpan(stopWithin time.Duration) time.Duration {
	return time.Duration(longPart * float64(stopWithin))
}

// now ends the long requests with code Stopping as their cause.
func (b *breakOff) now() { b.cancel(result.New(result.Stopping, "")) }

// bind returns a context that also ends when long requests are broken off,
// and a function that frees it. It fails with code Stopping after that.
func (b *breakOff) bind(parent context.Context) (context.Context, context.CancelFunc, error) {
	if b.ctx.Err() != nil {
		return nil, nil, context.Cause(b.ctx)
	}
	ctx, cancel := context.WithCancelCause(parent)
	unbind := context.AfterFunc(b.ctx, func() { cancel(context.Cause(b.ctx)) })
	return ctx, func() {
		unbind()
		cancel(nil)
	}, nil
}
