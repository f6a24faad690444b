package steps

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// call makes a call that another daemon answers at once.
func (s *service) call(ctx context.Context, address, method string, args, reply any) error {
	return s.callWithin(ctx, callLimit, address, method, args, reply)
}

// callAttempts is how often a call is tried. Another caller's timeout closes a
// shared connection, so that one failure says little of the daemon called;
// all methods are idempotent.
const callAttempts = 2

// callWithin makes a call within a limit. The call outlives ctx, because a
// call that is given up closes the connection that others share; the reply
// must not be read when callWithin fails.
func (s *service) callWithin(ctx context.Context, limit time.Duration, address, method string, args, reply any) error {
	done := make(chan error, 1)
	s.workers.Go(func(context.Context) {
		callCtx, cancel := context.WithTimeout(s.ctx, limit)
		defer cancel()
		var err error
		for range callAttempts {
			err = s.peers.Call(callCtx, address, rpcName+"."+method, args, reply)
			if err == nil || callCtx.Err() != nil {
				break
			}
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return result.Wrap(result.DueTimePassed, ctx.Err())
	case <-s.ctx.Done():
		return result.New(result.Stopping, "")
	}
}
