package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

var epoch = time.Unix(0, 0)

func always() bool { return true }

func TestHealth_RevokeSince(t *testing.T) {
	var h Health
	start := time.Unix(1000, 0)
	for range maxConsecutiveFailures {
		h.RecordFailure(start, func() bool { return true })
	}
	must.False(t, h.RevokeSince(start.Add(time.Second)))
	share, _ := h.Share(start.Add(time.Second))
	must.Eq(t, 0, share)
	must.True(t, h.RevokeSince(start.Add(-time.Second)))
	share, _ = h.Share(start.Add(time.Second))
	must.Eq(t, fullShare, share)
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name    string
		failure Failure
		retry   bool
		code    result.Code
	}{
		{"not run", Failure{Attempt: 1, Code: result.NoBackend}, true, 0},
		{"broken, not idempotent", Failure{Attempt: 1, Code: result.BackendBroke}, false, result.BackendBroke},
		{"refused, not idempotent", Failure{Attempt: 1, Code: result.BackendRefused}, false, result.BackendRefused},
		{"backend overloaded, idempotent", Failure{Attempt: 1, Code: result.BackendOverloaded, Idempotent: true}, true, 0},
		{"truncated, not idempotent", Failure{Attempt: 1, Code: result.AnswerCut}, false, result.AnswerCut},
		{"broken, idempotent", Failure{Attempt: 1, Code: result.BackendBroke, Idempotent: true}, true, 0},
		{"rejected under overload", Failure{Attempt: 1, Code: result.Overloaded, Idempotent: true}, false, result.Overloaded},
		{"quarantined", Failure{Attempt: 1, Code: result.Quarantined, Idempotent: true}, false, result.Quarantined},
		{"attempts exhausted", Failure{Attempt: MaxAttempts, Code: result.NoBackend}, false, result.NoBackend},
		{"unreached attempts exhausted", Failure{Attempt: MaxAttempts, Unreached: MaxAttempts, Code: result.NoBackend}, false, result.NoBackend},
		{"broken after unreached attempts", Failure{Attempt: MaxAttempts, Unreached: MaxAttempts - 1, Code: result.BackendBroke, Idempotent: true}, true, 0},
		{"two broken connections", Failure{Attempt: 2, BrokenConnections: 2, Code: result.BackendBroke, Idempotent: true}, false, result.BackendBroke},
		{"deadline before retry", Failure{Attempt: 3, Code: result.NoBackend, Deadline: epoch.Add(time.Millisecond)}, false, result.NoBackend},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(epoch)
			decision := Decide(epoch, test.failure, &budget, 5_000_000)
			must.Eq(t, test.retry, decision.Retry)
			must.Eq(t, test.code, decision.Code)
		})
	}
}

func TestDecide_BudgetSpentKeepsOutcome(t *testing.T) {
	empty := Budget{lastAccrual: epoch}
	decision := Decide(epoch, Failure{Attempt: 1, Code: result.PeerUnreachable, Idempotent: true}, &empty, 0)
	must.Eq(t, result.RetryBudgetSpent, decision.Code)
	decision = Decide(epoch, Failure{Attempt: 1, Code: result.BackendRefused, Idempotent: true}, &empty, 0)
	must.Eq(t, result.BackendRefused, decision.Code)
	must.True(t, Decide(epoch, Failure{Attempt: 1, Code: result.NoBackend}, &empty, 0).Retry)
	decision = Decide(epoch, Failure{Attempt: 1, Code: result.BackendBroke, Idempotent: true}, &empty, 0)
	must.Eq(t, result.BackendBroke, decision.Code)
}

func TestBudget_RetryFraction(t *testing.T) {
	budget := NewBudget(epoch)
	retries := 0
	for range 1000 {
		budget.Deposit(epoch)
		if budget.Withdraw(epoch) {
			retries++
		}
	}
	must.Between(t, 95, retries, 105)
}

func TestHealth_EjectionAndRamp(t *testing.T) {
	var h Health
	must.False(t, h.RecordFailure(epoch, always))
	h.RecordSuccess()
	must.False(t, h.RecordFailure(epoch, always))
	must.False(t, h.RecordFailure(epoch, always))
	must.True(t, h.RecordFailure(epoch, always))
	share, next := h.Share(epoch)
	must.Zero(t, share)
	previous := uint16(0)
	for !next.IsZero() {
		now := next
		share, next = h.Share(now)
		must.Greater(t, previous, share)
		previous = share
	}
	must.Eq(t, fullShare, previous)
}

func TestHealth_EjectionDoubles(t *testing.T) {
	var h Health
	for range maxConsecutiveFailures {
		h.RecordFailure(epoch, always)
	}
	_, firstEnd := h.Share(epoch)
	must.True(t, h.RecordFailure(firstEnd, always))
	_, secondEnd := h.Share(firstEnd)
	must.Eq(t, 2*firstEnd.Sub(epoch), secondEnd.Sub(firstEnd))
}

func TestHealth_EjectionDenied(t *testing.T) {
	var h Health
	for range 10 {
		must.False(t, h.RecordFailure(epoch, func() bool { return false }))
	}
	share, _ := h.Share(epoch)
	must.Eq(t, fullShare, share)
}
