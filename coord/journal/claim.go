package journal

import (
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ClaimBucket takes a bucket over from its head, which may be empty, and all of its
// segments in the head's order. It returns the ledger of the new owner and the
// proposal that makes it the owner; before that one is written the new owner
// may answer nothing. Intents without an outcome become StateTakenOver,
// because a former owner may still be about to send them.
func ClaimBucket(head Head, segments []Segment, self structs.Incarnation, address string, strategy WritePolicy) (*OwnedBucket, *Proposal) {
	l := &OwnedBucket{
		self:     self,
		strategy: strategy,
		head:     head,
		entries:  make(map[Key]*entry),
		segments: make(map[uint64][]Key),
	}
	l.head.Segments = slices.Clone(head.Segments)
	l.head.Recent = nil
	l.operation = head.Operation
	for _, segment := range segments {
		for _, record := range segment.Records {
			l.load(record, segment.Ref.Number)
		}
	}
	for _, record := range head.Recent {
		l.load(record, inHead)
		l.recent = append(l.recent, record.Key)
	}
	l.head.Term++
	l.head.Owner, l.head.Address = self, address
	proposal := &Proposal{}
	l.seal(proposal)
	return l, proposal
}

// load takes a record from a segment or the head; a later one replaces an
// earlier one.
func (l *OwnedBucket) load(record Record, segment uint64) {
	if record.State == StateIntent {
		record.State = StateTakenOver
	}
	if segment != inHead {
		l.segments[segment] = append(l.segments[segment], record.Key)
	}
	l.entries[record.Key] = &entry{latest: record, written: record, proposed: true, segment: segment}
}
