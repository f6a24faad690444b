package outside

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ServiceRequest is an HTTP request to a plain service or judge.
type ServiceRequest struct {
	// Path is appended to the server's address, for example "/claims/7".
	Path string `json:"path"`
	// Method is an HTTP method.
	Method string `json:"method"`
	// Key is the value of the Idempotency-Key header; empty omits the header.
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body,omitempty"`
}

// ServiceResponse is the complete response to a ServiceRequest.
type ServiceResponse struct {
	// Status is the HTTP status code.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// PlainServiceClient sends requests to plain services and judges. Its errors are
// of package result; their codes distinguish requests that were certainly not
// sent from those that may have run.
type PlainServiceClient interface {
	// Do sends a request to an address and returns the complete response.
	Do(ctx context.Context, address string, request ServiceRequest) (ServiceResponse, error)
}

// GenerateRequest requests one continuation of a prompt from an engine.
type GenerateRequest struct {
	// ID identifies the stream for resumption and cancellation.
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	// MaxTokens limits the length of the continuation.
	MaxTokens int `json:"max_tokens"`
	// Seed is the seed of the engine's sampling.
	Seed uint64 `json:"seed"`
	// Priority is the class of the request; engines serve lower values first.
	Priority structs.Class `json:"priority"`
	// Prefix is text that another engine has generated and this one continues.
	Prefix string `json:"prefix,omitempty"`
	// PrefixTokens is the number of tokens in Prefix.
	PrefixTokens int `json:"prefix_tokens,omitempty"`
}

// Chunk is a part of an engine's stream.
type Chunk struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Version is the weight version that generated the chunk.
	Version structs.WeightVersion `json:"version"`
	// Last is set on the final chunk of a complete stream.
	Last bool `json:"last,omitempty"`
}

// LoadReport is an engine's report of its load. It lags behind the engine's state.
type LoadReport struct {
	// Running and Waiting are numbers of streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Version is the current weight version.
	Version structs.WeightVersion `json:"version"`
	// CacheHits and CacheMisses are numbers of prompts since the engine started.
	CacheHits   uint64 `json:"cache_hits"`
	CacheMisses uint64 `json:"cache_misses"`
}

// Order is a command to an engine to load a weight version.
type Order struct {
	Model   structs.ServiceName   `json:"model"`
	Version structs.WeightVersion `json:"version"`
	// Term is the fencing token; some engines ignore it.
	Term structs.Term `json:"term"`
}

// EngineClient is a client of model engines. Errors of Generate are of package
// result; the other methods return the errors of this package.
type EngineClient interface {
	// Generate calls handle for every chunk and returns nil after the last one.
	// It stops at an error of handle and returns it. A stream that ends before
	// its last chunk fails with code AnswerCut.
	Generate(ctx context.Context, address string, request GenerateRequest, handle func(Chunk) error) error
	// Cancel ends a stream.
	Cancel(ctx context.Context, address string, id string) error
	// FetchLoad returns the engine's load report.
	FetchLoad(ctx context.Context, address string) (LoadReport, error)
	// SendOrder sends an order and returns the version that the engine reports
	// afterwards. It fails with ErrFenced if the engine has seen a newer term.
	SendOrder(ctx context.Context, address string, order Order) (structs.WeightVersion, error)
}

// Clients holds the daemon's clients of external systems.
type Clients struct {
	Store   Store
	Hosts   HostList
	Weights WeightStore
	Plain   PlainServiceClient
	Engine  EngineClient
}

// CallTimeout is the timeout of calls that do not wait for a change.
const CallTimeout = 2 * time.Second
