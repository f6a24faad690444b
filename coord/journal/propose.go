package journal

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// batchBytes bounds the records that one proposal adds.
	batchBytes = 256 << 10
	// segmentBytes is the size up to which segments are merged. With a batch
	// it stays below the largest value of the store.
	segmentBytes = 512 << 10
)

// Proposal is one write of the head. Its writer repeats it unchanged until it
// is written or the head was changed by another: a repetition of a write
// whose answer was lost can then do no harm.
type Proposal struct {
	Head Head
	// Segment is to be written before the head, or nil.
	Segment *Segment
	// ObsoleteSegments are the segments that may be deleted once the head is written.
	ObsoleteSegments []SegmentRef
	// Batch are the records that the proposal adds.
	Batch []Record
}

// Matches reports whether a head that was read back is the one proposed.
func (p *Proposal) Matches(head *Head) bool {
	return head.Term == p.Head.Term && head.Writer == p.Head.Writer && head.Operation == p.Head.Operation
}

// CanPropose reports whether Propose has something to write.
func (l *OwnedBucket) CanPropose() bool {
	return l.flight == nil && (len(l.dirty) > 0 || l.mustRelease())
}

func (l *OwnedBucket) mustRelease() bool { return l.releasing && l.head.Owned() }

// Propose returns the next write of the head, and false when there is none:
// nothing is dirty, or a proposal is being written.
func (l *OwnedBucket) Propose(now time.Time) (*Proposal, bool) {
	if !l.CanPropose() {
		return nil, false
	}
	proposal := &Proposal{Batch: l.take()}
	l.prune(now, proposal)
	if l.recentBytes() > l.strategy.foldBytes() {
		l.fold(proposal)
	}
	if l.mustRelease() && len(l.dirty) == 0 {
		l.head.Owner, l.head.Address = structs.Incarnation{}, ""
	}
	l.seal(proposal)
	return proposal, true
}

// MarkCommitted ends a proposal that was written and returns the records that it
// added.
func (l *OwnedBucket) MarkCommitted() []Record {
	batch := l.flight.Batch
	l.flight = nil
	return batch
}

// Released reports whether the newest proposal hands the bucket back.
func (l *OwnedBucket) Released() bool { return !l.head.Owned() }

// seal numbers the proposal and copies the head into it.
func (l *OwnedBucket) seal(proposal *Proposal) {
	l.operation++
	l.head.Sequence++
	l.head.Writer, l.head.Operation = l.self, l.operation
	proposal.Head = l.head
	proposal.Head.Segments = slices.Clone(l.head.Segments)
	proposal.Head.PruneHorizons = maps.Clone(l.head.PruneHorizons)
	proposal.Head.Recent = l.records(l.recent)
	l.flight = proposal
}

// take moves dirty records into the head, as many as the strategy allows.
func (l *OwnedBucket) take() []Record {
	var batch []Record
	bytes := 0
	for len(l.dirty) > 0 && bytes < batchBytes && (l.strategy.MaxBatch == 0 || len(batch) < l.strategy.MaxBatch) {
		key := l.dirty[0]
		l.dirty = l.dirty[1:]
		e := l.entries[key]
		if !e.proposed || e.segment != inHead {
			l.recent = append(l.recent, key)
		}
		e.dirty, e.proposed, e.segment = false, true, inHead
		e.written = e.latest
		bytes += e.written.size()
		batch = append(batch, e.written)
	}
	return batch
}

func (l *OwnedBucket) records(keys []Key) []Record {
	records := make([]Record, 0, len(keys))
	for _, key := range keys {
		records = append(records, l.entries[key].written)
	}
	return records
}

func (l *OwnedBucket) recentBytes() int {
	bytes := 0
	for _, key := range l.recent {
		bytes += l.entries[key].written.size()
	}
	return bytes
}

// prune drops the records whose time is over from the head, and segments that
// hold only such records.
func (l *OwnedBucket) prune(now time.Time, proposal *Proposal) {
	kept := l.recent[:0]
	for _, key := range l.recent {
		if e := l.entries[key]; e.dirty || !now.After(e.written.ExpiresAt) {
			kept = append(kept, key)
		} else {
			l.drop(key)
		}
	}
	l.recent = kept
	var refs []SegmentRef
	for _, ref := range l.head.Segments {
		if !now.After(ref.ExpiresAt) || l.anyDirty(ref.Number) {
			refs = append(refs, ref)
			continue
		}
		for _, key := range l.in(ref.Number) {
			l.drop(key)
		}
		delete(l.segments, ref.Number)
		proposal.ObsoleteSegments = append(proposal.ObsoleteSegments, ref)
	}
	l.head.Segments = refs
}

// in lists the keys whose written state is in a segment.
func (l *OwnedBucket) in(number uint64) []Key {
	var keys []Key
	for _, key := range l.segments[number] {
		if e, ok := l.entries[key]; ok && e.proposed && e.segment == number {
			keys = append(keys, key)
		}
	}
	return keys
}

func (l *OwnedBucket) anyDirty(number uint64) bool {
	return slices.ContainsFunc(l.in(number), func(key Key) bool { return l.entries[key].dirty })
}

// drop forgets a key for good and raises the horizon of its workspace.
func (l *OwnedBucket) drop(key Key) {
	delete(l.entries, key)
	born, ok := key.Timestamp()
	if !ok || !born.After(l.head.PruneHorizons[key.Workspace]) {
		return
	}
	if l.head.PruneHorizons == nil {
		l.head.PruneHorizons = make(map[structs.WorkspaceName]time.Time)
	}
	l.head.PruneHorizons[key.Workspace] = born
}

// fold moves the head's records into a new segment, together with the newest
// segments that are not larger, so that few segments remain.
func (l *OwnedBucket) fold(proposal *Proposal) {
	keys, bytes := l.recent, l.recentBytes()
	refs := l.head.Segments
	for len(refs) > 0 {
		last := refs[len(refs)-1]
		if last.Bytes > bytes || last.Bytes+bytes > segmentBytes {
			break
		}
		keys = append(l.in(last.Number), keys...)
		bytes += last.Bytes
		refs = refs[:len(refs)-1]
		delete(l.segments, last.Number)
		proposal.ObsoleteSegments = append(proposal.ObsoleteSegments, last)
	}
	l.head.NextSegment++
	segment := &Segment{Records: l.records(keys)}
	segment.Ref = l.place(keys, l.head.NextSegment)
	l.head.Segments = append(slices.Clip(refs), segment.Ref)
	l.recent = nil
	proposal.Segment = segment
}

// place notes that keys are in a segment and describes it.
func (l *OwnedBucket) place(keys []Key, number uint64) SegmentRef {
	ref := SegmentRef{Number: number, Term: l.head.Term, Count: len(keys)}
	for _, key := range keys {
		e := l.entries[key]
		e.segment = number
		ref.Bytes += e.written.size()
		if e.written.ExpiresAt.After(ref.ExpiresAt) {
			ref.ExpiresAt = e.written.ExpiresAt
		}
	}
	l.segments[number] = slices.Clone(keys)
	return ref
}
