package steps

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// callAttempts is the number of attempts of a call. Another caller's timeout
// closes a shared connection, so that a single failure doesn't mean that the
// daemon called is unavailable. All methods are idempotent.
const callAttempts = 2

// callResult is the result of a call to another daemon.
type callResult[R any] struct {
	reply R
	err   error
}

// callPeer calls a method of another daemon, with a timeout. The call outlives
// ctx, because cancelling it would close a connection that other callers share.
// It fails with code OutcomeUnknown when ctx ends first, and with Stopping when
// the service stops.
func callPeer[R any](ctx context.Context, s *service, timeout time.Duration, address, method string, args any) (R, error) {
	done := make(chan callResult[R], 1)
	s.workers.Go(func(context.Context) {
		done <- callWithRetry[R](s, timeout, address, method, args)
	})
	var zero R
	select {
	case finished := <-done:
		return finished.reply, finished.err
	case <-ctx.Done():
		return zero, result.Wrap(result.OutcomeUnknown, ctx.Err())
	case <-s.ctx.Done():
		return zero, result.New(result.Stopping, "")
	}
}

// callWithRetry makes up to callAttempts attempts within a timeout. Each attempt
// gets a reply of its own, because net/rpc may still write to the reply of an
// abandoned call.
func callWithRetry[R any](s *service, timeout time.Duration, address, method string, args any) callResult[R] {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	var err error
	for range callAttempts {
		reply := new(R)
		if err = s.peers.Call(ctx, address, rpcName+"."+method, args, reply); err == nil {
			return callResult[R]{reply: *reply}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return callResult[R]{err: err}
}
