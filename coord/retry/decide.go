package retry

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

const (
	// MaxAttempts is how often a request is sent at most.
	MaxAttempts = 4
	// maxBroken is on how many servers a request may break.
	maxBroken = 2
	// baseDelay and maxDelay bound the back-off: the delay before retry n is
	// random between zero and the smaller of baseDelay*2^n and maxDelay.
	baseDelay = 10 * time.Millisecond
	maxDelay  = time.Second
)

// Failure is a failed attempt.
type Failure struct {
	// Attempt counts the attempts made, from 1.
	Attempt int
	Code    result.Code
	// BrokenConnections counts the attempts whose connection broke. A request that broke
	// two may be one that crashes servers, and gets no third.
	BrokenConnections int
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Deadline is when the answer must be there; zero means never.
	Deadline time.Time
}

// Decision says whether to try again.
type Decision struct {
	Retry bool
	// Delay is how long to wait before.
	Delay time.Duration
	// Code is the code for the caller when the request is not tried again.
	Code result.Code
}

// Decide decides about a failure. Random is a uniform number; budget is
// charged for a retry, unless the failure was that no server was reached.
func Decide(now time.Time, failure Failure, budget *Budget, random uint64) Decision {
	refused := Decision{Code: failure.Code}
	if failure.Attempt >= MaxAttempts || failure.BrokenConnections >= maxBroken || !isTransient(failure.Code) || !mayRepeat(failure) {
		return refused
	}
	delay := backoff(failure.Attempt, random)
	if !failure.Deadline.IsZero() && !now.Add(delay).Before(failure.Deadline) {
		return refused
	}
	if isCharged(failure.Code) && !budget.Withdraw(now) {
		return Decision{Code: spentCode(failure.Code)}
	}
	return Decision{Retry: true, Delay: delay}
}

// mayRepeat allows what is idempotent and what has not run.
func mayRepeat(failure Failure) bool {
	if failure.Idempotent {
		return true
	}
	entry, ok := result.Lookup(failure.Code)
	return ok && entry.Outcome == result.NotRun
}

// isTransient reports whether another server or a later time may do better.
// The system's own refusals for load are not tried again: they are there to
// lower the load.
func isTransient(code result.Code) bool {
	switch code {
	case result.NoBackend, result.BackendBusy, result.BackendRefused, result.BackendOverloaded, result.BackendBroke, result.AnswerCut,
		result.PeerUnreachable, result.OutcomeUnknown:
		return true
	}
	return false
}

// isCharged reports whether a retry puts a second load on the servers. After a
// failed connect it does not: nobody has done any work for the request yet.
func isCharged(code result.Code) bool { return code != result.NoBackend }

// spentCode is RetryBudgetSpent where that says the truth: it means not run.
func spentCode(code result.Code) result.Code {
	if entry, ok := result.Lookup(code); ok && entry.Outcome == result.NotRun {
		return result.RetryBudgetSpent
	}
	return code
}

// backoff is exponential with full jitter.
func backoff(attempt int, random uint64) time.Duration {
	ceiling := maxDelay
	if shift := attempt - 1; shift < 7 {
		ceiling = min(maxDelay, baseDelay<<shift)
	}
	return time.Duration(random % uint64(ceiling))
}
