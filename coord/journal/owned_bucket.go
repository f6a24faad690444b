package journal

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ClockSkew is the largest assumed difference between the wall clocks of two
// hosts.
const ClockSkew = time.Minute

// MaxPending is the largest number of records of a bucket that wait for a
// proposal.
const MaxPending = 4096

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts on a request.
const (
	// VerdictRun means that the request may be sent once its intent is
	// committed.
	VerdictRun Verdict = iota
	// VerdictReplay means that the recorded answer is to be returned.
	VerdictReplay
	// VerdictInProgress means that the first request with the key has no
	// outcome yet.
	VerdictInProgress
	// VerdictOutcomeUnknown means that the first request with the key may have
	// run.
	VerdictOutcomeUnknown
	// VerdictTakenOver means that a former owner of the bucket recorded the
	// intent and no outcome.
	VerdictTakenOver
	// VerdictKeyReused means that the key was used for a different request.
	VerdictKeyReused
	// VerdictKeyTooOld means that the timestamp of the key is before the key
	// window or may belong to a pruned record.
	VerdictKeyTooOld
	// VerdictKeyInFuture means that the timestamp of the key is in the future
	// by more than ClockSkew.
	VerdictKeyInFuture
	// VerdictQueueFull means that MaxPending records wait for a proposal.
	VerdictQueueFull
)

// Request describes a submission to the journal.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// KeyWindow is how long the workspace keeps its keys.
	KeyWindow time.Duration
	// Timeout is the longest time that the request may take.
	Timeout time.Duration
}

// recordExpiry returns the time from which the record of a request may be
// pruned: after the key window and after the last time at which the owner may
// send the request.
func (r *Request) recordExpiry(now time.Time) time.Time {
	from := now
	if keyTime, ok := r.Key.Timestamp(); ok && keyTime.After(from) {
		from = keyTime
	}
	return from.Add(max(r.KeyWindow, r.Timeout) + ClockSkew)
}

// entry is the state of a key at the owner.
type entry struct {
	// latest is the newest record, and lastProposed the one in the newest
	// proposal.
	latest, lastProposed Record
	// isPending is set while latest waits for a proposal.
	isPending bool
	// wasProposed is set once a proposal has held any record of the key.
	wasProposed bool
	// segment is the number of the segment that holds lastProposed, or inHead.
	segment uint64
}

// inHead marks a record that is in the head; segment numbers begin at 1.
const inHead = 0

// OwnedBucket is the state of a bucket at its owner. It is not safe for
// concurrent use.
type OwnedBucket struct {
	self      structs.Incarnation
	policy    WritePolicy
	head      Head
	operation uint64
	entries   map[Key]*entry
	// pending holds the keys that wait for a proposal, recent the keys in the
	// head, and segments the keys in each segment, all in order.
	pending   []Key
	recent    []Key
	segments  map[uint64][]Key
	inFlight  *Proposal
	releasing bool
}

// Term returns the term of the owner.
func (b *OwnedBucket) Term() structs.Term { return b.head.Term }

// Pending returns the number of records that wait for a proposal.
func (b *OwnedBucket) Pending() int { return len(b.pending) }

// HasPendingIntent reports whether an intent waits for a proposal.
func (b *OwnedBucket) HasPendingIntent() bool {
	for _, key := range b.pending {
		if b.entries[key].latest.State == StateIntent {
			return true
		}
	}
	return false
}

// Lookup returns the verdict on a key that was used before and its record. It
// returns false when the key is unused or its request was not run.
func (b *OwnedBucket) Lookup(key Key, fingerprint Fingerprint) (Verdict, Record, bool) {
	e, ok := b.entries[key]
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

// Admit decides on a request. With VerdictRun it records the intent, which the
// returned record describes; the request may be sent only after a proposal with
// that intent was committed.
func (b *OwnedBucket) Admit(now time.Time, request Request) (Verdict, Record) {
	if verdict, record, known := b.Lookup(request.Key, request.Fingerprint); known {
		return verdict, record
	}
	if verdict := b.checkKeyAge(now, request); verdict != VerdictRun {
		return verdict, Record{}
	}
	if len(b.pending) >= MaxPending {
		return VerdictQueueFull, Record{}
	}
	record := Record{
		Key:         request.Key,
		State:       StateIntent,
		Fingerprint: request.Fingerprint,
		IntentTime:  now,
		ExpiresAt:   request.recordExpiry(now),
	}
	return VerdictRun, b.setLatest(record)
}

// checkKeyAge rejects a UUIDv7 key whose record may have been pruned, and one
// whose timestamp is in the future.
func (b *OwnedBucket) checkKeyAge(now time.Time, request Request) Verdict {
	keyTime, ok := request.Key.Timestamp()
	if !ok {
		return VerdictRun
	}
	if keyTime.After(now.Add(ClockSkew)) {
		return VerdictKeyInFuture
	}
	if now.Sub(keyTime) > request.KeyWindow {
		return VerdictKeyTooOld
	}
	if horizon, pruned := b.head.PruneHorizons[request.Key.Workspace]; pruned && !keyTime.After(horizon) {
		return VerdictKeyTooOld
	}
	return VerdictRun
}

// Finish records the outcome of the intent with the given operation number. It
// does nothing when a newer intent has replaced that one.
func (b *OwnedBucket) Finish(key Key, operation uint64, state State, answer *Answer) {
	e, ok := b.entries[key]
	if !ok || e.latest.State != StateIntent || e.latest.Operation != operation {
		return
	}
	if state == StateNotRun && !e.wasProposed {
		b.removeKey(key)
		return
	}
	record := e.latest
	record.State, record.Answer = state, answer
	b.setLatest(record)
}

// setLatest makes a record the newest one of its key and marks it as pending.
func (b *OwnedBucket) setLatest(record Record) Record {
	b.operation++
	record.Writer, record.Operation = b.self, b.operation
	e, ok := b.entries[record.Key]
	if !ok {
		e = &entry{}
		b.entries[record.Key] = e
	}
	e.latest = record
	if !e.isPending {
		e.isPending = true
		b.pending = append(b.pending, record.Key)
	}
	return record
}

// removeKey removes a key that no proposal has held.
func (b *OwnedBucket) removeKey(key Key) {
	delete(b.entries, key)
	for i, pending := range b.pending {
		if pending == key {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return
		}
	}
}

// Release makes a later proposal give up the ownership of the bucket, once no
// record is pending.
func (b *OwnedBucket) Release() { b.releasing = true }
