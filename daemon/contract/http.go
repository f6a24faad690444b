package contract

import (
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The paths of the HTTP interface for callers and trainers.
const (
	// PathService serves look-ups by GET and submissions by POST; the rest of the
	// path is the path on the plain service.
	PathService = "/v1/workspaces/:workspace/service/*path"
	// PathRollouts accepts a RolloutRequest and responds with a RolloutReply.
	PathRollouts = "/v1/workspaces/:workspace/rollouts"
	// PathDrafts accepts a RolloutRequest and responds with a structs.Sample.
	PathDrafts = "/v1/workspaces/:workspace/drafts"
	// PathSteps accepts a StepBody and responds with a StepReply.
	PathSteps = "/v1/workspaces/:workspace/steps/:step"
	// PathMetrics responds with the daemon's metrics.
	PathMetrics = "/metrics"
)

// StepBody is the body of a trainer's request for a step.
type StepBody struct {
	// HeldVersion is the weight version that the trainer currently has.
	HeldVersion structs.WeightVersion `json:"holds"`
}

// The paths of the HTTP interface for operators.
const (
	PathStatus   = "/v1/operator/status"
	PathDocument = "/v1/operator/document"
	PathChanges  = "/v1/operator/changes"
	PathZones    = "/v1/operator/zones"
	// PathBurn responds with a burn.Report.
	PathBurn = "/v1/operator/burn"
)

// Status is the control state of a daemon in the response to PathStatus.
type Status struct {
	Host        structs.HostName   `json:"host"`
	Place       structs.Place      `json:"place"`
	Revision    settings.Revision  `json:"revision"`
	Collector   structs.HostName   `json:"collector"`
	Term        structs.Term       `json:"term"`
	IsCollector bool               `json:"collects"`
	Granted     bool               `json:"granted"`
	InDoubt     []string           `json:"in_doubt,omitempty"`
	Roster      []structs.HostName `json:"roster,omitempty"`
	Document    *settings.Document `json:"document,omitempty"`
	// Managed is set instead of the fields after Place by daemons on a managed platform.
	Managed *ManagedStatus `json:"managed,omitempty"`
}

// ZoneSuspension is the body of a request to PathZones. It declares that the hosts
// of a zone are stopped, or that they run again.
type ZoneSuspension struct {
	Zone    structs.ZoneName `json:"zone"`
	Stopped bool             `json:"stopped"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	// Message is the full error text, and Detail the part of it that is specific
	// to this request.
	Message string `json:"message"`
	Detail  string `json:"detail,omitempty"`
}
