package outside

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// ServiceRequest is a request to a plain service or judge.
type ServiceRequest struct {
	// Path is appended to the server's address, for example "/claims/7".
	Path string `json:"path"`
	// Method is an HTTP method.
	Method string `json:"method"`
	// Key is the Idempotency-Key, or empty.
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body,omitempty"`
}

// ServiceResponse is the whole answer to a ServiceRequest.
type ServiceResponse struct {
	// Status is an HTTP status.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// PlainServiceClient sends calls to backend servers that run plain services. Its
// errors are of package result and say whether any byte left.
type PlainServiceClient interface {
	// Do makes a call at an address and returns the whole answer.
	Do(ctx context.Context, address string, call ServiceRequest) (ServiceResponse, error)
}

// GenerateRequest asks an engine for one continuation of a prompt.
type GenerateRequest struct {
	// ID names the stream, for resuming and cancelling.
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// Seed fixes the engine's choices.
	Seed uint64 `json:"seed"`
	// Priority is the class; engines serve a lower one first.
	Priority structs.Class `json:"priority"`
	// Prefix is the text already generated elsewhere, to be continued.
	Prefix string `json:"prefix,omitempty"`
	// PrefixTokens is the count of tokens in Prefix.
	PrefixTokens int `json:"prefix_tokens,omitempty"`
}

// Chunk is a piece of an engine's answer.
type Chunk struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Version made the tokens of this chunk.
	Version structs.WeightVersion `json:"version"`
	// Last marks the end of the whole answer.
	Last bool `json:"last,omitempty"`
}

// LoadReport is an engine's lagging report.
type LoadReport struct {
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Version is the weight version that the engine runs now.
	Version structs.WeightVersion `json:"version"`
	// CacheHits and CacheMisses count prompts since the engine started.
	CacheHits   uint64 `json:"cache_hits"`
	CacheMisses uint64 `json:"cache_misses"`
}

// Order tells an engine to run a weight version.
type Order struct {
	Model   structs.ServiceName   `json:"model"`
	Version structs.WeightVersion `json:"version"`
	// Term is the fencing number; some engines ignore it.
	Term structs.Term `json:"term"`
}

// EngineClient talks to model engines. Errors of Generate are of package result.
type EngineClient interface {
	// Generate calls each for every chunk and returns nil after the last
	// one. A stream that breaks before it fails with code AnswerCut.
	Generate(ctx context.Context, address string, generation GenerateRequest, each func(Chunk) error) error
	// Cancel ends a stream.
	Cancel(ctx context.Context, address string, id string) error
	// FetchLoad returns the engine's report.
	FetchLoad(ctx context.Context, address string) (LoadReport, error)
	// SendOrder gives an order and returns the version that the engine says it
	// runs afterwards. It fails with ErrFenced for an old term.
	SendOrder(ctx context.Context, address string, order Order) (structs.WeightVersion, error)
}

// Clients bundles what the daemon needs of the platform.
type Clients struct {
	Store   Store
	Hosts   HostList
	Weights WeightStore
	Plain   PlainServiceClient
	Engine  EngineClient
}

// CallTimeout bounds a call to the platform that does not wait for news.
const CallTimeout = 2 * time.Second
