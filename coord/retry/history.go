package retry

import "github.com/flamingobeam/flamingobeam/coord/result"

// History records the failed attempts of one request, so that the final error
// holds for all of them: a request that may have run in an earlier attempt is
// not reported as not run.
type History struct {
	attempts          int
	unreached         int
	brokenConnections int
	// mayHaveRunErr is the newest error with the outcome MayHaveRun.
	mayHaveRunErr error
}

// RecordFailure records the error of an attempt.
func (h *History) RecordFailure(err error) {
	h.attempts++
	switch result.CodeOf(err) {
	case result.NoBackend:
		h.unreached++
	case result.BackendBroke, result.AnswerCut:
		h.brokenConnections++
	}
	if result.OutcomeOf(err) == result.MayHaveRun {
		h.mayHaveRunErr = err
	}
}

// Failure returns the Failure of an attempt that ended with err. The caller
// sets Idempotent and Deadline.
func (h *History) Failure(err error) Failure {
	return Failure{
		Attempt: h.attempts, Unreached: h.unreached, BrokenConnections: h.brokenConnections, Code: result.CodeOf(err),
	}
}

// FinalError returns the error for the caller when the last attempt ended with
// err. An error with the outcome NotRun is replaced by the error of an earlier
// attempt that may have run.
func (h *History) FinalError(err error) error {
	if h.mayHaveRunErr != nil && result.OutcomeOf(err) == result.NotRun {
		return h.mayHaveRunErr
	}
	return err
}
