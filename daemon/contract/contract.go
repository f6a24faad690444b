// Package contract names the services of a daemon and holds the interfaces by
// which they use each other. Services import this package, never one another.
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

// The names under which services are found.
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

// Clients gives the clients of the platform.
type Clients interface {
	// Platform returns the clients; it may be called from any goroutine.
	Platform() outside.Clients
}

// Trust gives what a daemon needs to know whom it talks to. All methods may be
// called from any goroutine.
type Trust interface {
	// PeerServerTLS and PeerClientTLS are the mutual TLS between daemons, and
	// CallerServerTLS the TLS towards callers; nil without certificates.
	PeerServerTLS() *tls.Config
	PeerClientTLS() *tls.Config
	CallerServerTLS() *tls.Config
	// Authorize checks a token for a role at a time and fails with code
	// Unauthorized.
	Authorize(role config.Role, token string, now time.Time) error
}

// HostView is the immutable snapshot of the host list and of what this daemon
// has itself seen of the hosts.
type HostView struct {
	// Services maps each service to the servers that may get new work.
	Services map[structs.ServiceName][]structs.BackendServer
	// Daemons are the entry hosts, this one among them. Their Address is the
	// one for net/rpc.
	Daemons []structs.BackendServer
	// Loaded is set once the list has been read.
	Loaded bool
}

// Signal says what a traffic goroutine saw of a backend server.
type Signal uint8

// The signals.
const (
	// SignalFailedConnect means that no connection could be opened.
	SignalFailedConnect Signal = iota
	// SignalLeaving means that the server itself refused new work.
	SignalLeaving
	// SignalAnswered means that the server answered.
	SignalAnswered
)

// Hosts gives the live backend servers and daemons.
type Hosts interface {
	// View returns the snapshot; it may be called from any goroutine.
	View() *kernel.Snapshot[HostView]
	// Report tells the control loop of a signal; it never blocks.
	Report(server structs.HostName, signal Signal)
}

// SettingsView is the immutable snapshot of the settings in force.
type SettingsView struct {
	Revision settings.Revision
	Document *settings.Document
	// Resolved holds the parameters of each workspace.
	Resolved map[structs.WorkspaceName]settings.ResolvedParameters
	// InDoubt holds the workspaces that an undecided change touches.
	InDoubt map[structs.WorkspaceName]bool
	// GrantEnds is when this daemon must stop taking the settings for the
	// newest, by the kernel's clock.
	GrantEnds time.Time
}

// Settings gives the settings in force.
type Settings interface {
	// View returns the snapshot; it may be called from any goroutine.
	View() *kernel.Snapshot[SettingsView]
	// DecidedParameters returns the parameters of a workspace for a request that they
	// touch. While a change of them is undecided it waits, until ctx ends. It
	// fails with code UnknownWorkspace, SettingsInDoubt or NoGrant.
	DecidedParameters(ctx context.Context, workspace structs.WorkspaceName) (settings.ResolvedParameters, error)
	// LastKnownParameters returns the parameters last known, for a request whose outcome
	// they do not touch. It fails with code UnknownWorkspace.
	LastKnownParameters(workspace structs.WorkspaceName) (settings.ResolvedParameters, error)
}

// SettingsDelta is what a collector hands to a follower with a grant.
type SettingsDelta struct {
	// Whole is the document of the revision Since, or nil when the follower
	// has it.
	Whole *settings.Document `json:"whole,omitempty"`
	// Since is the revision to which Accepted is to be added.
	Since    settings.Revision      `json:"since"`
	Accepted []change.AcceptedRound `json:"accepted,omitempty"`
	// Staged are the undecided changes of Round.
	Staged []settings.Change `json:"staged,omitempty"`
	Round  change.Round      `json:"round"`
}

// SettingsControl is the part of the settings that the zone's protocol uses.
// All methods must be called on the control goroutine.
type SettingsControl interface {
	// StartLeading begins to follow the store's settings for the zone.
	StartLeading(term structs.Term)
	// StopLeading ends it.
	StopLeading()
	// GrantState is the newest state known, and false when it is not enough to
	// grant by: before there is any, before a collector has read it in its own
	// term, and while no change waits for the zone.
	GrantState() (zone.GrantState, bool)
	// DeltaSince is what a follower of a revision lacks.
	DeltaSince(since settings.Revision) SettingsDelta
	// ApplyDelta applies what a collector handed over.
	ApplyDelta(carry SettingsDelta) error
	// SetGrant says until when the settings may be taken for the newest.
	SetGrant(ends time.Time)
	// Acknowledge writes the zone's acknowledgement of a round.
	Acknowledge(round change.Round)
	// OnGrantStateChange sets the function to call after each change of GrantState.
	OnGrantStateChange(call func())
}

// Zone gives a daemon's standing in its availability zone.
type Zone interface {
	// ZoneView returns the snapshot; it may be called from any goroutine.
	ZoneView() *kernel.Snapshot[ZoneView]
}

// ZoneControl is the part of the zone that other owners of control state use.
type ZoneControl interface {
	Zone
	// AddSharedState adds a part of the control state that the collector hands to its
	// followers. It must be called while services are provisioned.
	AddSharedState(part SharedState)
	// OnCollectorChange adds a function to call on the control goroutine when this
	// daemon becomes the collector or ceases to be it. It must be called
	// while services are provisioned.
	OnCollectorChange(call func(collects bool))
	// NotifyFollowers tells the followers of news of a part. It must be called on
	// the control goroutine.
	NotifyFollowers()
}

// SharedState is a piece of control state that reaches a zone's daemons through its
// collector, so that the platform is asked once for each zone. All methods are
// called on the control goroutine.
type SharedState interface {
	// StateName tells the parts apart.
	StateName() string
	// StateVersion is the newest version known; it only grows.
	StateVersion() uint64
	// EncodeSince encodes what a follower of a version lacks.
	EncodeSince(version uint64) ([]byte, error)
	// Merge applies what a collector encoded.
	Merge(encoded []byte) error
}

// ZoneView is a daemon's place in its availability zone.
type ZoneView struct {
	Self structs.Incarnation
	// Collector is the host that grants, and Address where it takes calls.
	Collector structs.HostName
	Address   string
	Term      structs.Term
	// IsCollector says that this daemon is the collector.
	IsCollector bool
	// Roster is known to the collector alone.
	Roster zone.Roster
}

// ChangeOutcome says what became of a change.
type ChangeOutcome struct {
	ID       settings.ChangeID  `json:"id"`
	Accepted bool               `json:"accepted"`
	Revision settings.Revision  `json:"revision"`
	Missing  []structs.ZoneName `json:"missing,omitempty"`
	// Seconds is the time from stage to decision.
	Seconds float64 `json:"seconds"`
}

// Operator takes the operators' commands.
type Operator interface {
	// Apply makes a change and waits for the decision. It fails with code
	// ChangeConflict, ChangeInvalid, ChangeWithdrawn or ChangeUnknown.
	Apply(ctx context.Context, change settings.Change) (ChangeOutcome, error)
	// CreateDocument writes the first document; it fails with code ChangeConflict
	// when there is one.
	CreateDocument(ctx context.Context, document *settings.Document) error
	// SetZoneSuspended declares a zone's hosts stopped, or no longer so.
	SetZoneSuspended(ctx context.Context, zone structs.ZoneName, stopped bool) error
}

// Peers calls other daemons.
type Peers interface {
	// Call makes a net/rpc call at an address. The connection is closed when
	// ctx ends before the reply. An error without a code from the other side
	// has code PeerUnreachable when no byte can have left, else
	// OutcomeUnknown.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// RPCServer takes calls from other daemons.
type RPCServer interface {
	// Register offers a receiver's methods under a name. It must be called
	// while services are provisioned.
	Register(name string, receiver any) error
}

// Metrics counts and times what the services do.
type Metrics interface {
	// Count adds to a counter.
	Count(name string, delta int64)
	// Gauge sets a gauge.
	Gauge(name string, value int64)
	// Time records how long something took.
	Time(name string, span time.Duration)
	// RecordRequest records a request for the burn report: whether it was answered
	// correctly within its due time.
	RecordRequest(workspace structs.WorkspaceName, class structs.Class, good bool)
}

// MetricsReader gives what Metrics took in. It is offered under NameMetrics.
type MetricsReader interface {
	// All returns the values of every metric by name.
	All() map[string]map[string]any
	// Burn returns the burn of the error budgets; objective gives the part of
	// a workspace's requests that must be served well, and false for a
	// workspace that is to be left out.
	Burn(objective func(structs.WorkspaceName) (float64, bool)) burn.Report
}
