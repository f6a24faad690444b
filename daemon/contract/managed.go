package contract

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// The names of the services that a daemon on a managed platform runs instead of,
// or in addition to, the others.
const (
	// NameTransactionalStore offers TransactionalStore.
	NameTransactionalStore kernel.Name = "store.ledger"
	// NameSession offers Session.
	NameSession kernel.Name = "store.session"
	// NameCatalog offers Catalog.
	NameCatalog kernel.Name = "control.catalog"
	// NameServers offers Servers.
	NameServers kernel.Name = "control.servers"
	// NameWeightSwaps offers WeightSwaps and orders the engines' weight swaps.
	NameWeightSwaps kernel.Name = "control.swaps"
	// NameEnginePaces offers EnginePaces.
	NameEnginePaces kernel.Name = "control.paces"
	// NameRetire responds to orders to drain a storage host.
	NameRetire kernel.Name = "control.retire"
	// NameDispatch offers Dispatch.
	NameDispatch kernel.Name = "traffic.dispatch"
	// NameEngines offers Engines.
	NameEngines kernel.Name = "traffic.engines"
	// NameStreamOrigins offers StreamOrigins.
	NameStreamOrigins kernel.Name = "traffic.origins"
	// NameJobs offers Jobs.
	NameJobs kernel.Name = "traffic.jobs"
	// NameManagedFront is the HTTP front end on a managed platform.
	NameManagedFront kernel.Name = "http.gate"
	// NameMetricsHTTP serves the metrics over HTTP.
	NameMetricsHTTP kernel.Name = "http.metrics"
)

// News holds changed records under a prefix of the store. It crosses net/rpc. The
// type name is part of the gob encoding.
type News struct {
	Records []outside.Record
	// Full is set when Records is a full snapshot of the prefix: the first one, or
	// one that follows a gap in the history.
	Full bool
	// Source is the address of the daemon that the records came from, or "store", and
	// Age the time since the store replied, when they were delivered. They are logged.
	Source string
	Age    time.Duration
}

// WatchOptions controls how often a watched prefix is polled; the platform charges
// each poll as a call.
type WatchOptions struct {
	// PollTimeout is how long a poll waits for changes. A connection that was lost
	// without a reset is not detected any sooner.
	PollTimeout time.Duration
	// BatchDelay is the pause after a change, so that the next poll returns
	// several changes at once.
	BatchDelay time.Duration
	// ListsUpstreams is set for the prefix whose records lead to a call of
	// SetWatchUpstreams. It is read first.
	ListsUpstreams bool
}

// TransactionalStore is the platform's key-value store with a timeout on each call.
type TransactionalStore interface {
	outside.TransactionalStore
	// WatchPrefix calls a handler on the control goroutine with all changes under
	// a prefix, in order. It must be called while services are provisioned.
	WatchPrefix(prefix string, options WatchOptions, handle func(News))
	// SetRelays sets the daemons, nearest first, that forward this daemon's calls
	// while the store does not serve it. It may be called from any goroutine.
	SetRelays(addresses []string)
	// SetWatchUpstreams sets the daemons from which this one gets the changes of
	// the store, in the order in which it tries them; without any it polls the
	// store itself. It may be called from any goroutine.
	SetWatchUpstreams(addresses []string)
	// ReachedSince returns the time since which the store has responded, and false
	// while it does not. It may be called from any goroutine.
	ReachedSince() (time.Time, bool)
}

// StoreKnowledge tells how old a daemon's knowledge of the store is. The service
// NameTransactionalStore offers it.
type StoreKnowledge interface {
	// Staleness returns the time since the last reply of the store to a watch of a prefix,
	// directly or through other daemons, whose changes have all been handled. It may be
	// called from any goroutine.
	Staleness(prefix string) time.Duration
	// ServedSince returns the time since which the store has replied to this daemon's calls
	// or, if that is longer, to watches of a prefix, directly or through other daemons. It
	// returns false while it does neither. It may be called from any goroutine.
	ServedSince(prefix string) (time.Time, bool)
}

// SessionView is an immutable snapshot of the live daemons.
type SessionView struct {
	Self membership.Member
	// Lease is the lease to which this daemon's keys are attached; zero while it
	// has none.
	Lease outside.LeaseID
	// Live maps names to the daemons that have a session, including this one while
	// it has one.
	Live map[string]membership.Member
	// Leader is the name of the daemon that orders weight swaps, and FencingToken
	// its fencing token.
	Leader       string
	FencingToken uint64
	// AbsenceReliableFrom is the time from which a daemon that is absent from Live
	// may be considered dead. It is zero while absence proves nothing because the
	// store was unreachable.
	AbsenceReliableFrom time.Time
}

// Session provides the membership of the daemons and the session of this one.
type Session interface {
	// View returns the snapshot. It may be called from any goroutine.
	View() *kernel.Snapshot[SessionView]
	// KeyOf returns the key in the store that exists as long as a daemon has a
	// session.
	KeyOf(name string) string
	// IsSuccessorOf reports whether a member name belongs to an earlier process of
	// this host's daemon. It may be called from any goroutine.
	IsSuccessorOf(name string) bool
	// SetMayLead sets whether this daemon may be the leader; it resigns if it is. It
	// must be called on the control goroutine.
	SetMayLead(may bool)
	// YieldLeadership resigns and leaves the leadership to other daemons for a time. It
	// must be called on the control goroutine.
	YieldLeadership(pause time.Duration)
	// SetOwnsJobs sets whether this daemon owns open batch jobs, whose callers wait
	// for a successor when it dies. It must be called on the control goroutine.
	SetOwnsJobs(owns bool)
	// HoldsLease reports whether this daemon's lease has certainly not expired. It
	// uses a clock that advances while the host is suspended. It may be called
	// from any goroutine.
	HoldsLease() bool
	// Leadership returns the fencing token of this daemon's own write of the
	// leader's key, and whether the lease of that key has certainly not expired. It
	// may be called from any goroutine.
	Leadership() (token uint64, holds bool)
}

// CatalogView is an immutable snapshot of the operator's configuration and the
// weight versions that trainers set.
type CatalogView struct {
	// Catalog is nil until it has been read.
	Catalog *catalog.Catalog
	// TargetVersions maps each model to the newest weight version set for it.
	TargetVersions map[structs.ServiceName]structs.WeightVersion
}

// Catalog provides the operator's configuration in force.
type Catalog interface {
	// Current returns the snapshot. It may be called from any goroutine.
	Current() *kernel.Snapshot[CatalogView]
}

// ServersView is an immutable snapshot of the backend servers.
type ServersView struct {
	// ByService lists the servers that may get new work.
	ByService map[structs.ServiceName][]catalog.Server
	// All maps IDs to all entries of the server list.
	All map[structs.HostName]catalog.Server
	// Loaded is set once the server list has been read.
	Loaded bool
}

// Servers provides the backend servers.
type Servers interface {
	// Entries returns the snapshot. It may be called from any goroutine.
	Entries() *kernel.Snapshot[ServersView]
}

// ForwardRequest is a request on a route that Dispatch forwards.
type ForwardRequest struct {
	Route  *catalog.Route
	ID     string
	Method string
	Host   string
	// Target is the path and query, byte for byte as received.
	Target string
	Header http.Header
	Body   structs.Payload
	// Deadline is the time at which the caller or the route gives up on a response.
	Deadline time.Time
	// ResumeAfter is the ID of the last event that the caller has of the stream which
	// the attempt ResumedAttempt began; zero begins a new stream.
	ResumeAfter    uint64
	ResumedAttempt string
	// Workspace is the workspace of the caller's key; nil if the request needs none.
	Workspace *access.Workspace
	// OnBehalfOf is the workspace whose share the request uses, if servers do not learn
	// of it; nil for none.
	OnBehalfOf *access.Workspace
	// IsAccepted is set for a call on behalf of accepted work. Such calls do not crash
	// servers by themselves and are never quarantined: the work must be completed.
	IsAccepted bool
	// DiscardBody is set when only the status and the headers of a whole response
	// are needed. Its body is read to the end and not returned.
	DiscardBody bool
}

// ForwardReply is the complete response of a server, or an open stream.
type ForwardReply struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is set instead of Body when the response is streamed to the caller.
	// The reader must close it.
	Stream *http.Response
	// Stamp is the server's signature.
	Stamp string
	// Failures counts the servers whose response was an error. Attempts that timed
	// out are not included.
	Failures int
	// Server sent the response, and Attempts counts the servers that were tried.
	Server   structs.HostName
	Attempts int
}

// StreamOrigins records where the resumable streams of callers began. Both methods may be
// called from any goroutine.
type StreamOrigins interface {
	// Record stores the origin of the stream that a caller's attempt begins. It returns
	// once the origin is stored, or after a short time if the store does not respond.
	Record(ctx context.Context, attempt string, origin resume.Origin)
	// Lookup returns the recorded origin of an attempt's stream. It fails with
	// outside.ErrNotFound if none is stored, and with the errors of the store.
	Lookup(ctx context.Context, attempt string) (resume.Origin, error)
}

// Dispatch forwards requests to plain services. Errors are of package result.
type Dispatch interface {
	// Forward sends a request to a server of its route. A request that may be
	// executed more than once is retried at other servers, up to the route's
	// number of attempts.
	Forward(ctx context.Context, request ForwardRequest) (ForwardReply, error)
}

// ResultsRequest asks for the results of a batch job from an index on.
type ResultsRequest struct {
	// ID is the job's ID.
	ID string
	// After is the number of results to skip.
	After int
	// Wait is how long to wait for a result when there is none.
	Wait time.Duration
}

// ResultsReply holds the requested results of a job.
type ResultsReply struct {
	// Total is the number of items of the job.
	Total   int
	Results []batch.Result
}

// EngineNews is the leader's record of the weights at a model engine. It crosses
// net/rpc. The type name is part of the gob encoding.
type EngineNews struct {
	Server structs.HostName
	// Started identifies one process of the engine.
	Started  int64
	Versions map[structs.ServiceName]structs.WeightVersion
}

// ModelDemand is the demand of one step for a model. It crosses net/rpc.
type ModelDemand struct {
	Model structs.ServiceName
	// Size is the number of tokens, as estimated from the callers' length hints.
	Size float64
}

// WeightSwaps reports which weights the model engines run.
type WeightSwaps interface {
	// OnEngineWeights adds a function to call on the control goroutine when the
	// weights of an engine change. It must be called while services are
	// provisioned.
	OnEngineWeights(callback func(EngineNews))
	// RecordDemand records the demand of a step, so that models with more demand
	// get more engines. It must be called on the control goroutine.
	RecordDemand(demand ModelDemand)
}

// EnginePaces measures the pace of the model engines, the time between two events
// of a stream. All methods must be called on the control goroutine.
type EnginePaces interface {
	// RecordSample records the pace of a run at an engine.
	RecordSample(server catalog.Server, sample placement.PaceSample)
	// Estimate returns the expected pace of a run that starts now, and the best
	// pace observed; zero means unknown.
	Estimate(server catalog.Server) (pace, best time.Duration)
}

// MaxJobBytes bounds the body of a submission. The store holds values of up to 1 MiB of
// JSON, in which bytes take a third more.
const MaxJobBytes = 700 << 10

// Jobs runs batch jobs. Errors are of package result; code NotFound means that the
// job certainly does not exist for the caller.
type Jobs interface {
	// Submit accepts a job of its workspace, once for each ID, and stores source, the
	// submitted body. After an error with code OutcomeUnknown the job may still become
	// accepted.
	Submit(ctx context.Context, job *batch.Job, source []byte) error
	// Exists reports whether there is a job with an ID for a caller. It fails if the
	// store does not answer.
	Exists(ctx context.Context, scope access.Scope, id string) (bool, error)
	// Results returns the recorded results from an index on.
	Results(ctx context.Context, scope access.Scope, request ResultsRequest) (ResultsReply, error)
	// ItemBody returns the body of an item.
	ItemBody(ctx context.Context, scope access.Scope, id string, item batch.ItemID) ([]byte, error)
	// End ends a job. Results that were recorded remain readable. After an error
	// with code OutcomeUnknown the job may still be ended.
	End(ctx context.Context, scope access.Scope, id string) error
	// Quiesce directs further submissions to other daemons, because this one is
	// about to stop.
	Quiesce()
	// HandOver stops the work on all open jobs and hands them over to other daemons.
	HandOver(ctx context.Context) error
}
