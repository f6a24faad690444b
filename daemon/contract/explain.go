package contract

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameExplain answers operators' questions about what a daemon would do now.
const NameExplain kernel.Name = "ops.explain"

// PathRoute is the path of questions about where a request or a batch job would go.
const PathRoute = "/v1/route"

// RouteQuestion describes a request or a batch job that is not sent. It never holds a key:
// the workspace is named instead.
type RouteQuestion struct {
	Method    string                `json:"method"`
	Host      string                `json:"host"`
	Path      string                `json:"path"`
	Workspace structs.WorkspaceName `json:"workspace,omitempty"`
	// Model is set for a batch job, whose items are requests of this kind.
	Model string `json:"model,omitempty"`
}

// RouteExplanation is what a daemon would do with a request now. It holds what each decision
// was made from.
type RouteExplanation struct {
	ConfigurationVersion uint64              `json:"configuration_version"`
	Route                string              `json:"route,omitempty"`
	Service              structs.ServiceName `json:"service,omitempty"`
	// Refusal is the numbered code with which the request would be refused; zero if it
	// would be admitted.
	Refusal    int           `json:"refusal,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Queue is the place that the request would take among those that wait; zero if it would
	// not wait.
	Queue int `json:"queue,omitempty"`
	// Chosen is the server that would be asked first.
	Chosen     structs.HostName      `json:"chosen,omitempty"`
	Candidates []CandidateAssessment `json:"candidates,omitempty"`
	// Owner is the daemon that would own the batch job.
	Owner string `json:"owner,omitempty"`
	// Notes are further findings: quarantine, hedge and its limit, due time.
	Notes []string `json:"notes,omitempty"`
}

// CandidateAssessment is how a server was judged.
type CandidateAssessment struct {
	Server structs.HostName `json:"server"`
	Zone   structs.ZoneName `json:"zone"`
	// PassedOver is why the server would not be chosen; empty for the chosen one.
	PassedOver string `json:"passed_over,omitempty"`
	// Judged holds the values by which the server was judged, by name.
	Judged map[string]float64 `json:"judged,omitempty"`
}

// RequestExplainer is offered by services that decide about requests. Explain runs the
// service's decision on its present state and changes nothing; it may be called from any
// goroutine.
type RequestExplainer interface {
	Explain(ctx context.Context, question RouteQuestion, explanation *RouteExplanation) error
}
