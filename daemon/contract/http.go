package contract

import (
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The paths of the callers' and trainers' HTTP interface.
const (
	// PathService takes look-ups by GET and submissions by POST; what follows
	// is the path on the plain service.
	PathService = "/v1/workspaces/:workspace/service/*path"
	// PathRollouts takes a RolloutRequest and answers with a RolloutReply.
	PathRollouts = "/v1/workspaces/:workspace/rollouts"
	// PathDrafts takes a RolloutRequest and answers with a structs.Sample.
	PathDrafts = "/v1/workspaces/:workspace/drafts"
	// PathSteps takes a StepBody and answers with a StepReply.
	PathSteps = "/v1/workspaces/:workspace/steps/:step"
	// PathMetrics answers with the daemon's metrics.
	PathMetrics = "/metrics"
)

// StepBody is the body of a trainer's request for a step.
type StepBody struct {
	// HeldVersion is the weight version that the trainer holds.
	HeldVersion structs.WeightVersion `json:"holds"`
}

// The paths of the operators' HTTP interface.
const (
	PathStatus   = "/v1/operator/status"
	PathDocument = "/v1/operator/document"
	PathChanges  = "/v1/operator/changes"
	PathZones    = "/v1/operator/zones"
	// PathBurn answers with a burn.Report.
	PathBurn = "/v1/operator/burn"
)

// Status is a daemon's control state as operators see it.
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
}

// ZoneSuspension declares the hosts of a zone stopped, or no longer so.
type ZoneSuspension struct {
	Zone    structs.ZoneName `json:"zone"`
	Stopped bool             `json:"stopped"`
}

// ErrorBody is the JSON body of every refusal and failure.
type ErrorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	// Message is the code's whole sentence, and Detail the part of it that
	// tells this refusal from others.
	Message string `json:"message"`
	Detail  string `json:"detail,omitempty"`
}
