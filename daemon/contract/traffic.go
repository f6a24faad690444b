package contract

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// PickRequest describes a request for which Balancer.Pick chooses a backend server.
type PickRequest struct {
	Service   structs.ServiceName
	Workspace structs.WorkspaceName
	// ByDemand is set where the share of the workspace follows from what all workspaces
	// ask, and WorkspacePriority precedes the class; zero is the highest.
	ByDemand          bool
	WorkspacePriority int
	Class             structs.Class
	// Deadline is the time by which the caller must have the response.
	Deadline time.Time
	// Affinity is the hash of the prompt's prefix, or zero.
	Affinity uint64
	// MinVersion is the lowest acceptable weight version.
	MinVersion structs.WeightVersion
	// Resumes is the position in a stream that the server has to continue; the zero
	// value begins a new one.
	Resumes resume.Position
	// Avoid lists servers that were already tried.
	Avoid []structs.HostName
	// NoWait is set for a request that is only sent to a server that has a slot now.
	// Otherwise Pick fails with code Overloaded.
	NoWait bool
	// Fingerprint is the same for equal requests, so that requests that crash
	// servers can be quarantined; zero means none.
	Fingerprint quarantine.Fingerprint
}

// OriginOf returns the origin of streams that a server of the host view generates.
func OriginOf(server structs.BackendServer) resume.Origin {
	return resume.Origin{Service: server.Service, Software: server.Software, Server: server.Name}
}

// Ticket is a concurrency slot on a backend server. Finish releases it and must be
// called exactly once.
type Ticket struct {
	Server structs.BackendServer
	Finish func(TicketOutcome)
}

// TicketOutcome is the outcome of a request at a backend server.
type TicketOutcome struct {
	// Err is nil after a complete response, and an error of package result
	// otherwise.
	Err     error
	Latency time.Duration
	// Units is the amount of work done, such as the number of generated tokens.
	// The latency per unit drives the server's concurrency limit. Zero counts as
	// one.
	Units int
	// Bytes is the number of bytes sent and received, for the cost of traffic
	// between regions.
	Bytes int64
	// Version is the weight version that the server reported, or zero.
	Version structs.WeightVersion
}

// Balancer admits requests and chooses backend servers for them.
type Balancer interface {
	// Pick waits for a free slot until the request's deadline. It fails with code
	// NoBackend, Overloaded, DueTimePassed, FairShareExceeded or Quarantined.
	Pick(ctx context.Context, request PickRequest) (Ticket, error)
}

// ServerTable is the balancer's table of servers. It is offered under
// NameBalance.
type ServerTable interface {
	// Loaded reports whether Pick chooses from a host list that has been read.
	Loaded() bool
}

// Quarantine blocks requests that crash backend servers. It is offered under
// NameBalance.
type Quarantine interface {
	// AwaitVerdict waits for the probes that show whether requests with a
	// fingerprint crashed a server. It fails with code Quarantined when they did,
	// and with DueTimePassed when ctx ends first.
	AwaitVerdict(ctx context.Context, fingerprint quarantine.Fingerprint) error
}

// RetryRequest describes a request that may be retried.
type RetryRequest struct {
	Workspace structs.WorkspaceName
	Class     structs.Class
	// Deadline is the time by which the caller must have the response.
	Deadline time.Time
	// Idempotent is set when the request may be executed more than once.
	Idempotent bool
}

// Retrier decides on the retries of one request. It is not safe for concurrent
// use.
type Retrier interface {
	// AwaitRetry records the error of a failed attempt. If the request is to be
	// retried, it returns nil after a backoff. Otherwise it returns the error for
	// the caller, whose code reports the request as not run only if no attempt
	// ran.
	AwaitRetry(ctx context.Context, err error) error
	// FinalError records the error of the last attempt and returns the error for
	// the caller, like AwaitRetry without a retry.
	FinalError(err error) error
	// SpendRetry takes one retry from the budget, for a hedged attempt, and
	// reports whether the budget had one.
	SpendRetry() bool
}

// RetryBudgets holds the retry budgets of all workspaces and classes.
type RetryBudgets interface {
	// Begin records the first attempt of a request and returns its Retrier.
	Begin(request RetryRequest) Retrier
}

// LookupRequest is an idempotent request to a plain service.
type LookupRequest struct {
	Workspace structs.WorkspaceName
	Class     structs.Class
	Path      string
}

// SubmitRequest is a non-idempotent request to a plain service.
type SubmitRequest struct {
	Workspace structs.WorkspaceName
	Path      string
	Key       string
	Body      []byte
}

// SubmitReply is the result of a submission.
type SubmitReply struct {
	Answer outside.ServiceResponse
	// Repeated is set when Answer is the recorded response to an earlier request
	// with the same key.
	Repeated bool
}

// Lookups serves look-ups on plain services. Errors are of package result.
type Lookups interface {
	// Lookup returns the complete response.
	Lookup(ctx context.Context, request LookupRequest) (outside.ServiceResponse, error)
}

// Journal executes submissions at most once. Errors are of package result.
type Journal interface {
	// Submit executes a submission, or returns the recorded response if its key
	// was used before.
	Submit(ctx context.Context, request SubmitRequest) (SubmitReply, error)
}

// RolloutRequest asks for a group of samples from one prompt.
type RolloutRequest struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	Class     structs.Class         `json:"class"`
	// Group identifies the group; one prompt may have several groups.
	Group     string `json:"group"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// RolloutReply lists the finished samples of a group.
type RolloutReply struct {
	Samples []structs.Sample `json:"samples"`
}

// Rollouts generates samples. Errors are of package result.
type Rollouts interface {
	// Rollout generates a group of samples, has them scored by the judge and adds
	// them to the workspace's steps.
	Rollout(ctx context.Context, request RolloutRequest) (RolloutReply, error)
	// Draft generates one completion for a caller without adding it to a step.
	Draft(ctx context.Context, request RolloutRequest) (structs.Sample, error)
}

// StepRequest asks for the samples of a step.
type StepRequest struct {
	Workspace structs.WorkspaceName
	Step      uint64
	// HeldVersion is the weight version that the trainer currently has.
	HeldVersion structs.WeightVersion
}

// StepReply holds the samples of a sealed step.
type StepReply struct {
	Step uint64 `json:"step"`
	// SupplementTo is the step that this one supplements, or zero.
	SupplementTo uint64           `json:"of,omitempty"`
	Samples      []structs.Sample `json:"samples"`
	// Lost lists sealed samples whose bodies are no longer on any host.
	Lost []structs.SampleID `json:"lost,omitempty"`
}

// Steps collects samples into steps and delivers each sample exactly once. Errors
// are of package result.
type Steps interface {
	// Add adds finished samples. It returns once two hosts hold them.
	Add(ctx context.Context, samples []structs.Sample) error
	// Step returns a step and seals it first unless it is sealed already.
	Step(ctx context.Context, request StepRequest) (StepReply, error)
}

// Weights provides the published weight versions of the models.
type Weights interface {
	// Newest returns the newest published version of a model, or zero.
	Newest(model structs.ServiceName) structs.WeightVersion
}
