// Package retries is the service "traffic.retries". It holds the retry budgets of all
// workspaces and classes and delays retries by a backoff. Goroutines of traffic use
// the budgets concurrently; a mutex that is held only for short calculations protects
// them.
package retries

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/retry"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameRetries, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	clock   clockwork.Clock
	metrics contract.Metrics

	mu      sync.Mutex
	budgets *retry.Budgets
}

var _ contract.RetryBudgets = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	s.metrics, err = kernel.Find[contract.Metrics](ctx, contract.NameMetrics)
	s.clock = ctx.Clock()
	s.budgets = retry.NewBudgets()
	return err
}

// Begin implements contract.RetryBudgets.
func (s *service) Begin(request contract.RetryRequest) contract.Retrier {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budgets.GetOrCreate(retry.BudgetKey{Workspace: request.Workspace, Class: request.Class}, now)
	budget.Deposit(now)
	return &retrier{service: s, request: request, budget: budget}
}

// retrier implements contract.Retrier.
type retrier struct {
	service *service
	request contract.RetryRequest
	budget  *retry.Budget
	history retry.History
}

// AwaitRetry implements contract.Retrier.
func (r *retrier) AwaitRetry(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return r.FinalError(err)
	}
	decision := r.decide(err)
	if !decision.Retry {
		if decision.Code != result.CodeOf(err) {
			err = result.Wrap(decision.Code, err)
		}
		return r.history.FinalError(err)
	}
	r.service.metrics.Count("retries.made", 1)
	timer := r.service.clock.NewTimer(decision.Delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return r.history.FinalError(err)
	}
}

// FinalError implements contract.Retrier.
func (r *retrier) FinalError(err error) error {
	r.history.RecordFailure(err)
	return r.history.FinalError(err)
}

func (r *retrier) decide(err error) retry.Decision {
	now := r.service.clock.Now()
	r.history.RecordFailure(err)
	failure := r.history.Failure(err)
	failure.Idempotent, failure.Deadline = r.request.Idempotent, r.request.Deadline
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return retry.Decide(now, failure, r.budget, rand.Uint64())
}

// SpendRetry implements contract.Retrier.
func (r *retrier) SpendRetry() bool {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return r.budget.Withdraw(r.service.clock.Now())
}
