package balance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/result"
)

// admissionQueue bounds the requests in flight of one service. Traffic
// goroutines share it; the lock is held for one decision only.
type admissionQueue struct {
	mu         sync.Mutex
	controller *limit.AdmissionController[chan error]
	// isPressed is set when a request cannot run at once.
	isPressed atomic.Bool
	// isDivided is set while more is asked of the service, at all daemons, than it can do.
	isDivided atomic.Bool
}

func newAdmissionQueue() *admissionQueue {
	return &admissionQueue{controller: limit.NewAdmissionController[chan error](0)}
}

// acquire waits for a slot. It fails with code Overloaded, DueTimePassed or
// FairShareExceeded.
func (q *admissionQueue) acquire(ctx context.Context, clock clockwork.Clock, request limit.Request) error {
	now := clock.Now()
	q.mu.Lock()
	decision := q.controller.Admit(now, request)
	if decision.Action == limit.ActionQueue {
		decision.Waiter.Value = make(chan error, 1)
	}
	q.mu.Unlock()
	if decision.Action == limit.ActionRun {
		return nil
	}
	q.isPressed.Store(true)
	switch decision.Action {
	case limit.ActionRefuse:
		return &result.Error{Code: decision.Code, RetryAfter: decision.RetryAfter}
	}
	return q.wait(ctx, clock, decision.Waiter)
}

// tryAcquire is acquire for a request that does not wait. It fails with code Overloaded if
// no slot is free.
func (q *admissionQueue) tryAcquire(_ context.Context, clock clockwork.Clock, request limit.Request) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.controller.Admit(clock.Now(), request)
	switch decision.Action {
	case limit.ActionRun:
		return nil
	case limit.ActionQueue:
		q.controller.Cancel(decision.Waiter)
		return result.New(result.Overloaded, "no slot is free")
	}
	return &result.Error{Code: decision.Code, RetryAfter: decision.RetryAfter}
}

func (q *admissionQueue) wait(ctx context.Context, clock clockwork.Clock, waiter *limit.Waiter[chan error]) error {
	var expired <-chan time.Time
	if !waiter.Request.Deadline.IsZero() {
		timer := clock.NewTimer(waiter.Request.Deadline.Sub(clock.Now()))
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case err := <-waiter.Value:
		return err
	case <-expired:
	case <-ctx.Done():
	}
	return q.cancelWait(clock.Now(), waiter)
}

// cancelWait ends a wait without a slot. A slot that was granted at the same
// moment is released.
func (q *admissionQueue) cancelWait(now time.Time, waiter *limit.Waiter[chan error]) error {
	q.mu.Lock()
	canceled := q.controller.Cancel(waiter)
	q.mu.Unlock()
	if !canceled {
		if err := <-waiter.Value; err != nil {
			return err
		}
		q.release(now, waiter.Request, 0)
	}
	return result.New(result.DueTimePassed, "no place came free in time")
}

// release frees a slot; duration is how long the request ran, or zero when it
// did not run.
func (q *admissionQueue) release(now time.Time, request limit.Request, duration time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.Release(request.Class, duration)
	q.dequeue(now)
}

// setCapacity sets the number of slots, and how many of them are in this
// daemon's region.
func (q *admissionQueue) setCapacity(now time.Time, slots, local int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.SetCapacity(slots, local)
	q.dequeue(now)
}

// dequeue grants free slots to waiting requests, and refuses requests that can
// no longer meet their deadline.
func (q *admissionQueue) dequeue(now time.Time) {
	for waiter, isAdmitted := q.controller.Dequeue(now); waiter != nil; waiter, isAdmitted = q.controller.Dequeue(now) {
		if isAdmitted {
			waiter.Value <- nil
			continue
		}
		waiter.Value <- result.New(result.DueTimePassed, "no place came free in time")
	}
}
