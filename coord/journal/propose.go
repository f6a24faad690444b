package journal

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// maxBatchBytes is the estimated size at which a batch takes no further
	// record.
	maxBatchBytes = 256 << 10
	// maxSegmentBytes is the largest size of a merged segment. Together with a
	// batch it stays below the largest value of the store.
	maxSegmentBytes = 512 << 10
)

// Proposal is one write of the head. The writer repeats it unchanged until it
// is committed or another writer has changed the head, so that a retry after a
// lost response is harmless.
type Proposal struct {
	Head Head
	// Segment must be written before the head; nil means none.
	Segment *Segment
	// ObsoleteSegments may be deleted once the head is written.
	ObsoleteSegments []SegmentRef
	// Batch holds the records that the proposal adds.
	Batch []Record
}

// Matches reports whether a head that was read back is the proposed one.
func (p *Proposal) Matches(head *Head) bool {
	return head.Term == p.Head.Term && head.Writer == p.Head.Writer && head.Operation == p.Head.Operation
}

// CanPropose reports whether Propose has something to write.
func (b *OwnedBucket) CanPropose() bool {
	return b.inFlight == nil && (len(b.pending) > 0 || b.mustRelease())
}

func (b *OwnedBucket) mustRelease() bool { return b.releasing && b.head.Owned() }

// Propose returns the next write of the head. It returns false when nothing is
// pending or a proposal is in flight.
func (b *OwnedBucket) Propose(now time.Time) (*Proposal, bool) {
	if !b.CanPropose() {
		return nil, false
	}
	proposal := &Proposal{Batch: b.takeBatch()}
	b.prune(now, proposal)
	if b.recentBytes() > b.policy.compactionBytes() {
		b.compact(proposal)
	}
	if b.mustRelease() && len(b.pending) == 0 {
		b.head.Owner, b.head.Address = structs.Incarnation{}, ""
	}
	b.finishProposal(proposal)
	return proposal, true
}

// MarkCommitted ends the proposal in flight and returns the records that it
// added.
func (b *OwnedBucket) MarkCommitted() []Record {
	batch := b.inFlight.Batch
	b.inFlight = nil
	return batch
}

// Released reports whether the newest proposal gives up the ownership of the
// bucket.
func (b *OwnedBucket) Released() bool { return !b.head.Owned() }

// finishProposal gives the head its sequence and operation numbers, copies it
// into the proposal and makes that the one in flight.
func (b *OwnedBucket) finishProposal(proposal *Proposal) {
	b.operation++
	b.head.Sequence++
	b.head.Writer, b.head.Operation = b.self, b.operation
	proposal.Head = b.head
	proposal.Head.Segments = slices.Clone(b.head.Segments)
	proposal.Head.PruneHorizons = maps.Clone(b.head.PruneHorizons)
	proposal.Head.Recent = b.records(b.recent)
	b.inFlight = proposal
}

// takeBatch moves pending records into the head, as many as the write policy
// allows.
func (b *OwnedBucket) takeBatch() []Record {
	var batch []Record
	bytes := 0
	for len(b.pending) > 0 && bytes < maxBatchBytes && (b.policy.MaxBatch == 0 || len(batch) < b.policy.MaxBatch) {
		key := b.pending[0]
		b.pending = b.pending[1:]
		e := b.entries[key]
		if !e.wasProposed || e.segment != inHead {
			b.recent = append(b.recent, key)
		}
		e.isPending, e.wasProposed, e.segment = false, true, inHead
		e.lastProposed = e.latest
		bytes += e.lastProposed.estimatedSize()
		batch = append(batch, e.lastProposed)
	}
	return batch
}

func (b *OwnedBucket) records(keys []Key) []Record {
	records := make([]Record, 0, len(keys))
	for _, key := range keys {
		records = append(records, b.entries[key].lastProposed)
	}
	return records
}

func (b *OwnedBucket) recentBytes() int {
	bytes := 0
	for _, key := range b.recent {
		bytes += b.entries[key].lastProposed.estimatedSize()
	}
	return bytes
}

// prune removes expired records from the head, and segments in which all
// records have expired.
func (b *OwnedBucket) prune(now time.Time, proposal *Proposal) {
	kept := b.recent[:0]
	for _, key := range b.recent {
		if e := b.entries[key]; e.isPending || !now.After(e.lastProposed.ExpiresAt) {
			kept = append(kept, key)
		} else {
			b.pruneKey(key)
		}
	}
	b.recent = kept
	var refs []SegmentRef
	for _, ref := range b.head.Segments {
		if !now.After(ref.ExpiresAt) || b.hasPendingKey(ref.Number) {
			refs = append(refs, ref)
			continue
		}
		for _, key := range b.keysInSegment(ref.Number) {
			b.pruneKey(key)
		}
		delete(b.segments, ref.Number)
		proposal.ObsoleteSegments = append(proposal.ObsoleteSegments, ref)
	}
	b.head.Segments = refs
}

// keysInSegment returns the keys whose last proposed record is in a segment.
func (b *OwnedBucket) keysInSegment(number uint64) []Key {
	var keys []Key
	for _, key := range b.segments[number] {
		if e, ok := b.entries[key]; ok && e.wasProposed && e.segment == number {
			keys = append(keys, key)
		}
	}
	return keys
}

func (b *OwnedBucket) hasPendingKey(number uint64) bool {
	return slices.ContainsFunc(b.keysInSegment(number), func(key Key) bool { return b.entries[key].isPending })
}

// pruneKey removes a key for good and raises the prune horizon of its
// workspace.
func (b *OwnedBucket) pruneKey(key Key) {
	delete(b.entries, key)
	keyTime, ok := key.Timestamp()
	if !ok || !keyTime.After(b.head.PruneHorizons[key.Workspace]) {
		return
	}
	if b.head.PruneHorizons == nil {
		b.head.PruneHorizons = make(map[structs.WorkspaceName]time.Time)
	}
	b.head.PruneHorizons[key.Workspace] = keyTime
}

// compact moves the records of the head into a new segment. It merges the
// newest segments that are not larger into it, which keeps the number of
// segments low.
func (b *OwnedBucket) compact(proposal *Proposal) {
	keys, bytes := b.recent, b.recentBytes()
	refs := b.head.Segments
	for len(refs) > 0 {
		last := refs[len(refs)-1]
		if last.Bytes > bytes || last.Bytes+bytes > maxSegmentBytes {
			break
		}
		keys = append(b.keysInSegment(last.Number), keys...)
		bytes += last.Bytes
		refs = refs[:len(refs)-1]
		delete(b.segments, last.Number)
		proposal.ObsoleteSegments = append(proposal.ObsoleteSegments, last)
	}
	b.head.NextSegment++
	segment := &Segment{Records: b.records(keys)}
	segment.Ref = b.assignSegment(keys, b.head.NextSegment)
	b.head.Segments = append(slices.Clip(refs), segment.Ref)
	b.recent = nil
	proposal.Segment = segment
}

// assignSegment assigns keys to a segment and returns the reference to it.
func (b *OwnedBucket) assignSegment(keys []Key, number uint64) SegmentRef {
	ref := SegmentRef{Number: number, Term: b.head.Term, Count: len(keys)}
	for _, key := range keys {
		e := b.entries[key]
		e.segment = number
		ref.Bytes += e.lastProposed.estimatedSize()
		if e.lastProposed.ExpiresAt.After(ref.ExpiresAt) {
			ref.ExpiresAt = e.lastProposed.ExpiresAt
		}
	}
	b.segments[number] = slices.Clone(keys)
	return ref
}
