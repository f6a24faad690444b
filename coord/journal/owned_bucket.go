package journal

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ClockSkew is by how much the wall clocks of two hosts may differ.
const ClockSkew = time.Minute

// MaxPending is how many records may wait for a write.
const MaxPending = 4096

// Verdict says what is to be done with a request.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun means that the request may be sent once its intent is committed.
	VerdictRun Verdict = iota
	// VerdictReplay means that the recorded answer is to be given.
	VerdictReplay
	// VerdictInProgress means that the first request with the key has no outcome yet.
	VerdictInProgress
	// VerdictOutcomeUnknown means that the first request may have run.
	VerdictOutcomeUnknown
	// VerdictTakenOver means that a former owner of the bucket began the request.
	VerdictTakenOver
	// VerdictKeyReused means that the key belongs to another request.
	VerdictKeyReused
	// VerdictKeyTooOld means that the key is older than the window.
	VerdictKeyTooOld
	// VerdictKeyInFuture means that the key bears a time to come.
	VerdictKeyInFuture
	// VerdictQueueFull means that too many records wait for a write.
	VerdictQueueFull
)

// Request is a submission as the journal sees it.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// KeyWindow is how long keys of the workspace are kept.
	KeyWindow time.Duration
	// Timeout is how long the request may take.
	Timeout time.Duration
}

// until is when the record of a request may be pruned: after the window and
// after the last moment at which its owner may send it.
func (r *Request) until(now time.Time) time.Time {
	from := now
	if born, ok := r.Key.Timestamp(); ok && born.After(from) {
		from = born
	}
	return from.Add(max(r.KeyWindow, r.Timeout) + ClockSkew)
}

// entry is what the owner knows of a key.
type entry struct {
	// latest is the newest state, and written that of the newest proposal.
	latest, written Record
	// dirty is set while latest waits for a proposal.
	dirty bool
	// proposed is set once any state of the key is in a proposal.
	proposed bool
	// segment is where the written state is, or inHead.
	segment uint64
}

// inHead stands for the head in place of a segment's number; those begin at 1.
const inHead = 0

// OwnedBucket is a bucket as its owner sees it. It is not safe for concurrent use.
type OwnedBucket struct {
	self      structs.Incarnation
	strategy  WritePolicy
	head      Head
	operation uint64
	entries   map[Key]*entry
	// dirty are the keys that wait for a proposal, recent those in the head
	// and segments those in each segment, all in order.
	dirty     []Key
	recent    []Key
	segments  map[uint64][]Key
	flight    *Proposal
	releasing bool
}

// Term returns the owner's term.
func (l *OwnedBucket) Term() structs.Term { return l.head.Term }

// Pending returns the count of records that wait for a proposal.
func (l *OwnedBucket) Pending() int { return len(l.dirty) }

// HasPendingIntent reports whether an intent waits for a proposal.
func (l *OwnedBucket) HasPendingIntent() bool {
	for _, key := range l.dirty {
		if l.entries[key].latest.State == StateIntent {
			return true
		}
	}
	return false
}

// Lookup returns the verdict and the record of a key that was used before, and
// false when the key is free.
func (l *OwnedBucket) Lookup(key Key, fingerprint Fingerprint) (Verdict, Record, bool) {
	e, ok := l.entries[key]
	if !ok || e.latest.State == StateNotRun {
		return VerdictRun, Record{}, false
	}
	if e.latest.Fingerprint != fingerprint {
		return VerdictKeyReused, e.latest, true
	}
	return verdictOf(e.latest.State), e.latest, true
}

func verdictOf(state State) Verdict {
	switch state {
	case StateIntent:
		return VerdictInProgress
	case StateAnswered:
		return VerdictReplay
	case StateTakenOver:
		return VerdictTakenOver
	default:
		return VerdictOutcomeUnknown
	}
}

// Admit decides on a request. With VerdictRun it has noted the intent, which the
// record names; the request may be sent once a committed proposal holds it.
func (l *OwnedBucket) Admit(now time.Time, request Request) (Verdict, Record) {
	if verdict, record, known := l.Lookup(request.Key, request.Fingerprint); known {
		return verdict, record
	}
	if verdict := l.admitAge(now, request); verdict != VerdictRun {
		return verdict, Record{}
	}
	if len(l.dirty) >= MaxPending {
		return VerdictQueueFull, Record{}
	}
	record := Record{
		Key:         request.Key,
		State:       StateIntent,
		Fingerprint: request.Fingerprint,
		IntentTime:  now,
		ExpiresAt:   request.until(now),
	}
	return VerdictRun, l.note(record)
}

// admitAge refuses keys that may have been pruned or cannot be dated.
func (l *OwnedBucket) admitAge(now time.Time, request Request) Verdict {
	born, ok := request.Key.Timestamp()
	if !ok {
		return VerdictRun
	}
	if born.After(now.Add(ClockSkew)) {
		return VerdictKeyInFuture
	}
	if now.Sub(born) > request.KeyWindow {
		return VerdictKeyTooOld
	}
	if horizon, pruned := l.head.PruneHorizons[request.Key.Workspace]; pruned && !born.After(horizon) {
		return VerdictKeyTooOld
	}
	return VerdictRun
}

// Finish notes the outcome of an intent, named by its operation. An outcome
// of a request that a newer intent has replaced changes nothing.
func (l *OwnedBucket) Finish(key Key, operation uint64, state State, answer *Answer) {
	e, ok := l.entries[key]
	if !ok || e.latest.State != StateIntent || e.latest.Operation != operation {
		return
	}
	if state == StateNotRun && !e.proposed {
		l.forget(key)
		return
	}
	record := e.latest
	record.State, record.Answer = state, answer
	l.note(record)
}

// note makes a record the newest state of its key.
func (l *OwnedBucket) note(record Record) Record {
	l.operation++
	record.Writer, record.Operation = l.self, l.operation
	e, ok := l.entries[record.Key]
	if !ok {
		e = &entry{}
		l.entries[record.Key] = e
	}
	e.latest = record
	if !e.dirty {
		e.dirty = true
		l.dirty = append(l.dirty, record.Key)
	}
	return record
}

// forget drops a key that no proposal holds.
func (l *OwnedBucket) forget(key Key) {
	delete(l.entries, key)
	for i, dirty := range l.dirty {
		if dirty == key {
			l.dirty = append(l.dirty[:i], l.dirty[i+1:]...)
			return
		}
	}
}

// Release asks for a last proposal that hands the bucket back.
func (l *OwnedBucket) Release() { l.releasing = true }
