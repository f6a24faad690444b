package journal

import "time"

// WritePolicy says how records are gathered into writes of the head.
type WritePolicy struct {
	// MaxBatch is the largest count of records in a write; zero means no
	// bound.
	MaxBatch int
	// Spacing is the mean time between the beginnings of two writes of a
	// bucket, and thus the longest that a record waits for its batch while
	// the store answers.
	Spacing time.Duration
	// Burst is how many writes may come without waiting after a bucket was
	// idle; zero counts as one. The last of them is kept for intents, for
	// which callers wait.
	Burst int
	// CompactionBytes is the size of the head's records above which they are folded
	// into a segment; zero means defaultFoldBytes.
	CompactionBytes int
}

const defaultFoldBytes = 24 << 10

func (s *WritePolicy) foldBytes() int {
	if s.CompactionBytes == 0 {
		return defaultFoldBytes
	}
	return s.CompactionBytes
}

// storeWrites is the count of writes a second that the journal of the whole
// service may use; the rest of the store's rate is left to the settings.
const storeWrites = 200

// groupBurst lets the intents and outcomes of two submissions to an idle
// bucket be written at once.
const groupBurst = 4

// GroupCommit gathers what came in while the last write was spaced off. A
// record that finds its bucket idle is written at once.
func GroupCommit() WritePolicy {
	return WritePolicy{Spacing: BucketCount * time.Second / storeWrites, Burst: groupBurst}
}

// PerRecordCommit makes one write for each record. It is kept for comparison.
func PerRecordCommit() WritePolicy { return WritePolicy{MaxBatch: 1} }

// Pacer spaces the writes of a bucket.
type Pacer struct {
	strategy WritePolicy
	// full is when the bucket would have its whole burst again.
	full time.Time
}

// NewPacer returns the pacer of an idle bucket.
func NewPacer(strategy WritePolicy) *Pacer { return &Pacer{strategy: strategy} }

// Next returns the time from which a write may begin. An urgent one holds an
// intent.
func (p *Pacer) Next(urgent bool) time.Time {
	ahead := p.strategy.Burst - 1
	if !urgent {
		ahead--
	}
	return p.full.Add(-time.Duration(max(0, ahead)) * p.strategy.Spacing)
}

// RecordWrite notes that a write began.
func (p *Pacer) RecordWrite(now time.Time) {
	if now.After(p.full) {
		p.full = now
	}
	p.full = p.full.Add(p.strategy.Spacing)
}
