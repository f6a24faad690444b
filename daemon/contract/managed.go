package contract

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// The names of the services that a daemon on a managed platform runs in place
// of, or beside, the others.
const (
	// NameTransactionalStore offers TransactionalStore.
	NameTransactionalStore kernel.Name = "store.ledger"
	// NameSession offers Session.
	NameSession kernel.Name = "store.session"
	// NameCatalog offers Catalog.
	NameCatalog kernel.Name = "control.catalog"
	// NameServers offers Servers.
	NameServers kernel.Name = "control.servers"
	// NameWeightSwaps offers WeightSwaps and gives orders to change weights.
	NameWeightSwaps kernel.Name = "control.swaps"
	// NameEnginePaces offers EnginePaces.
	NameEnginePaces kernel.Name = "control.paces"
	// NameRetire answers orders to empty a storage host.
	NameRetire kernel.Name = "control.retire"
	// NameDispatch offers Dispatch.
	NameDispatch kernel.Name = "traffic.dispatch"
	// NameEngines offers Engines.
	NameEngines kernel.Name = "traffic.engines"
	// NameJobs offers Jobs.
	NameJobs kernel.Name = "traffic.jobs"
	// NameManagedFront is the HTTP front end on a managed platform.
	NameManagedFront kernel.Name = "http.gate"
	// NameMetricsHTTP serves the metrics.
	NameMetricsHTTP kernel.Name = "http.metrics"
)

// PrefixChanges is what changed under a prefix of the store.
type PrefixChanges struct {
	Records []outside.Record
	// Full says that Records are all that there is under the prefix, after the
	// history was lost or at the start.
	Full bool
}

// WatchOptions says how closely a prefix is followed; each watch is charged as a
// call.
type WatchOptions struct {
	// PollTimeout is how long a watch waits for news: one that is cut in silence is
	// noticed no sooner.
	PollTimeout time.Duration
	// BatchDelay is the pause after news, in which further news gathers.
	BatchDelay time.Duration
}

// TransactionalStore is the platform's store with a time limit on each call.
type TransactionalStore interface {
	outside.TransactionalStore
	// WatchPrefix hands all changes under a prefix to a handler on the control
	// goroutine, in order. It must be called while services are provisioned.
	WatchPrefix(prefix string, pace WatchOptions, handle func(PrefixChanges))
	// SetRelays names the daemons, the nearest first, that make calls for this
	// one while the store does not serve it. It may be called from any
	// goroutine.
	SetRelays(addresses []string)
	// SetWatchUpstream names the daemon that gives this one the news of the store; empty
	// when this one asks the store. It may be called from any goroutine.
	SetWatchUpstream(address string)
	// ReachedSince returns since when calls have been answered, and false
	// while they are not. It may be called from any goroutine.
	ReachedSince() (time.Time, bool)
}

// Member is a live daemon.
type Member struct {
	// Name names one run of a daemon: its host, a dot and the time of its start.
	Name string `json:"name"`
	// RPCAddress is its address for net/rpc.
	RPCAddress string           `json:"peers"`
	Zone       structs.ZoneName `json:"zone"`
	// Strength is the part of a processor core that the host gives it.
	Strength float64 `json:"strength,omitempty"`
}

// SameHost reports whether two names are those of runs on one host.
func SameHost(a, b string) bool { return HostOf(a) == HostOf(b) }

// StartOf is the time of the start in a run's name, in nanoseconds, and zero when
// the name has none.
func StartOf(name string) int64 {
	started, err := strconv.ParseInt(strings.TrimPrefix(name, HostOf(name)+"."), 16, 64)
	if err != nil {
		return 0
	}
	return started
}

// HostOf is the host in a run's name.
func HostOf(name string) string {
	if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
		return name[:dot]
	}
	return name
}

// SessionView is the immutable snapshot of the live daemons.
type SessionView struct {
	Self Member
	// Lease keeps this daemon's keys; zero while there is none.
	Lease outside.LeaseID
	// Live are the daemons with a session, this one among them while it has
	// one, by name.
	Live map[string]Member
	// Leader is the daemon that gives orders, and FencingToken its fencing token.
	Leader       string
	FencingToken uint64
	// AbsenceReliableFrom is since when absence from Live may be taken for an end; zero
	// while it may not, because the store was away.
	AbsenceReliableFrom time.Time
}

// Session gives this daemon's standing among the others.
type Session interface {
	// View returns the snapshot; it may be called from any goroutine.
	View() *kernel.Snapshot[SessionView]
	// KeyOf is the store's key that stands as long as a daemon has a session.
	KeyOf(name string) string
	// IsSuccessorOf reports whether a name is that of an earlier run of this host's
	// daemon. It may be called from any goroutine.
	IsSuccessorOf(name string) bool
	// SetOwnsJobs says whether this daemon owns open batch jobs, whose callers wait
	// for another owner when it dies. It must be called on the control goroutine.
	SetOwnsJobs(owns bool)
	// HoldsLease reports whether the lease of this daemon surely still runs, by the
	// clock that goes on while the host is suspended. It may be called from
	// any goroutine.
	HoldsLease() bool
}

// CatalogView is the immutable snapshot of what operator and trainers wrote.
type CatalogView struct {
	// Catalog is nil until it is known.
	Catalog *catalog.Catalog
	// TargetVersions is the newest version named for each model.
	TargetVersions map[structs.ServiceName]structs.WeightVersion
}

// Catalog gives the operator's configuration in force.
type Catalog interface {
	// Current returns the snapshot; it may be called from any goroutine.
	Current() *kernel.Snapshot[CatalogView]
}

// ServersView is the immutable snapshot of the backend servers.
type ServersView struct {
	// ByService lists the servers that may get new work.
	ByService map[structs.ServiceName][]catalog.Server
	// All holds every entry by ID.
	All map[structs.HostName]catalog.Server
	// Loaded is set once the list has been read.
	Loaded bool
}

// Servers gives the backend servers.
type Servers interface {
	// Entries returns the snapshot; it may be called from any goroutine.
	Entries() *kernel.Snapshot[ServersView]
}

// ForwardRequest is a request on a route that is to be forwarded.
type ForwardRequest struct {
	Route  *catalog.Route
	ID     string
	Method string
	Host   string
	// Target is path and query, byte for byte.
	Target string
	Header http.Header
	Body   []byte
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
}

// ForwardReply is a server's whole answer, or an open stream.
type ForwardReply struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is set instead of Body when the answer is passed on as it comes;
	// whoever reads it closes it.
	Stream *http.Response
	// Stamp is the server's signature.
	Stamp string
	// Failures counts the servers that answered that the attempt failed; those
	// that ran out of time are not among them.
	Failures int
	// Server gave the answer, and Attempts counts the servers that were asked.
	Server   structs.HostName
	Attempts int
}

// Dispatch forwards requests to plain services. Errors are of package result.
type Dispatch interface {
	// Forward sends a request to a server of its route, and to others within
	// the route's attempts when it may run more than once.
	Forward(ctx context.Context, request ForwardRequest) (ForwardReply, error)
}

// RunRequest asks an engine to generate the text of an item.
type RunRequest struct {
	Job    *batch.Job
	Item   *batch.Item
	Server catalog.Server
	// Urgency is from 0, the first, to 9.
	Urgency int
	// Text is what is held already; the run goes on after it.
	Text *GeneratedText
	// Timeout is how long the engine may work on it.
	Timeout time.Duration
	// SingleVersion asks for a text made by one version alone.
	SingleVersion bool
}

// GeneratedText is what has been generated of an item. One goroutine at a time adds to
// it; others may only call EventsFrom.
type GeneratedText struct {
	Events   []string
	Last     uint64
	Versions []structs.WeightVersion
	// Version made the last event.
	Version structs.WeightVersion
	// Whole is set once the stream has ended after its last event.
	Whole bool

	mu sync.Mutex
}

// Add appends an event that a version made.
func (t *GeneratedText) Add(id uint64, event string, version structs.WeightVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Last, t.Version = id, version
	t.Events = append(t.Events, event)
	t.Versions = batch.AddVersion(t.Versions, version)
}

// MarkWhole records that the last event has come.
func (t *GeneratedText) MarkWhole() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Whole = true
}

// Clone returns a copy. It may be called from any goroutine.
func (t *GeneratedText) Clone() *GeneratedText {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &GeneratedText{
		Events: slices.Clone(t.Events), Last: t.Last, Versions: slices.Clone(t.Versions), Version: t.Version, Whole: t.Whole,
	}
}

// EventsFrom returns the events from a position on, with all versions of the text and
// whether it is whole. It may be called from any goroutine.
func (t *GeneratedText) EventsFrom(from int) ([]string, []structs.WeightVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from > len(t.Events) {
		return nil, nil, false
	}
	return slices.Clone(t.Events[from:]), slices.Clone(t.Versions), t.Whole
}

// RunOutcome says how a run ended.
type RunOutcome uint8

// The ends of a run.
const (
	// RunCompleted means that the text is complete.
	RunCompleted RunOutcome = iota
	// RunInterrupted means that the run may go on at another server after the text.
	RunInterrupted
	// RunNotStarted means that the server did not begin.
	RunNotStarted
	// RunFailed means that the server answered that the attempt failed.
	RunFailed
	// RunImpossible means that the item can never be done.
	RunImpossible
	// RunUnreachable means that the server takes no connection; the run did not
	// begin.
	RunUnreachable
	// RunStaleWeights means that the server's weights are older than the job allows.
	RunStaleWeights
)

// String names the end for the log.
func (e RunOutcome) String() string {
	return [...]string{"whole", "cut", "not started", "failed", "impossible", "unreachable", "stale weights"}[e]
}

// RunResult is the outcome of a run; Text has grown by what was made.
type RunResult struct {
	Outcome RunOutcome
	Err     error
	Text    *GeneratedText
	Status  int
	// Version is what the server said that it runs, or zero.
	Version structs.WeightVersion
}

// Engines runs items on model engines.
type Engines interface {
	// Run blocks until the run ends. Progress is updated on the way.
	Run(ctx context.Context, request RunRequest, progress *Progress) RunResult
}

// ResultsRequest reads the results of a batch job from a position on.
type ResultsRequest struct {
	ID    string
	After int
	// Wait is how long to wait for a result when there is none.
	Wait time.Duration
}

// ResultsReply is a part of a job's log.
type ResultsReply struct {
	Total   int
	Results []batch.Result
}

// EngineWeights is what the leader learned of a model engine's weights.
type EngineWeights struct {
	Server structs.HostName
	// Started tells the engine's runs apart.
	Started  int64
	Versions map[structs.ServiceName]structs.WeightVersion
}

// ModelDemand is what one step of a model asks for.
type ModelDemand struct {
	Model structs.ServiceName
	// Size is in tokens, as far as the callers' hints go.
	Size float64
}

// WeightSwaps tells which weights the model engines run.
type WeightSwaps interface {
	// OnEngineWeights adds a function to call on the control goroutine for each piece
	// of news. It must be called while services are provisioned.
	OnEngineWeights(call func(EngineWeights))
	// RecordDemand takes in what a step asks for, so that busier models get more
	// engines. It must be called on the control goroutine.
	RecordDemand(demand ModelDemand)
}

// EnginePaces tells how fast the model engines are. All of it must be called on the
// control goroutine.
type EnginePaces interface {
	// RecordSample takes in what a run shows of its engine.
	RecordSample(server catalog.Server, sample placement.PaceSample)
	// Estimate estimates the time between the events of a run that begins now, and
	// gives the shortest one seen; zero is unknown.
	Estimate(server catalog.Server) (pace, best time.Duration)
}

// Jobs runs batch jobs. Errors are of package result: NotFound is certain.
type Jobs interface {
	// Submit accepts a job, once for each ID. Source is the submitted body,
	// which is kept. OutcomeUnknown means that it may be accepted yet.
	Submit(ctx context.Context, job *batch.Job, source []byte) error
	// Results returns what is listed from a position on.
	Results(ctx context.Context, request ResultsRequest) (ResultsReply, error)
	// ItemBody returns the body of an item.
	ItemBody(ctx context.Context, id string, item batch.ItemID) ([]byte, error)
	// End ends a job; what is listed stays.
	End(ctx context.Context, id string) error
	// Quiesce has further submissions run by other daemons, because this one stops
	// soon.
	Quiesce()
}
