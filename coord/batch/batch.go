// Package batch decides about batch jobs: who owns a job, what its log of
// results holds, and which of its items matter. A job's log only grows, under
// an epoch that each new owner raises, so a result keeps its position.
package batch

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ItemID names an item; the same item may come back in a later job.
type ItemID string

// RewardCall is the call that judges an item's finished text.
type RewardCall struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Item is one generation of a job.
type Item struct {
	ID      ItemID
	Path    string
	Headers map[string]string
	Body    []byte
	// TotalTokens is the memory that the item may need: prompt and longest output.
	TotalTokens int
	// LengthHint is the caller's estimate of the output in tokens, or zero.
	LengthHint int
	Group      string
	// Reward is nil when no call judges the item.
	Reward *RewardCall
}

// Job is a batch job as it was submitted.
type Job struct {
	ID   string
	Host string
	Path string
	// Step is the trainer's step.
	Step  uint64
	Model structs.ServiceName
	// MinVersion is the oldest version that may make the job's tokens.
	MinVersion structs.WeightVersion
	// WantedGroups is how many whole groups the trainer waits for.
	WantedGroups int
	Items        []Item
}

// Result is the outcome of an item.
type Result struct {
	ID ItemID `json:"id"`
	// Dead items were given up; they have no output.
	Dead     bool                    `json:"dead,omitempty"`
	Output   string                  `json:"output,omitempty"`
	Versions []structs.WeightVersion `json:"versions,omitempty"`
	Score    string                  `json:"score,omitempty"`
}

// Ownership says who runs a job. It is what another daemon needs to take over.
type Ownership struct {
	Owner string `json:"owner"`
	// Epoch rises with each owner.
	Epoch uint64 `json:"epoch"`
	Ended bool   `json:"ended,omitempty"`
	// Submitted is the Unix millisecond of the first submission.
	Submitted int64 `json:"submitted"`
}

// Log names the chunks that hold a job's results, by how many results each has.
type Log struct {
	Epoch     uint64 `json:"epoch"`
	ItemCount int    `json:"total"`
	Chunks    []int  `json:"chunks,omitempty"`
}

// ResultCount counts the results in a log.
func (l Log) ResultCount() int {
	sum := 0
	for _, count := range l.Chunks {
		sum += count
	}
	return sum
}

// WithChunk returns the log with one more chunk, written under an epoch.
func (l Log) WithChunk(epoch uint64, count int) Log {
	return Log{Epoch: epoch, ItemCount: l.ItemCount, Chunks: append(slices.Clone(l.Chunks), count)}
}

// AcceptsVersions reports whether every version may stand in a result of a job.
func (j *Job) AcceptsVersions(versions []structs.WeightVersion, single bool) bool {
	if len(versions) == 0 || (single && len(versions) > 1) {
		return false
	}
	return slices.Min(versions) >= j.MinVersion
}

// AddVersion records that a version made an event, once each and in order.
func AddVersion(versions []structs.WeightVersion, version structs.WeightVersion) []structs.WeightVersion {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(versions, version)
}

// LongestFirst sorts the indices of a job's items so that the longest start first.
func LongestFirst(items []Item) []int {
	indices := make([]int, len(items))
	for i := range indices {
		indices[i] = i
	}
	slices.SortStableFunc(indices, func(a, b int) int { return items[b].LengthHint - items[a].LengthHint })
	return indices
}

// RendezvousPick picks, among live daemons, the one that takes over a job. Every daemon
// that knows the same names picks the same one.
func RendezvousPick(job string, live []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range live {
		if weight := mix(job, name); best == "" || weight > bestWeight {
			best, bestWeight = name, weight
		}
	}
	return best
}

// Expired reports whether an item of a job may be given up.
func Expired(submitted, now time.Time, life time.Duration) bool {
	return life > 0 && now.Sub(submitted) >= life
}
