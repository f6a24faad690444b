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
	// Run means that the request may be sent once its intent is committed.
	Run Verdict = iota
	// Repeat means that the recorded answer is to be given.
	Repeat
	// Running means that the first request with the key has no outcome yet.
	Running
	// Unknown means that the first request may have run.
	Unknown
	// TakenOver means that a former owner of the bucket began the request.
	TakenOver
	// Reused means that the key belongs to another request.
	Reused
	// TooOld means that the key is older than the window.
	TooOld
	// FromFuture means that the key bears a time to come.
	FromFuture
	// Full means that too many records wait for a write.
	Full
)

// Request is a submission as the journal sees it.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// Window is how long keys of the workspace are kept.
	Window time.Duration
	// Due is how long the request may take.
	Due time.Duration
}

// until is when the record of a request may be pruned: after the window and
// after the last moment at which its owner may send it.
func (r *Request) until(now time.Time) time.Time {
	from := now
	if born, ok := r.Key.BornAt(); ok && born.After(from) {
		from = born
	}
	return from.Add(max(r.Window, r.Due) + ClockSkew)
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

// Ledger is a bucket as its owner sees it. It is not safe for concurrent use.
type Ledger struct {
	self      structs.Incarnation
	strategy  Strategy
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
func (l *Ledger) Term() structs.Term { return l.head.Term }

// Dirty returns the count of records that wait for a proposal.
func (l *Ledger) Dirty() int { return len(l.dirty) }

// Urgent reports whether an intent waits for a proposal.
func (l *Ledger) Urgent() bool {
	for _, key := range l.dirty {
		if l.entries[key].latest.State == StateIntent {
			return true
		}
	}
	return false
}

// Known returns the verdict and the record of a key that was used before, and
// false when the key is free.
func (l *Ledger) Known(key Key, fingerprint Fingerprint) (Verdict, Record, bool) {
	e, ok := l.entries[key]
	if !ok || e.latest.State == StateNotRun {
		return Run, Record{}, false
	}
	if e.latest.Fingerprint != fingerprint {
		return Reused, e.latest, true
	}
	return verdictOf(e.latest.State), e.latest, true
}

func verdictOf(state State) Verdict {
	switch state {
	case StateIntent:
		return Running
	case StateAnswered:
		return Repeat
	case StateTakenOver:
		return TakenOver
	default:
		return Unknown
	}
}

// Admit decides on a request. With Run it has noted the intent, which the
// record names; the request may be sent once a committed proposal holds it.
func (l *Ledger) Admit(now time.Time, request Request) (Verdict, Record) {
	if verdict, record, known := l.Known(request.Key, request.Fingerprint); known {
		return verdict, record
	}
	if verdict := l.admitAge(now, request); verdict != Run {
		return verdict, Record{}
	}
	if len(l.dirty) >= MaxPending {
		return Full, Record{}
	}
	record := Record{
		Key:         request.Key,
		State:       StateIntent,
		Fingerprint: request.Fingerprint,
		At:          now,
		Until:       request.until(now),
	}
	return Run, l.note(record)
}

// admitAge refuses keys that may have been pruned or cannot be dated.
func (l *Ledger) admitAge(now time.Time, request Request) Verdict {
	born, ok := request.Key.BornAt()
	if !ok {
		return Run
	}
	if born.After(now.Add(ClockSkew)) {
		return FromFuture
	}
	if now.Sub(born) > request.Window {
		return TooOld
	}
	if horizon, pruned := l.head.Horizons[request.Key.Workspace]; pruned && !born.After(horizon) {
		return TooOld
	}
	return Run
}

// Finish notes the outcome of an intent, named by its operation. An outcome
// of a request that a newer intent has replaced changes nothing.
func (l *Ledger) Finish(key Key, operation uint64, state State, answer *Answer) {
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
func (l *Ledger) note(record Record) Record {
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
func (l *Ledger) forget(key Key) {
	delete(l.entries, key)
	for i, dirty := range l.dirty {
		if dirty == key {
			l.dirty = append(l.dirty[:i], l.dirty[i+1:]...)
			return
		}
	}
}

// Release asks for a last proposal that hands the bucket back.
func (l *Ledger) Release() { l.releasing = true }
