package retry

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

const (
	// MaxAttempts is the maximum number of attempts of a request that reach a
	// server, including the first, and of those that reach none.
	MaxAttempts = 4
	// maxBrokenConnections is the number of broken connections after which a
	// request is not retried.
	maxBrokenConnections = 2
	// baseDelay and maxDelay bound the backoff: the delay before retry n,
	// counted from 0, is random between zero and the smaller of baseDelay*2^n
	// and maxDelay.
	baseDelay = 10 * time.Millisecond
	maxDelay  = time.Second
)

// Failure describes the newest failed attempt of a request.
type Failure struct {
	// Attempt is the number of attempts made so far, including this one.
	Attempt int
	// Unreached is the number of those attempts that reached no server. They
	// have a limit of their own, so that a failure at a server is still retried
	// after a time without servers.
	Unreached int
	Code      result.Code
	// BrokenConnections is the number of attempts whose connection broke. After
	// two, the request may be one that crashes servers, so it is not sent to a
	// third.
	BrokenConnections int
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Deadline is the deadline of the response; zero means none.
	Deadline time.Time
}

// Decision is the outcome of Decide.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the retry.
	Delay time.Duration
	// Code is the result code for the caller if the request is not retried.
	Code result.Code
}

// Decide decides whether and when to retry after a failure. The delay is
// derived from random, a uniformly distributed number. A retry is charged to
// budget, except after result.NoBackend, when no server was reached.
func Decide(now time.Time, failure Failure, budget *Budget, random uint64) Decision {
	refused := Decision{Code: failure.Code}
	if isExhausted(failure) || failure.BrokenConnections >= maxBrokenConnections || !isTransient(failure.Code) || !mayRepeat(failure) {
		return refused
	}
	delay := backoff(failure.Attempt, random)
	if !failure.Deadline.IsZero() && !now.Add(delay).Before(failure.Deadline) {
		return refused
	}
	if chargesBudget(failure.Code) && !budget.Withdraw(now) {
		return Decision{Code: budgetSpentCode(failure.Code)}
	}
	return Decision{Retry: true, Delay: delay}
}

func isExhausted(failure Failure) bool {
	return failure.Unreached >= MaxAttempts || failure.Attempt-failure.Unreached >= MaxAttempts
}

// mayRepeat reports whether the request is idempotent or certainly has not run.
func mayRepeat(failure Failure) bool {
	if failure.Idempotent {
		return true
	}
	entry, ok := result.Lookup(failure.Code)
	return ok && entry.Outcome == result.NotRun
}

// isTransient reports whether a retry at another server or at a later time may
// succeed. The system's own rejections under overload are not retried, since
// they exist to shed load.
func isTransient(code result.Code) bool {
	switch code {
	case result.NoBackend, result.BackendBusy, result.BackendRefused, result.BackendOverloaded, result.BackendBroke, result.AnswerCut,
		result.PeerUnreachable, result.OutcomeUnknown:
		return true
	}
	return false
}

// chargesBudget reports whether a retry adds to the load on the servers. It
// doesn't after a failed connect, when no server has worked for the request.
func chargesBudget(code result.Code) bool { return code != result.NoBackend }

// budgetSpentCode returns the code for a failure whose retry the budget denies.
// RetryBudgetSpent has the outcome NotRun, so it replaces only such codes.
func budgetSpentCode(code result.Code) result.Code {
	if entry, ok := result.Lookup(code); ok && entry.Outcome == result.NotRun {
		return result.RetryBudgetSpent
	}
	return code
}

// backoff returns an exponential delay with full jitter.
func backoff(attempt int, random uint64) time.Duration {
	ceiling := maxDelay
	if shift := attempt - 1; shift < 7 {
		ceiling = min(maxDelay, baseDelay<<shift)
	}
	return time.Duration(random % uint64(ceiling))
}
