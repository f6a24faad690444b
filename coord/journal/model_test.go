package journal

import "github.com/flamingobeam/flamingobeam/coord/structs"

// fencing says what makes a write of the model store succeed.
type fencing int

const (
	// bySwap compares the revision of the head and swaps it.
	bySwap fencing = iota
	// byNumber creates each batch under its own number if it is absent, and
	// old numbers are pruned. It is the known-bad variant.
	byNumber
)

// modelStore is the platform's store as the journal uses it.
type modelStore struct {
	fencing  fencing
	revision int
	// heads holds the batches by sequence number; with bySwap only the newest.
	heads    map[uint64]Head
	newest   uint64
	segments map[SegmentRef]Segment
}

func (m *modelStore) head() Head { return m.heads[m.newest] }

// put reports whether a proposal was written.
func (m *modelStore) put(p *Proposal, expected int) bool {
	if m.fencing == bySwap && m.revision != expected {
		return false
	}
	if _, taken := m.heads[p.Head.Sequence]; m.fencing == byNumber && taken {
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

// prune deletes all batches but the newest.
func (m *modelStore) prune() {
	for sequence := range m.heads {
		if sequence != m.newest {
			delete(m.heads, sequence)
		}
	}
}

// attempt is a write that may still be under way.
type attempt struct {
	proposal *Proposal
	expected int
}

// modelOwner is a daemon that owns, or once owned, the bucket. One that does
// nothing for a while is a frozen one.
type modelOwner struct {
	incarnation structs.Incarnation
	ledger      *OwnedBucket
	revision    int
	flight      *Proposal
	claiming    bool
	// admitted, sendable and sent hold the intents by key: not yet known to
	// be committed, free to be sent, and sent without a known outcome.
	admitted, sendable, sent map[Key]Record
}

func (o *modelOwner) forget() {
	o.ledger, o.flight, o.claiming = nil, nil, false
	o.admitted, o.sendable, o.sent = map[Key]Record{}, map[Key]Record{}, map[Key]Record{}
}
