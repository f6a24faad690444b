package placement

import "time"

// TokenMemory is the memory for tokens of an engine, as far as an owner knows what is in it.
// It answers the load of long texts that are placed together: when their memory runs out, an
// engine preempts the newest of the least urgent ones, which read their prompts and texts
// again later.
type TokenMemory struct {
	// Capacity is the size in tokens; zero means unknown.
	Capacity int
	// Expected is what the runs there are expected to need when they end: their prompts and
	// outputs.
	Expected int
}

// memoryShare is the part of an engine's memory that runs are expected to need at most. The
// rest is for texts that are longer than expected.
const memoryShare = 0.8

// Fits reports whether there is memory for another run that is expected to need some tokens.
func (m TokenMemory) Fits(tokens int) bool {
	return m.Capacity == 0 || float64(m.Expected+tokens) <= memoryShare*float64(m.Capacity)
}

// ExpectedTokens returns what the runs of other owners are expected to need: as much as a run
// of this owner on average, or else an equal share of the engine's memory.
func ExpectedTokens(runs, ownTokens, ownRuns, capacity, slots int) int {
	if ownRuns > 0 {
		return runs * ownTokens / ownRuns
	}
	return runs * capacity / max(1, slots)
}

const (
	// preemptedSilence and preemptedIntervals are how long a run is silent at least when it
	// is preempted, as a time and in intervals between its events: a prompt that is read
	// beside it takes less.
	preemptedSilence   = 400 * time.Millisecond
	preemptedIntervals = 5
	// PreemptionTTL is for how long an engine that preempted a run gets less work: the runs
	// that were too many end, or are moved, meanwhile.
	PreemptionTTL = time.Second
)

// RunSilence is how long a run has sent no event, and the usual time between its events.
type RunSilence struct {
	Silence time.Duration
	Pace    time.Duration
}

// Preempted returns how many runs of one model on an engine seem to be preempted: they are
// silent while others go on. If all are silent, the engine itself has stopped, or loads
// weights.
func Preempted(runs []RunSilence) int {
	silent, moving := 0, 0
	for _, r := range runs {
		switch {
		case r.Silence >= max(preemptedSilence, preemptedIntervals*r.Pace):
			silent++
		case r.Silence < preemptedSilence/2:
			moving++
		}
	}
	if moving == 0 {
		return 0
	}
	return silent
}
