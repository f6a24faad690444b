package retry

import "github.com/flamingobeam/flamingobeam/coord/result"

// History follows the attempts of one request, so that its last error is true
// of all of them.
type History struct {
	attempts int
	// unknown is the newest error of an attempt that may have run.
	unknown error
}

// Failed takes in the error of an attempt and returns how many there were.
func (h *History) Failed(err error) int {
	h.attempts++
	if result.OutcomeOf(err) == result.Unknown {
		h.unknown = err
	}
	return h.attempts
}

// Verdict is the error for the caller when the last attempt ended with err: an
// error that says not run gives way to one of an earlier attempt that may have
// run.
func (h *History) Verdict(err error) error {
	if h.unknown != nil && result.OutcomeOf(err) == result.NotRun {
		return h.unknown
	}
	return err
}
