// Package engine is a stand-in of a model engine over HTTP: it batches streams
// continuously, caches prompt prefixes, swaps weights while streams run, and
// fails on purpose. Each token's text names the version that made it, so that
// a reader can recompute a sample's true spans from its body.
package engine

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Options sets an engine up.
type Options struct {
	Name    structs.HostName
	Model   structs.ServiceName
	Version structs.WeightVersion
	// TokensPerSecond is the rate of one running stream.
	TokensPerSecond float64
	// PrefillPerSecond is the count of prompt tokens read in a second when
	// they are not in the cache.
	PrefillPerSecond float64
	// MaxRunning bounds the streams that advance at once; the rest wait.
	MaxRunning int
	// CacheBlocks is the memory of the prefix cache, in blocks of BlockBytes.
	CacheBlocks int
	// ReportLag is how old a load report may be.
	ReportLag time.Duration
	// Fenced makes the engine refuse an order with an old term.
	Fenced bool
	// Crash is called when a request crashes the engine, after its streams
	// were cut; nil means that the engine only stops answering.
	Crash func()
}

// DefaultOptions returns an engine that ignores terms.
func DefaultOptions() Options {
	return Options{
		Name:             "engine",
		Model:            "model",
		Version:          1,
		TokensPerSecond:  200,
		PrefillPerSecond: 20_000,
		MaxRunning:       32,
		CacheBlocks:      4096,
		ReportLag:        500 * time.Millisecond,
	}
}

// Faults are switched on for tests.
type Faults struct {
	// Leaving refuses new streams with status 503.
	Leaving bool `json:"leaving"`
	// CutAfter is the count of tokens after which a stream is cut; zero means
	// never.
	CutAfter int `json:"cut_after"`
	// StallAfter is the count of tokens after which a stream makes no more
	// until the fault is switched off; zero means never.
	StallAfter int `json:"stall_after"`
	// SwapDelay is added to every weight swap.
	SwapDelay time.Duration `json:"swap_delay"`
	// HalfSwap stops every swap halfway: every second stream runs the new
	// version, the engine reports the old one, and the order fails.
	HalfSwap bool `json:"half_swap"`
	// CrashMarker crashes the engine on a prompt that contains it; empty
	// means none.
	CrashMarker string `json:"crash_marker"`
}

// tickSpan is the shortest time between two steps of the batch.
const tickSpan = time.Millisecond

// pace returns the time between two steps of the batch and the tokens that a
// stream makes in each.
func (o Options) pace() (time.Duration, int) {
	span := time.Duration(float64(time.Second) / o.TokensPerSecond)
	if span >= tickSpan {
		return span, 1
	}
	return tickSpan, int(o.TokensPerSecond * tickSpan.Seconds())
}

// prefillTicks returns how many steps the reading of bytes takes.
func (o Options) prefillTicks(bytes int) int {
	span, _ := o.pace()
	seconds := float64(bytes/bytesPerToken) / o.PrefillPerSecond
	return int(seconds / span.Seconds())
}
