package journal

import "time"

// Strategy says how records are gathered into writes of the head.
type Strategy struct {
	// MaxBatch is the largest count of records in a write; zero means no
	// bound.
	MaxBatch int
	// Spacing is the least time between the beginnings of two writes of a
	// bucket, and thus the longest that a record waits for its batch while
	// the store answers.
	Spacing time.Duration
	// FoldBytes is the size of the head's records above which they are folded
	// into a segment; zero means defaultFoldBytes.
	FoldBytes int
}

const defaultFoldBytes = 24 << 10

func (s *Strategy) foldBytes() int {
	if s.FoldBytes == 0 {
		return defaultFoldBytes
	}
	return s.FoldBytes
}

// storeWrites is the count of writes a second that the journal of the whole
// service may use; the rest of the store's rate is left to the settings.
const storeWrites = 200

// GroupCommit gathers what came in while the last write was spaced off. A
// record that finds its bucket idle is written at once.
func GroupCommit() Strategy {
	return Strategy{Spacing: Buckets * time.Second / storeWrites}
}

// WriteEach makes one write for each record. It is kept for comparison.
func WriteEach() Strategy { return Strategy{MaxBatch: 1} }
