package journal

import (
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ClaimBucket prepares the takeover of a bucket from its head, which may be
// empty, and all of its segments in the order of the head. It returns the state
// of the bucket for the new owner and the proposal that makes it the owner;
// until that proposal is committed, the new owner must not answer any request.
// Intents without an outcome become StateTakenOver, because a former owner may
// still send them.
func ClaimBucket(head Head, segments []Segment, self structs.Incarnation, address string, policy WritePolicy) (*OwnedBucket, *Proposal) {
	b := &OwnedBucket{
		self:     self,
		policy:   policy,
		head:     head,
		entries:  make(map[Key]*entry),
		segments: make(map[uint64][]Key),
	}
	b.head.Segments = slices.Clone(head.Segments)
	b.head.Recent = nil
	b.operation = head.Operation
	for _, segment := range segments {
		for _, record := range segment.Records {
			b.loadRecord(record, segment.Ref.Number)
		}
	}
	for _, record := range head.Recent {
		b.loadRecord(record, inHead)
		b.recent = append(b.recent, record.Key)
	}
	b.head.Term++
	b.head.Owner, b.head.Address = self, address
	proposal := &Proposal{}
	b.finishProposal(proposal)
	return b, proposal
}

// loadRecord adds a record of a segment or of the head; a later record replaces
// an earlier one.
func (b *OwnedBucket) loadRecord(record Record, segment uint64) {
	if record.State == StateIntent {
		record.State = StateTakenOver
	}
	if segment != inHead {
		b.segments[segment] = append(b.segments[segment], record.Key)
	}
	b.entries[record.Key] = &entry{latest: record, lastProposed: record, wasProposed: true, segment: segment}
}
