package engine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Errors of the engine, in package terms; the HTTP handler gives them a status.
var (
	// ErrLeaving means that the engine takes no new streams.
	ErrLeaving = errors.New("engine: leaving")
	// ErrCrashed means that the engine has crashed.
	ErrCrashed = errors.New("engine: crashed")
	// ErrBroken means that a stream ended before its last chunk.
	ErrBroken = errors.New("engine: the stream broke")
	// ErrHalfSwapped means that a weight swap stopped halfway.
	ErrHalfSwapped = errors.New("engine: the swap stopped halfway")
	// ErrBadGeneration means that a generation cannot be run.
	ErrBadGeneration = errors.New("engine: bad generation")
)

// maxRecords bounds the streams that are remembered.
const maxRecords = 1 << 16

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	options Options

	mu       sync.Mutex
	faults   Faults
	crashed  bool
	weights  weights
	streams  []*stream
	records  []*StreamRecord
	arrivals uint64
	cache    *prefixCache
	ticking  bool
	report   outside.LoadReport
	reported time.Time
	orders   []OrderRecord
}

// New returns an engine.
func New(options Options) *Engine {
	return &Engine{
		options: options,
		cache:   newPrefixCache(options.CacheBlocks),
		weights: weights{version: options.Version},
	}
}

// SetFaults replaces the faults that are switched on.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.wake()
}

// Records returns the engine's own record of its streams, in order of arrival.
func (e *Engine) Records() []StreamRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]StreamRecord, 0, len(e.records))
	for _, record := range e.records {
		kept := *record
		kept.Spans = slices.Clone(record.Spans)
		records = append(records, kept)
	}
	return records
}

// Generate calls each for every chunk and returns nil after the last one.
func (e *Engine) Generate(ctx context.Context, generation outside.GenerateRequest, each func(outside.Chunk) error) error {
	st, err := e.admit(generation)
	if err != nil {
		return err
	}
	defer e.drop(st)
	for {
		select {
		case <-st.more:
		case <-ctx.Done():
			return ctx.Err()
		}
		chunks, ending := e.take(st)
		for _, chunk := range chunks {
			if err := each(chunk); err != nil {
				return err
			}
		}
		if ending == Whole {
			return nil
		}
		if ending != Running {
			return ErrBroken
		}
	}
}

// admit queues a stream, or crashes on a marked one.
func (e *Engine) admit(generation outside.GenerateRequest) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch marker := e.faults.CrashMarker; {
	case e.crashed:
		return nil, ErrCrashed
	case marker != "" && strings.Contains(generation.Prompt, marker):
		e.crash()
		return nil, ErrCrashed
	case e.faults.Leaving:
		return nil, ErrLeaving
	case generation.MaxTokens < 1 || LengthOf(generation) <= generation.PrefixTokens:
		return nil, ErrBadGeneration
	}
	e.arrivals++
	st := &stream{
		generation: generation,
		arrival:    e.arrivals,
		total:      LengthOf(generation),
		record:     &StreamRecord{ID: generation.ID, PrefixTokens: generation.PrefixTokens, Ending: Running},
		more:       make(chan struct{}, 1),
	}
	e.streams = append(e.streams, st)
	e.records = append(e.records, st.record)
	e.records = e.records[max(0, len(e.records)-maxRecords):]
	e.wake()
	return st, nil
}

// Crash cuts all streams; the engine answers nothing from then on.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if e.crashed {
		return
	}
	e.crashed = true
	for _, st := range e.streams {
		st.end(Cut)
	}
	if e.options.Crash != nil {
		go e.options.Crash()
	}
}

// Cancel ends the streams of an id.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, st := range e.streams {
		if st.generation.ID == id {
			st.end(Cancelled)
		}
	}
}

// take returns the chunks not yet sent, and how the stream ended.
func (e *Engine) take(st *stream) ([]outside.Chunk, Ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks := st.pending
	st.pending = nil
	return chunks, st.record.Ending
}

// drop forgets a stream whose caller has gone or has the whole answer.
func (e *Engine) drop(st *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st.end(Cancelled)
	e.streams = slices.DeleteFunc(e.streams, func(other *stream) bool { return other == st })
	e.wake()
}

// Load returns the load report, which may be as old as the lag.
func (e *Engine) Load() outside.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.reported.IsZero() || now.Sub(e.reported) >= e.options.ReportLag {
		e.report, e.reported = e.load(), now
	}
	return e.report
}

func (e *Engine) load() outside.LoadReport {
	load := outside.LoadReport{Version: e.weights.version, CacheHits: e.cache.hits, CacheMisses: e.cache.misses}
	for _, st := range e.streams {
		if st.running {
			load.Running++
		} else {
			load.Waiting++
		}
	}
	return load
}

// versionFor returns the version that runs a stream.
func (e *Engine) versionFor(st *stream) structs.WeightVersion {
	if e.weights.half != 0 && st.slot%2 == 1 {
		return e.weights.half
	}
	return e.weights.version
}
