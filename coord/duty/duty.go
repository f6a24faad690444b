// Package duty decides when the holder of the platform's singleton duties may make a
// call. It answers the load of holders that change while calls are unanswered: hosts that
// freeze, lose their lease or are cut off, and a platform that is slow, down or refuses
// calls. All times are since boot, on a clock that advances while the host is suspended.
package duty

import "time"

// Subject is what calls of a duty are about. The platform compares fencing tokens, and
// one call at a time is in flight, for each subject.
type Subject string

const (
	// minBackoff and maxBackoff bound the pause after a call that was not executed or has
	// no response. It doubles with each such call of a subject.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxConflictPause bounds the pause after a conflict, which is the holder lease and
	// doubles with each further conflict of a subject.
	maxConflictPause = time.Minute
)

// Rules are the conditions under which a new holder may make its first call.
type Rules struct {
	// HolderLease is the time in which holders may not act in turns.
	HolderLease time.Duration
	// ChecksFencing is set if the platform refuses lower fencing tokens than it has seen.
	ChecksFencing bool
	// CallTimeout bounds the time for which the holder waits for a response.
	CallTimeout time.Duration
}

// TakeoverDelay returns how long a new holder waits before its first call. After the
// holder lease, a holder that lost the duties and gained them again has not acted within
// it. Where the platform does not check fencing tokens, a call that an earlier holder
// sent just before the end of its lease must have ended too.
func (r Rules) TakeoverDelay() time.Duration {
	if r.ChecksFencing {
		return r.HolderLease
	}
	return r.HolderLease + r.CallTimeout
}

// Outcome is how a call ended, as far as it matters for the next one.
type Outcome uint8

// The outcomes of a call.
const (
	// Executed means that the platform executed the call.
	Executed Outcome = iota
	// NotExecuted means that the platform did not take the call, or did not respond.
	NotExecuted
	// Conflict means that the platform refused the call because of its fencing token or
	// of its content.
	Conflict
)

// Tenure is the time in which one daemon holds the duties under one fencing token. It is
// not safe for concurrent use.
type Tenure struct {
	Token uint64
	// MayCallFrom is when the first call may be made.
	MayCallFrom time.Duration

	lease    time.Duration
	subjects map[Subject]*history
}

// history holds what the last calls of a subject met.
type history struct {
	// failures counts the calls in a row that were not executed, and conflicts the
	// conflicts in a row.
	failures, conflicts int
	notBefore           time.Duration
}

// NewTenure returns the tenure of a daemon that has found itself to hold the duties.
func (r Rules) NewTenure(token uint64, now time.Duration) *Tenure {
	return &Tenure{Token: token, MayCallFrom: now + r.TakeoverDelay(), lease: r.HolderLease, subjects: make(map[Subject]*history)}
}

// MayCall reports whether the time has passed in which calls of earlier holders may still
// take effect.
func (t *Tenure) MayCall(now time.Duration) bool { return now >= t.MayCallFrom }

// Wait returns how long the next call of a subject has to wait.
func (t *Tenure) Wait(subject Subject, now time.Duration) time.Duration {
	earliest := t.MayCallFrom
	if past := t.subjects[subject]; past != nil {
		earliest = max(earliest, past.notBefore)
	}
	return max(0, earliest-now)
}

// Record records the outcome of a subject's call that ended now.
func (t *Tenure) Record(subject Subject, outcome Outcome, now time.Duration) {
	past := t.subjects[subject]
	if past == nil {
		past = &history{}
		t.subjects[subject] = past
	}
	switch outcome {
	case Executed:
		delete(t.subjects, subject)
	case NotExecuted:
		past.notBefore = now + doubled(minBackoff, past.failures, maxBackoff)
		past.failures++
	case Conflict:
		past.notBefore = now + doubled(t.lease, past.conflicts, maxConflictPause)
		past.failures = 0
		past.conflicts++
	}
}

// doubled returns a pause that doubles n times, up to a limit.
func doubled(pause time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if pause >= limit {
			break
		}
		pause *= 2
	}
	return min(pause, limit)
}
