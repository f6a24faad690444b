// Package contract defines the names of a daemon's services and the interfaces
// through which they call each other. Services import this package and never one
// another.
package contract

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/burn"
	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// The names under which the kernel finds services.
const (
	// NameClients offers Clients.
	NameClients kernel.Name = "platform.clients"
	// NameTrust offers Trust.
	NameTrust kernel.Name = "platform.trust"
	// NameHosts offers Hosts.
	NameHosts kernel.Name = "control.hosts"
	// NameSettings offers Settings and Operator.
	NameSettings kernel.Name = "control.settings"
	// NameZone offers Zone and ZoneControl.
	NameZone kernel.Name = "control.zone"
	// NameWeights offers Weights.
	NameWeights kernel.Name = "control.weights"
	// NamePeers offers Peers.
	NamePeers kernel.Name = "rpc.peers"
	// NameRPCServer offers RPCServer.
	NameRPCServer kernel.Name = "rpc.server"
	// NameBalance offers Balancer.
	NameBalance kernel.Name = "traffic.balance"
	// NameRetries offers RetryBudgets.
	NameRetries kernel.Name = "traffic.retries"
	// NameLookups offers Lookups.
	NameLookups kernel.Name = "traffic.plain"
	// NameJournal offers Journal.
	NameJournal kernel.Name = "traffic.journal"
	// NameRollout offers Rollouts.
	NameRollout kernel.Name = "traffic.rollout"
	// NameSteps offers Steps.
	NameSteps kernel.Name = "traffic.steps"
	// NameFront is the HTTP front end.
	NameFront kernel.Name = "http.front"
	// NameMetrics offers Metrics and MetricsReader.
	NameMetrics kernel.Name = "ops.metrics"
)

// Clients provides the clients of the platform's services.
type Clients interface {
	// Platform returns the clients. It may be called from any goroutine.
	Platform() outside.Clients
}

// Trust authenticates daemons and callers. All methods may be called from any
// goroutine.
type Trust interface {
	// PeerServerTLS and PeerClientTLS return the configuration of mutual TLS
	// between daemons, and CallerServerTLS that of TLS for callers. All return
	// nil when no certificate is configured.
	PeerServerTLS() *tls.Config
	PeerClientTLS() *tls.Config
	CallerServerTLS() *tls.Config
	// Authorize checks that a token grants a role at the time now. It fails
	// with code Unauthorized.
	Authorize(role config.Role, token string, now time.Time) error
}

// HostView is an immutable snapshot of the host list, combined with the health
// signals that this daemon has observed itself.
type HostView struct {
	// Services maps each service to the servers that may get new work.
	Services map[structs.ServiceName][]structs.BackendServer
	// Daemons lists the entry hosts, including this one. Their Address is the
	// net/rpc address.
	Daemons []structs.BackendServer
	// Loaded is set once the host list has been read.
	Loaded bool
}

// Signal is the health of a backend server as observed on a request.
type Signal uint8

// The signals.
const (
	// SignalFailedConnect means that no connection could be established.
	SignalFailedConnect Signal = iota
	// SignalLeaving means that the server is draining: it refused new work.
	SignalLeaving
	// SignalAnswered means that the server responded.
	SignalAnswered
)

// Hosts provides the live backend servers and daemons.
type Hosts interface {
	// View returns the snapshot. It may be called from any goroutine.
	View() *kernel.Snapshot[HostView]
	// Report passes a signal to the control loop. It never blocks and may be
	// called from any goroutine.
	Report(server structs.HostName, signal Signal)
}

// SettingsView is an immutable snapshot of the settings in force.
type SettingsView struct {
	Revision settings.Revision
	Document *settings.Document
	// Resolved holds the parameters of each workspace.
	Resolved map[structs.WorkspaceName]settings.ResolvedParameters
	// InDoubt holds the workspaces that an undecided change affects.
	InDoubt map[structs.WorkspaceName]bool
	// GrantEnds is the time, on the kernel's clock, from which this daemon must
	// no longer assume that the settings are current.
	GrantEnds time.Time
}

// Settings provides the settings in force.
type Settings interface {
	// View returns the snapshot. It may be called from any goroutine.
	View() *kernel.Snapshot[SettingsView]
	// DecidedParameters returns the parameters of a workspace for a request whose
	// outcome depends on them. While a change to them is undecided it blocks
	// until the decision or until ctx ends. It fails with code UnknownWorkspace,
	// SettingsInDoubt or NoGrant.
	DecidedParameters(ctx context.Context, workspace structs.WorkspaceName) (settings.ResolvedParameters, error)
	// LastKnownParameters returns the last known parameters, for a request whose
	// outcome does not depend on them. It fails with code UnknownWorkspace.
	LastKnownParameters(workspace structs.WorkspaceName) (settings.ResolvedParameters, error)
}

// SettingsDelta is the update of the settings that a collector sends to a
// follower together with a grant.
type SettingsDelta struct {
	// Whole is the full document at revision Since, or nil when the follower
	// already has it.
	Whole *settings.Document `json:"whole,omitempty"`
	// Since is the revision to which Accepted applies.
	Since    settings.Revision      `json:"since"`
	Accepted []change.AcceptedRound `json:"accepted,omitempty"`
	// Staged holds the undecided changes of Round.
	Staged []settings.Change `json:"staged,omitempty"`
	Round  change.Round      `json:"round"`
}

// SettingsControl is the interface of the settings to the lease protocol of the
// zone. All methods must be called on the control goroutine.
type SettingsControl interface {
	// StartLeading starts watching the settings in the store on behalf of the
	// zone, as its collector in a term.
	StartLeading(term structs.Term)
	// StopLeading stops watching the settings in the store.
	StopLeading()
	// GrantState returns the newest known state by which leases are granted. It
	// returns false when no lease may be granted on it: before there is any,
	// before a collector has read it in its own term, and while changes do not wait
	// for the zone's acknowledgement, because the zone is suspended or not in the
	// document.
	GrantState() (zone.GrantState, bool)
	// DeltaSince returns what a follower at a revision lacks.
	DeltaSince(since settings.Revision) SettingsDelta
	// ApplyDelta applies a delta that the collector sent.
	ApplyDelta(delta SettingsDelta) error
	// SetGrant sets the time until which the settings may be assumed current.
	SetGrant(ends time.Time)
	// Acknowledge writes the zone's acknowledgement of a round.
	Acknowledge(round change.Round)
	// OnGrantStateChange sets the function to call after each change of
	// GrantState.
	OnGrantStateChange(callback func())
}

// Zone provides the role of this daemon in its availability zone.
type Zone interface {
	// ZoneView returns the snapshot. It may be called from any goroutine.
	ZoneView() *kernel.Snapshot[ZoneView]
}

// ZoneControl extends Zone for services that replicate control state within the
// zone.
type ZoneControl interface {
	Zone
	// AddSharedState registers a piece of control state that the collector
	// replicates to its followers. It must be called while services are
	// provisioned.
	AddSharedState(state SharedState)
	// OnCollectorChange adds a function to call on the control goroutine when
	// this daemon becomes the collector or ceases to be it. It must be called
	// while services are provisioned.
	OnCollectorChange(callback func(isCollector bool))
	// NotifyFollowers wakes the followers to fetch a changed shared state. It
	// must be called on the control goroutine.
	NotifyFollowers()
}

// SharedState is a piece of control state that the collector replicates to the
// daemons of its zone, so that only one daemon of a zone reads it from the
// platform. All methods are called on the control goroutine.
type SharedState interface {
	// StateName identifies the state within the zone.
	StateName() string
	// StateVersion returns the newest known version, which never decreases.
	StateVersion() uint64
	// EncodeSince encodes what a follower at a version lacks.
	EncodeSince(version uint64) ([]byte, error)
	// Merge applies what the collector encoded.
	Merge(encoded []byte) error
}

// ZoneView is an immutable snapshot of this daemon's role in its availability
// zone.
type ZoneView struct {
	Self structs.Incarnation
	// Collector is the host that grants leases, and Address its net/rpc address.
	Collector structs.HostName
	Address   string
	Term      structs.Term
	// IsCollector is set on the collector itself.
	IsCollector bool
	// Roster is filled in on the collector only.
	Roster zone.Roster
}

// ChangeOutcome is the decision on a change.
type ChangeOutcome struct {
	ID       settings.ChangeID  `json:"id"`
	Accepted bool               `json:"accepted"`
	Revision settings.Revision  `json:"revision"`
	Missing  []structs.ZoneName `json:"missing,omitempty"`
	// Seconds is the time from staging to decision.
	Seconds float64 `json:"seconds"`
}

// Operator executes the operators' commands.
type Operator interface {
	// Apply stages a change and waits for the decision. It fails with code
	// ChangeConflict, ChangeInvalid, ChangeWithdrawn or ChangeUnknown.
	Apply(ctx context.Context, change settings.Change) (ChangeOutcome, error)
	// CreateDocument writes the first document. It fails with code ChangeConflict
	// when one exists.
	CreateDocument(ctx context.Context, document *settings.Document) error
	// SetZoneSuspended declares that the hosts of a zone are stopped, or that they
	// run again.
	SetZoneSuspended(ctx context.Context, zone structs.ZoneName, stopped bool) error
}

// Peers calls other daemons.
type Peers interface {
	// Call makes a net/rpc call to the daemon at an address. It closes the
	// connection when ctx ends before the reply. It fails with code
	// PeerUnreachable when no byte can have been sent, and with OutcomeUnknown
	// otherwise. It may be called from any goroutine.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// RPCServer serves calls from other daemons.
type RPCServer interface {
	// Register publishes the methods of a receiver under a name. It must be
	// called while services are provisioned.
	Register(name string, receiver any) error
}

// Metrics records counters, gauges and timers. All methods may be called from
// any goroutine.
type Metrics interface {
	// Count adds delta to a counter.
	Count(name string, delta int64)
	// Gauge sets a gauge.
	Gauge(name string, value int64)
	// Time adds a duration to a timer.
	Time(name string, duration time.Duration)
	// RecordRequest records a request for the burn report. It is good when it got a
	// correct response before its deadline.
	RecordRequest(workspace structs.WorkspaceName, class structs.Class, good bool)
}

// MetricsReader reads what was recorded through Metrics. It is offered under
// NameMetrics.
type MetricsReader interface {
	// All returns the values of every metric by name.
	All() map[string]map[string]any
	// Burn returns the burn of the error budgets. The function objective returns
	// the fraction of a workspace's requests that must be good, and false for a
	// workspace that the report omits.
	Burn(objective func(structs.WorkspaceName) (float64, bool)) burn.Report
}
