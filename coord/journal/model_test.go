package journal

import "github.com/flamingobeam/flamingobeam/coord/structs"

// fencing is the condition under which the model store accepts a write.
type fencing int

const (
	// fenceByRevision is compare-and-swap on the revision of the head.
	fenceByRevision fencing = iota
	// fenceBySequence creates each batch under its sequence number if that is
	// absent, while old numbers are pruned. It is known to be wrong: a late
	// write of a former owner succeeds after its number was pruned.
	fenceBySequence
)

// modelStore is a model of the transactional store.
type modelStore struct {
	fencing  fencing
	revision int
	// heads holds the batches by sequence number; fenceByRevision uses only the
	// newest.
	heads    map[uint64]Head
	newest   uint64
	segments map[SegmentRef]Segment
}

func (m *modelStore) head() Head { return m.heads[m.newest] }

// put reports whether the store accepted a proposal.
func (m *modelStore) put(p *Proposal, expected int) bool {
	if m.fencing == fenceByRevision && m.revision != expected {
		return false
	}
	if _, exists := m.heads[p.Head.Sequence]; m.fencing == fenceBySequence && exists {
		return false
	}
	if p.Segment != nil {
		m.segments[p.Segment.Ref] = *p.Segment
	}
	m.heads[p.Head.Sequence] = p.Head
	m.newest = max(m.newest, p.Head.Sequence)
	m.revision++
	return true
}

// prune deletes all batches except the newest.
func (m *modelStore) prune() {
	for sequence := range m.heads {
		if sequence != m.newest {
			delete(m.heads, sequence)
		}
	}
}

// delayedWrite is a write that has not reached the store yet.
type delayedWrite struct {
	proposal *Proposal
	expected int
}

// modelOwner is a daemon that is or was the owner of the bucket. A paused
// daemon is one for which no step is drawn.
type modelOwner struct {
	incarnation structs.Incarnation
	bucket      *OwnedBucket
	revision    int
	inFlight    *Proposal
	claiming    bool
	// admitted, sendable and sent hold the intents by key: not known to be
	// committed, committed but not sent, and sent without a known outcome.
	admitted, sendable, sent map[Key]Record
}

func (o *modelOwner) reset() {
	o.bucket, o.inFlight, o.claiming = nil, nil, false
	o.admitted, o.sendable, o.sent = map[Key]Record{}, map[Key]Record{}, map[Key]Record{}
}
