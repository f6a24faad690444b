package journal

import "time"

// WritePolicy configures how records are batched into writes of the head.
type WritePolicy struct {
	// MaxBatch is the largest number of records in a write; zero means no
	// limit.
	MaxBatch int
	// Spacing is the mean time between the starts of two writes of a bucket. It
	// is thus the longest time that a record waits for its batch while the
	// store is available.
	Spacing time.Duration
	// Burst is how many writes may start without a delay after a bucket was
	// idle; zero counts as one. The last of them is reserved for intents,
	// because callers wait for them.
	Burst int
	// CompactionBytes is the size of the records in the head above which they
	// are compacted into a segment; zero means defaultCompactionBytes.
	CompactionBytes int
}

const defaultCompactionBytes = 24 << 10

func (p *WritePolicy) compactionBytes() int {
	if p.CompactionBytes == 0 {
		return defaultCompactionBytes
	}
	return p.CompactionBytes
}

// storeWritesPerSecond is the part of the write rate of the transactional store
// that the journals of all daemons may use; the rest is left to the settings.
const storeWritesPerSecond = 200

// groupCommitBurst allows the intents and outcomes of two submissions to an
// idle bucket to be written without a delay.
const groupCommitBurst = 4

// GroupCommit returns a policy that batches the records that arrive between two
// spaced writes. A record of an idle bucket is written at once.
func GroupCommit() WritePolicy {
	return WritePolicy{Spacing: BucketCount * time.Second / storeWritesPerSecond, Burst: groupCommitBurst}
}

// PerRecordCommit returns a policy that writes each record on its own. It
// serves as a baseline for comparisons.
func PerRecordCommit() WritePolicy { return WritePolicy{MaxBatch: 1} }

// Pacer limits the write rate of a bucket as a token bucket does.
type Pacer struct {
	policy WritePolicy
	// refilledAt is the time at which the full burst is available again.
	refilledAt time.Time
}

// NewPacer returns the pacer of an idle bucket.
func NewPacer(policy WritePolicy) *Pacer { return &Pacer{policy: policy} }

// Next returns the earliest time at which a write may start. A write with an
// intent may use the last write of the burst.
func (p *Pacer) Next(hasIntent bool) time.Time {
	allowance := p.policy.Burst - 1
	if !hasIntent {
		allowance--
	}
	return p.refilledAt.Add(-time.Duration(max(0, allowance)) * p.policy.Spacing)
}

// RecordWrite records the start of a write.
func (p *Pacer) RecordWrite(now time.Time) {
	if now.After(p.refilledAt) {
		p.refilledAt = now
	}
	p.refilledAt = p.refilledAt.Add(p.policy.Spacing)
}
