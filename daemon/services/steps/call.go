package steps

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// callAttempts is how often a call is tried. Another caller's timeout closes a
// shared connection, so that one failure says little of the daemon called;
// all methods are idempotent.
const callAttempts = 2

// outcome is how a call ended.
type outcome[R any] struct {
	reply R
	err   error
}

// callWithin makes a call within a limit. The call outlives ctx, because a
// call that is given up closes the connection that others share.
func callWithin[R any](ctx context.Context, s *service, limit time.Duration, address, method string, args any) (R, error) {
	done := make(chan outcome[R], 1)
	s.workers.Go(func(context.Context) {
		done <- attemptCall[R](s, limit, address, method, args)
	})
	var none R
	select {
	case ended := <-done:
		return ended.reply, ended.err
	case <-ctx.Done():
		return none, result.Wrap(result.OutcomeUnknown, ctx.Err())
	case <-s.ctx.Done():
		return none, result.New(result.Stopping, "")
	}
}

// attemptCall gives each attempt a reply of its own: net/rpc may still write
// to that of a call that was given up.
func attemptCall[R any](s *service, limit time.Duration, address, method string, args any) outcome[R] {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	var err error
	for range callAttempts {
		reply := new(R)
		if err = s.peers.Call(ctx, address, rpcName+"."+method, args, reply); err == nil {
			return outcome[R]{reply: *reply}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return outcome[R]{err: err}
}
