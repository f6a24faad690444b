package contract

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// OperatorHTTP is the operators' HTTP interface on a managed platform. It is offered under
// NameMetricsHTTP.
type OperatorHTTP interface {
	// HandleGet adds a path. It must be called while services are provisioned.
	HandleGet(path string, handle http.HandlerFunc)
}

// StatusReporter is offered by services that have something to show in a ManagedStatus.
type StatusReporter interface {
	// ReportStatus adds what the service knows. It changes nothing, and may be called from
	// any goroutine but the control goroutine. It fails with the error of ctx.
	ReportStatus(ctx context.Context, status *ManagedStatus) error
}

// ManagedStatus is the state of a daemon on a managed platform. It holds no key, no secret
// and no body, and its size is bounded.
type ManagedStatus struct {
	Host structs.HostName `json:"host"`
	Zone structs.ZoneName `json:"zone"`
	// ConfigurationVersion is the version in force; zero while none is known.
	ConfigurationVersion uint64       `json:"configuration_version"`
	Session              string       `json:"session"`
	HoldsLease           bool         `json:"holds_lease"`
	LiveDaemons          int          `json:"live_daemons"`
	Leader               LeaderStatus `json:"leader"`
	// Duties, Usage and Fleets are only set where the platform has these duties; the
	// latter two are known to their holder alone.
	Duties *DutiesStatus `json:"duties,omitempty"`
	Usage  *UsageStatus  `json:"usage,omitempty"`
	Fleets []FleetStatus `json:"fleets,omitempty"`
	// Queues lists the services with work, those with the most that waits first.
	Queues []QueueStatus `json:"queues,omitempty"`
	// Refusals counts the responses since the start that no server gave, by reason.
	Refusals map[string]int64 `json:"refusals,omitempty"`
	// Missing names the services that did not report in time.
	Missing []string `json:"missing,omitempty"`
}

// LeaderStatus is who leads the daemons, as far as this one knows.
type LeaderStatus struct {
	// Host is empty while nobody leads.
	Host         string `json:"host,omitempty"`
	FencingToken uint64 `json:"fencing_token,omitempty"`
	// Since is when this daemon learned of the leader.
	Since time.Time `json:"since"`
}

// DutiesStatus is who holds the duties of the platform.
type DutiesStatus struct {
	Duties []string `json:"duties"`
	// Holder is the host of the holder; empty while nobody holds them.
	Holder       string    `json:"holder,omitempty"`
	FencingToken uint64    `json:"fencing_token,omitempty"`
	Since        time.Time `json:"since"`
	// IsSelf is set on the holder once it may make calls.
	IsSelf bool `json:"is_self"`
}

// UsageStatus is what the holder knows of the usage reports.
type UsageStatus struct {
	// Reported are the last windows that the platform has confirmed to this holder,
	// the oldest first, and Unreported those that are decided and not confirmed.
	Reported   []UsageWindow `json:"reported,omitempty"`
	Unreported []int64       `json:"unreported,omitempty"`
}

// UsageWindow is a window whose usage was reported.
type UsageWindow struct {
	Window     int64     `json:"window"`
	Ended      time.Time `json:"ended"`
	Requests   int64     `json:"requests"`
	Workspaces int       `json:"workspaces"`
	// LateSeconds is the time from the end of the window to the confirmation.
	LateSeconds float64 `json:"late_seconds"`
}

// FleetStatus is the last decision on the size of a fleet.
type FleetStatus struct {
	Service structs.ServiceName `json:"service"`
	At      time.Time           `json:"at"`
	// Needed is the number of servers for steps in time, and Floor that which must be
	// left when the reclaimable ones of a zone leave.
	Needed int `json:"needed"`
	Floor  int `json:"floor"`
	// Plain and Reclaimable are the servers that are expected after the orders.
	Plain       int     `json:"plain"`
	Reclaimable int     `json:"reclaimable"`
	OpenSeconds float64 `json:"open_seconds"`
	StepSeconds float64 `json:"step_seconds"`
	DueSeconds  float64 `json:"due_seconds"`
	Running     int     `json:"running"`
	// IsComplete is set if no work can be unknown. Without it no server is taken away.
	IsComplete bool `json:"is_complete"`
	// Orders are the last orders with their reasons, and OrderedAt when they were decided.
	Orders    []string  `json:"orders,omitempty"`
	OrderedAt time.Time `json:"ordered_at,omitzero"`
}

// The kinds of queues.
const (
	// QueueRequests is for requests that wait for a server at this daemon.
	QueueRequests = "requests"
	// QueueItems is for items of batch jobs that this daemon owns and that wait for an
	// engine.
	QueueItems = "items"
)

// QueueStatus is who runs and waits at a service through this daemon.
type QueueStatus struct {
	Service structs.ServiceName `json:"service"`
	Kind    string              `json:"kind"`
	limit.QueueReport
}
