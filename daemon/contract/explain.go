package contract

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameExplain answers operators' questions about a daemon on a managed platform.
const NameExplain kernel.Name = "ops.explain"

// PathRoute is the path of questions about where a request or a batch job would go. The
// query has the fields of a RouteQuestion.
const PathRoute = "/v1/operator/route"

// RouteQuestion describes a request or a batch job that is not sent. It never holds a key:
// the workspace is named instead.
type RouteQuestion struct {
	Method    string
	Host      string
	Path      string
	Workspace structs.WorkspaceName
	// Timeout is how long the caller would wait; zero if it does not say.
	Timeout time.Duration
	// Model and MinVersion are those of a batch job, whose items are requests of this kind.
	Model      structs.ServiceName
	MinVersion structs.WeightVersion
}

// RouteExplanation is what a daemon would do with a request now. It holds what each decision
// was made from.
type RouteExplanation struct {
	// Host is that of the daemon that answers.
	Host                 structs.HostName `json:"host"`
	ConfigurationVersion uint64           `json:"configuration_version"`
	Route                string           `json:"route,omitempty"`
	// Workspace is the one that the request would be charged to; empty for none.
	Workspace structs.WorkspaceName `json:"workspace,omitempty"`
	// Targets are the services of the route, and Service the one that was looked at: the
	// one with the largest share.
	Targets []RouteTarget       `json:"targets,omitempty"`
	Service structs.ServiceName `json:"service,omitempty"`
	// Refusal is set if the request would be refused.
	Refusal   *RefusalForecast `json:"refusal,omitempty"`
	Admission *AdmissionStatus `json:"admission,omitempty"`
	// Chosen is the server that would most likely be asked first, out of Candidates; empty
	// for a job of which no server takes an item now. Omitted is the number of further ones.
	Chosen     structs.HostName      `json:"chosen,omitempty"`
	Candidates []CandidateAssessment `json:"candidates,omitempty"`
	Omitted    int                   `json:"omitted,omitempty"`
	Quarantine *QuarantineForecast   `json:"quarantine,omitempty"`
	Hedge      *HedgeForecast        `json:"hedge,omitempty"`
	Job        *JobForecast          `json:"job,omitempty"`
	// Notes say what the answer leaves out.
	Notes []string `json:"notes,omitempty"`
}

// RouteTarget is a service of a route with its share of the requests.
type RouteTarget struct {
	Service structs.ServiceName `json:"service"`
	Share   float64             `json:"share"`
}

// RefusalForecast is the refusal that a caller would get.
type RefusalForecast struct {
	// Code and Name are those of package result.
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Status int    `json:"status"`
	Why    string `json:"why,omitempty"`
	// RetryAfterSeconds is zero if the refusal names no time.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// AdmissionStatus is how a request would be admitted to its service.
type AdmissionStatus struct {
	// Running and Places are the slots in use, and those that requests of this class may
	// use.
	Running int `json:"running"`
	Places  int `json:"places"`
	// Queue is the place that the request would take among those that wait, from one; zero
	// if it would not wait. WaitSeconds estimates its wait.
	Queue       int     `json:"queue,omitempty"`
	WaitSeconds float64 `json:"wait_seconds,omitempty"`
	// Due is the part of what its workspace asks that it is due; zero without workspaces.
	Due float64 `json:"due,omitempty"`
}

// CandidateAssessment is how a server was judged.
type CandidateAssessment struct {
	Server structs.HostName `json:"server"`
	Zone   structs.ZoneName `json:"zone"`
	// PassedOver is why the server would not be chosen; empty for those that may be.
	PassedOver string `json:"passed_over,omitempty"`
	// Judged holds the values by which the server was judged, by name.
	Judged map[string]float64 `json:"judged,omitempty"`
}

// QuarantineForecast is what is known of requests that crash servers.
type QuarantineForecast struct {
	// IsSuspect is set if requests like this one may have crashed a server, and Unconfirmed
	// the number of servers that are being probed because of them.
	IsSuspect   bool `json:"is_suspect,omitempty"`
	Unconfirmed int  `json:"unconfirmed,omitempty"`
	// Quarantined and Suspects count all requests that are known.
	Quarantined int `json:"quarantined,omitempty"`
	Suspects    int `json:"suspects,omitempty"`
}

// HedgeForecast is whether a slow request would be sent to a second server.
type HedgeForecast struct {
	// AfterSeconds is the time without a response after which the request is slow.
	AfterSeconds float64 `json:"after_seconds"`
	// Refusal is why it would not be hedged; empty if it would be.
	Refusal string `json:"refusal,omitempty"`
	// Limit is the limit that operators set, in hedges for each request; zero if none.
	// Requests and Hedges are what this daemon counts for the service.
	Limit    float64 `json:"limit,omitempty"`
	Requests float64 `json:"requests,omitempty"`
	Hedges   float64 `json:"hedges,omitempty"`
	// AsksPool is set if another daemon would be asked, because this one's own requests do
	// not allow a hedge.
	AsksPool bool `json:"asks_pool,omitempty"`
}

// JobForecast is what would become of a batch job.
type JobForecast struct {
	// Owner is the host whose daemon would own the job.
	Owner string `json:"owner"`
	// DueSeconds is the time from the submission until the results are due.
	DueSeconds float64 `json:"due_seconds"`
	// OpenJobs and WaitingItems are those of the daemon whose view the answer has.
	OpenJobs     int `json:"open_jobs"`
	WaitingItems int `json:"waiting_items"`
}

// The forecasters below run a service's decision on its present state and change nothing: no
// counter, no budget, no ticket. Their methods may be called from any goroutine but the
// control goroutine.

// RequestForecaster is offered under NameManagedFront.
type RequestForecaster interface {
	// Forecast answers a question. It fails with the error of ctx.
	Forecast(ctx context.Context, question RouteQuestion) (RouteExplanation, error)
}

// DispatchForecaster is offered under NameDispatch.
type DispatchForecaster interface {
	// ForecastForward adds what Forward would do. It returns the error with which Forward
	// would fail before a server is asked, whose delay is not spread.
	ForecastForward(ctx context.Context, request ForwardRequest, explanation *RouteExplanation) error
}

// PickForecast is what Balancer.Pick would do.
type PickForecast struct {
	Admission  *AdmissionStatus
	Quarantine *QuarantineForecast
	// Candidates are the servers of the service, those with the best chance first.
	Candidates []PickCandidate
}

// PickCandidate is a server and how it was judged.
type PickCandidate struct {
	Server     structs.BackendServer
	PassedOver string
	Judged     map[string]float64
}

// BalanceForecaster is offered under NameBalance.
type BalanceForecaster interface {
	// ForecastPick returns what Pick would do, and the error with which it would fail at
	// once. The first candidate is the server that Pick would most likely choose, if the
	// error is nil.
	ForecastPick(request PickRequest) (PickForecast, error)
}

// LimitForecaster is offered under NameServerLimits.
type LimitForecaster interface {
	// LimitOf returns the limit that a server names, in requests a second, and the time
	// until it takes a request as far as this daemon knows. It returns false for a server
	// that names none.
	LimitOf(server structs.HostName) (limit float64, wait time.Duration, isLimited bool)
}

// HedgeForecaster is offered under NameHedging.
type HedgeForecaster interface {
	// ForecastHedge returns whether a request would be hedged and after which delay. The
	// fallback is that of Hedging.Begin.
	ForecastHedge(request HedgeRequest, fallback time.Duration) HedgeForecast
}

// JobForecaster is offered under NameJobs.
type JobForecaster interface {
	// ForecastJob adds what would become of a batch job, and how its owner judges the
	// servers of its model. It fails with the error of ctx.
	ForecastJob(ctx context.Context, job *batch.Job, explanation *RouteExplanation) error
}

// MaxShownCandidates bounds the candidates of an explanation.
const MaxShownCandidates = 32
