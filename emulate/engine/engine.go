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

// Errors of the engine. The HTTP handler maps them to status codes.
var (
	// ErrLeaving means that the engine is draining and accepts no new streams.
	ErrLeaving = errors.New("engine: leaving")
	// ErrCrashed means that the engine has crashed.
	ErrCrashed = errors.New("engine: crashed")
	// ErrBroken means that a stream was cut or cancelled before its last chunk.
	ErrBroken = errors.New("engine: stream cut or cancelled")
	// ErrHalfSwapped means that a weight swap stopped halfway.
	ErrHalfSwapped = errors.New("engine: the swap stopped halfway")
	// ErrBadGeneration means that a generation request is invalid.
	ErrBadGeneration = errors.New("engine: bad generation")
)

// maxRecords bounds the stream records that are kept.
const maxRecords = 1 << 16

// Engine emulates a model engine. It is safe for concurrent use.
type Engine struct {
	options Options

	mu             sync.Mutex
	faults         Faults
	crashed        bool
	weightState    weightState
	streams        []*stream
	records        []*StreamRecord
	arrivalCount   uint64
	cache          *prefixCache
	stepPending    bool
	lastReport     outside.LoadReport
	lastReportTime time.Time
	orders         []OrderRecord
}

// New returns an engine that runs the weight version of the options.
func New(options Options) *Engine {
	return &Engine{
		options:     options,
		cache:       newPrefixCache(options.CacheBlocks),
		weightState: weightState{version: options.Version},
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.scheduleStep()
}

// Records returns a copy of the engine's records of its streams, in order of
// arrival.
func (e *Engine) Records() []StreamRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]StreamRecord, 0, len(e.records))
	for _, record := range e.records {
		snapshot := *record
		snapshot.Spans = slices.Clone(record.Spans)
		records = append(records, snapshot)
	}
	return records
}

// Generate runs a generation, calls emit for every chunk and returns nil after
// the last one. It fails with ErrLeaving, ErrCrashed, ErrBadGeneration or
// ErrBroken, with the error of ctx, or with the first error of emit.
func (e *Engine) Generate(ctx context.Context, request outside.GenerateRequest, emit func(outside.Chunk) error) error {
	st, err := e.admit(request)
	if err != nil {
		return err
	}
	defer e.removeStream(st)
	for {
		select {
		case <-st.updateSignal:
		case <-ctx.Done():
			return ctx.Err()
		}
		chunks, ending := e.takeChunks(st)
		for _, chunk := range chunks {
			if err := emit(chunk); err != nil {
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

// admit queues a stream. The engine crashes if the prompt contains the crash
// marker.
func (e *Engine) admit(request outside.GenerateRequest) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch marker := e.faults.CrashMarker; {
	case e.crashed:
		return nil, ErrCrashed
	case marker != "" && strings.Contains(request.Prompt, marker):
		e.crash()
		return nil, ErrCrashed
	case e.faults.Leaving:
		return nil, ErrLeaving
	case request.MaxTokens < 1 || LengthOf(request) <= request.PrefixTokens:
		return nil, ErrBadGeneration
	}
	e.arrivalCount++
	st := &stream{
		request:       request,
		arrivalNumber: e.arrivalCount,
		totalTokens:   LengthOf(request),
		record:        &StreamRecord{ID: request.ID, PrefixTokens: request.PrefixTokens, Ending: Running},
		updateSignal:  make(chan struct{}, 1),
	}
	e.streams = append(e.streams, st)
	e.records = append(e.records, st.record)
	e.records = e.records[max(0, len(e.records)-maxRecords):]
	e.scheduleStep()
	return st, nil
}

// Crash cuts all streams. The engine serves no requests from then on.
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
		st.finish(Cut)
	}
	if e.options.Crash != nil {
		go e.options.Crash()
	}
}

// Cancel cancels the streams with an id.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, st := range e.streams {
		if st.request.ID == id {
			st.finish(Cancelled)
		}
	}
}

// takeChunks removes and returns the unsent chunks of a stream, with its ending.
func (e *Engine) takeChunks(st *stream) ([]outside.Chunk, Ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks := st.unsent
	st.unsent = nil
	return chunks, st.record.Ending
}

// removeStream removes a stream that is complete or whose caller has gone. A
// stream that is still running counts as cancelled.
func (e *Engine) removeStream(st *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st.finish(Cancelled)
	e.streams = slices.DeleteFunc(e.streams, func(other *stream) bool { return other == st })
	e.scheduleStep()
}

// Load returns a load report that may be as old as Options.ReportLag.
func (e *Engine) Load() outside.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.lastReportTime.IsZero() || now.Sub(e.lastReportTime) >= e.options.ReportLag {
		e.lastReport, e.lastReportTime = e.measureLoad(), now
	}
	return e.lastReport
}

func (e *Engine) measureLoad() outside.LoadReport {
	load := outside.LoadReport{Version: e.weightState.version, CacheHits: e.cache.hits, CacheMisses: e.cache.misses}
	for _, st := range e.streams {
		if st.running {
			load.Running++
		} else {
			load.Waiting++
		}
	}
	return load
}

// versionFor returns the weight version that a stream runs on. After a half swap
// the streams in odd slots run on the new version.
func (e *Engine) versionFor(st *stream) structs.WeightVersion {
	if e.weightState.halfSwapVersion != 0 && st.slot%2 == 1 {
		return e.weightState.halfSwapVersion
	}
	return e.weightState.version
}
