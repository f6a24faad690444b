// Package engine emulates a model engine over HTTP, with continuous batching, a
// prefix cache, weight swaps while streams run, and fault injection. The text of
// each token names the weight version that generated it, so that the version
// spans of a sample can be recomputed from its body.
package engine

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Options configures an engine.
type Options struct {
	Name    structs.HostName
	Model   structs.ServiceName
	Version structs.WeightVersion
	// TokensPerSecond is the generation rate of each running stream.
	TokensPerSecond float64
	// PrefillPerSecond is the prefill rate, in prompt tokens per second. Tokens
	// in the prefix cache take no prefill.
	PrefillPerSecond float64
	// MaxRunning is the number of slots in the batch; further streams wait.
	MaxRunning int
	// CacheBlocks is the capacity of the prefix cache, in blocks of BlockBytes.
	CacheBlocks int
	// ReportLag is the maximum age of a load report.
	ReportLag time.Duration
	// Fenced makes the engine reject orders with an older term than the highest
	// seen.
	Fenced bool
	// Crash is called after the engine has crashed and its streams have been
	// cut. If it is nil, the engine only stops serving requests.
	Crash func()
}

// DefaultOptions returns the options of an engine without fencing.
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

// Faults are the faults that can be injected.
type Faults struct {
	// Leaving makes the engine drain: it rejects new streams with status 503.
	Leaving bool `json:"leaving"`
	// CutAfter is the number of tokens after which a stream is cut; zero means
	// never.
	CutAfter int `json:"cut_after"`
	// StallAfter is the number of tokens after which a stream stalls until the
	// fault is cleared; zero means never.
	StallAfter int `json:"stall_after"`
	// SwapDelay is added to every weight swap.
	SwapDelay time.Duration `json:"swap_delay"`
	// HalfSwap stops every weight swap halfway: the streams in odd slots run on
	// the new version, the engine reports the old one, and the order fails.
	HalfSwap bool `json:"half_swap"`
	// CrashMarker makes the engine crash on a prompt that contains it; empty
	// means never.
	CrashMarker string `json:"crash_marker"`
}

// minStepInterval is the shortest time between two steps of the batch.
const minStepInterval = time.Millisecond

// stepSize returns the time between two steps of the batch and the number of
// tokens that a stream generates in each.
func (o Options) stepSize() (time.Duration, int) {
	interval := time.Duration(float64(time.Second) / o.TokensPerSecond)
	if interval >= minStepInterval {
		return interval, 1
	}
	return minStepInterval, int(o.TokensPerSecond * minStepInterval.Seconds())
}

// prefillSteps returns the number of steps that the prefill of uncached prompt
// bytes takes.
func (o Options) prefillSteps(bytes int) int {
	interval, _ := o.stepSize()
	seconds := float64(bytes/bytesPerToken) / o.PrefillPerSecond
	return int(seconds / interval.Seconds())
}
