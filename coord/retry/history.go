package retry

import "github.com/flamingobeam/flamingobeam/coord/result"

// History follows the attempts of one request, so that its last error is true
// of all of them.
type History struct {
	attempts int
	broken   int
	// unknown is the newest error of an attempt that may have run.
	unknown error
}

// RecordFailure takes in the error of an attempt.
func (h *History) RecordFailure(err error) {
	h.attempts++
	code := result.CodeOf(err)
	if code == result.BackendBroke || code == result.AnswerCut {
		h.broken++
	}
	if result.OutcomeOf(err) == result.MayHaveRun {
		h.unknown = err
	}
}

// Failure describes the newest failure.
func (h *History) Failure(err error) Failure {
	return Failure{Attempt: h.attempts, BrokenConnections: h.broken, Code: result.CodeOf(err)}
}

// FinalError is the error for the caller when the last attempt ended with err: an
// error that says not run gives way to one of an earlier attempt that may have
// run.
func (h *History) FinalError(err error) error {
	if h.unknown != nil && result.OutcomeOf(err) == result.NotRun {
		return h.unknown
	}
	return err
}
