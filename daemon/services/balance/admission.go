package balance

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// pool bounds the requests in flight of one service. It is state of traffic:
// the lock is held for one decision only.
type pool struct {
	mu   sync.Mutex
	gate *limit.AdmissionController[chan error]
}

func newPool() *pool { return &pool{gate: limit.NewAdmissionController[chan error](0)} }

// enter waits for a place. It fails with code Overloaded, DueTimePassed or
// FairShareExceeded.
func (p *pool) enter(ctx context.Context, clock clockwork.Clock, ask limit.Request) error {
	now := clock.Now()
	p.mu.Lock()
	verdict := p.gate.Admit(now, ask)
	if verdict.Action == limit.ActionQueue {
		verdict.Waiter.Value = make(chan error, 1)
	}
	p.mu.Unlock()
	switch verdict.Action {
	case limit.ActionRun:
		return nil
	case limit.ActionRefuse:
		return &result.Error{Code: verdict.Code, RetryAfter: verdict.RetryAfter}
	}
	return p.wait(ctx, clock, verdict.Waiter)
}

func (p *pool) wait(ctx context.Context, clock clockwork.Clock, waiter *limit.Waiter[chan error]) error {
	var due <-chan time.Time
	if !waiter.Request.Deadline.IsZero() {
		timer := clock.NewTimer(waiter.Request.Deadline.Sub(clock.Now()))
		defer timer.Stop()
		due = timer.Chan()
	}
	select {
	case err := <-waiter.Value:
		return err
	case <-due:
	case <-ctx.Done():
	}
	return p.abandon(clock.Now(), waiter)
}

// abandon ends a wait without a place. A place that came at the same moment
// is given back.
func (p *pool) abandon(now time.Time, waiter *limit.Waiter[chan error]) error {
	p.mu.Lock()
	canceled := p.gate.Cancel(waiter)
	p.mu.Unlock()
	if !canceled {
		if err := <-waiter.Value; err != nil {
			return err
		}
		p.leave(now, waiter.Request.Class, 0)
	}
	return result.New(result.DueTimePassed, "no place came free in time")
}

// leave gives a place back; span is how long the request ran, or zero when it
// did not.
func (p *pool) leave(now time.Time, class structs.Class, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Release(class, span)
	p.admit(now)
}

// resize sets the count of places, and how many of them are in the own region.
func (p *pool) resize(now time.Time, places, local int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.SetCapacity(places, local)
	p.admit(now)
}

// admit tells waiting requests that they have a place, or none.
func (p *pool) admit(now time.Time) {
	for waiter, runs := p.gate.Dequeue(now); waiter != nil; waiter, runs = p.gate.Dequeue(now) {
		if runs {
			waiter.Value <- nil
			continue
		}
		waiter.Value <- result.New(result.DueTimePassed, "no place came free in time")
	}
}
