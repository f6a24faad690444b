package contract

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// PickRequest asks for a backend server.
type PickRequest struct {
	Service   structs.ServiceName
	Workspace structs.WorkspaceName
	Class     structs.Class
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Affinity is the hash of the prompt's prefix, or zero.
	Affinity uint64
	// MinVersion is the lowest weight version wanted.
	MinVersion structs.WeightVersion
	// Avoid are servers already tried.
	Avoid []structs.HostName
	// Fingerprint identifies equal requests, to find those that crash
	// servers; zero means none.
	Fingerprint quarantine.Fingerprint
}

// Ticket is a place on a backend server. Finish must be called once.
type Ticket struct {
	Server structs.BackendServer
	Finish func(TicketOutcome)
}

// TicketOutcome says how a request on a backend server ended.
type TicketOutcome struct {
	// Err is nil after a whole answer, and of package result otherwise.
	Err     error
	Latency time.Duration
	// Units is the work done, such as tokens made; the latency for each unit
	// sets the server's limit. Zero counts as one.
	Units int
	// Bytes counts what was sent and received, for the price of traffic
	// between regions.
	Bytes int64
	// Version is the weight version that the server reported, or zero.
	Version structs.WeightVersion
}

// Balancer admits requests and chooses backend servers for them.
type Balancer interface {
	// Pick waits for a place, within the request's due time. It fails with
	// code NoBackend, Overloaded, DueTimePassed, FairShareExceeded or
	// Quarantined.
	Pick(ctx context.Context, request PickRequest) (Ticket, error)
}

// Quarantine tells of requests that crashed backend servers. It is offered
// under NameBalance.
type Quarantine interface {
	// AwaitVerdict waits, until ctx ends, for the probes that say whether requests
	// with a fingerprint crashed a server. It fails with code Quarantined
	// when they did, and with DueTimePassed.
	AwaitVerdict(ctx context.Context, fingerprint quarantine.Fingerprint) error
}

// RetryRequest describes a request that may be tried again.
type RetryRequest struct {
	Workspace structs.WorkspaceName
	Class     structs.Class
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Idempotent says that the request may run more than once.
	Idempotent bool
}

// Retrier follows the attempts of one request. It is for one goroutine.
type Retrier interface {
	// AwaitRetry takes in the error of a failed attempt. It returns nil, after a
	// back-off, when the request is to be tried again, and otherwise the
	// error for the caller: its code says not run only if that is true of
	// all attempts.
	AwaitRetry(ctx context.Context, err error) error
	// SpendRetry takes one retry out of the budget, for an attempt beside the
	// first one, and reports whether there was one.
	SpendRetry() bool
}

// RetryBudgets keeps the retry budgets of all workspaces and classes.
type RetryBudgets interface {
	// Begin records the first attempt of a request.
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

// SubmitReply is the answer to a submission.
type SubmitReply struct {
	Answer outside.ServiceResponse
	// Repeated says that the answer was recorded by an earlier request.
	Repeated bool
}

// Lookups serves look-ups on plain services. Errors are of package result.
type Lookups interface {
	// Lookup returns the whole answer.
	Lookup(ctx context.Context, request LookupRequest) (outside.ServiceResponse, error)
}

// Journal runs submissions at most once. Errors are of package result.
type Journal interface {
	// Submit runs a submission unless its key was used before, and gives the
	// recorded answer then.
	Submit(ctx context.Context, request SubmitRequest) (SubmitReply, error)
}

// RolloutRequest asks for a group of samples from one prompt.
type RolloutRequest struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	Class     structs.Class         `json:"class"`
	// Group names the group; the same prompt may have several.
	Group     string `json:"group"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// RolloutReply lists the finished samples of a group.
type RolloutReply struct {
	Samples []structs.Sample `json:"samples"`
}

// Rollouts makes samples. Errors are of package result.
type Rollouts interface {
	// Rollout makes a group of samples, has them judged and hands them to
	// the workspace's steps.
	Rollout(ctx context.Context, request RolloutRequest) (RolloutReply, error)
	// Draft makes one answer, for a caller, without a sample.
	Draft(ctx context.Context, request RolloutRequest) (structs.Sample, error)
}

// StepRequest asks for the samples of a step.
type StepRequest struct {
	Workspace structs.WorkspaceName
	Step      uint64
	// HeldVersion is the weight version that the trainer holds.
	HeldVersion structs.WeightVersion
}

// StepReply gives the samples of a sealed step.
type StepReply struct {
	Step uint64 `json:"step"`
	// SupplementTo says which step this one is a supplement to, or zero.
	SupplementTo uint64           `json:"of,omitempty"`
	Samples      []structs.Sample `json:"samples"`
	// Lost names sealed samples whose bodies no host has any more.
	Lost []structs.SampleID `json:"lost,omitempty"`
}

// Steps gathers samples into steps and hands each over exactly once. Errors
// are of package result.
type Steps interface {
	// Add takes in finished samples; it returns when they are on two hosts.
	Add(ctx context.Context, samples []structs.Sample) error
	// Step seals a step, or finds it sealed, and returns it.
	Step(ctx context.Context, request StepRequest) (StepReply, error)
}

// Weights gives the versions of the models' weights.
type Weights interface {
	// Newest returns the newest published version of a model, or zero.
	Newest(model structs.ServiceName) structs.WeightVersion
}
