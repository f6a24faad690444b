package contract

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// RunRequest describes a run, the generation of an item's text at an engine.
type RunRequest struct {
	Job *batch.Job
	// HasWorkspaces is set in a deployment with workspaces.
	HasWorkspaces bool
	Item          *batch.Item
	Server        catalog.Server
	// Start is why the run starts.
	Start RunStart
	// Urgency is the priority, from 0 (highest) to 9 (lowest).
	Urgency int
	// Text is the text of earlier runs, which this run continues.
	Text *Text
	// Timeout bounds the run.
	Timeout time.Duration
	// SingleVersion requires that one weight version generates the whole text.
	SingleVersion bool
}

// Text is the text of an item generated so far. Only one goroutine at a time may
// add to it; others may call only Clone, Position and EventsFrom. It crosses net/rpc under the
// names of its exported fields. The type name is part of the gob encoding.
type Text struct {
	Events []string
	// Last is the ID of the last event.
	Last uint64
	// Versions lists the weight versions that generated events.
	Versions []structs.WeightVersion
	// Version is the weight version that generated the last event.
	Version structs.WeightVersion
	// Whole is set once the stream has ended after its last event.
	Whole bool
	// Origin is where the first event was generated. It is zero in texts of releases
	// before it was recorded.
	Origin resume.Origin

	mu sync.Mutex
}

// Add appends an event that a weight version generated. The origin of the first event
// is that of the text.
func (t *Text) Add(id uint64, event string, version structs.WeightVersion, origin resume.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Last == 0 {
		t.Origin = origin
	}
	t.Last, t.Version = id, version
	t.Events = append(t.Events, event)
	t.Versions = batch.AddVersion(t.Versions, version)
}

// Position returns where the text continues. It may be called from any goroutine.
func (t *Text) Position() resume.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return resume.Position{Last: t.Last, Origin: t.Origin}
}

// HasOnlyVersion reports whether no other weight version has generated an event. Only the
// goroutine that adds to the text may call it.
func (t *Text) HasOnlyVersion(version structs.WeightVersion) bool {
	return !slices.ContainsFunc(t.Versions, func(other structs.WeightVersion) bool { return other != version })
}

// MarkWhole records that the text is complete.
func (t *Text) MarkWhole() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Whole = true
}

// Clone returns a deep copy. It may be called from any goroutine.
func (t *Text) Clone() *Text {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Text{
		Events: slices.Clone(t.Events), Last: t.Last, Versions: slices.Clone(t.Versions), Version: t.Version, Whole: t.Whole,
		Origin: t.Origin,
	}
}

// EventsFrom returns the events from an index on, all weight versions of the text,
// and whether it is complete. It may be called from any goroutine.
func (t *Text) EventsFrom(from int) ([]string, []structs.WeightVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from > len(t.Events) {
		return nil, nil, false
	}
	return slices.Clone(t.Events[from:]), slices.Clone(t.Versions), t.Whole
}

// HasEmptyTail reports whether the last event holds no data. It may be called from any
// goroutine.
func (t *Text) HasEmptyTail() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.Events) > 0 && t.Events[len(t.Events)-1] == ""
}

// WithoutEmptyTail returns a copy that ends with the last event that holds data. It is
// empty where the weight versions of that part are unknown.
func (t *Text) WithoutEmptyTail() *Text {
	text := t.Clone()
	for len(text.Events) > 0 && text.Events[len(text.Events)-1] == "" {
		text.Events = text.Events[:len(text.Events)-1]
		text.Last--
	}
	if len(text.Events) == 0 || len(text.Versions) > 1 {
		return &Text{}
	}
	return text
}

// RunOutcome is the outcome of a run.
type RunOutcome uint8

// The outcomes of a run.
const (
	// RunCompleted means that the text is complete.
	RunCompleted RunOutcome = iota
	// RunInterrupted means that another server may continue the text.
	RunInterrupted
	// RunNotStarted means that the server did not start the run.
	RunNotStarted
	// RunFailed means that the server responded with an error.
	RunFailed
	// RunImpossible means that no server can ever complete the item.
	RunImpossible
	// RunUnreachable means that the server refused the connection; the run did not
	// start.
	RunUnreachable
	// RunStaleWeights means that the server's weights are older than the job allows.
	RunStaleWeights
	// RunOtherWeights means that the server's weights are not those that generated the
	// text, which must have a single version.
	RunOtherWeights
	// RunOverlong means that the server sent more than the item's text can hold, so
	// that none of its events can be trusted.
	RunOverlong
)

// String returns the name of the outcome in the log.
func (o RunOutcome) String() string {
	return [...]string{"whole", "cut", "not started", "failed", "impossible", "unreachable", "stale weights", "other weights", "overlong"}[o]
}

// RunResult is the result of a run; Text includes what the run added.
type RunResult struct {
	Outcome RunOutcome
	Err     error
	Text    *Text
	Status  int
	// Version is the weight version that the server reported, or zero.
	Version structs.WeightVersion
	// RetryAfter is the time after which a server that did not start the run takes
	// one, if that is known.
	RetryAfter time.Duration
}

// Engines runs items on model engines.
type Engines interface {
	// Run blocks until the run ends and updates progress meanwhile.
	Run(ctx context.Context, request RunRequest, progress *Progress) RunResult
}
