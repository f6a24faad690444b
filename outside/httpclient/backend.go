package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Backend is a client of backend servers. It is safe for concurrent use.
type Backend struct {
	client *http.Client
	// once sends calls that bear a key; see newOnceClient.
	once *http.Client
}

var (
	_ outside.PlainServiceClient = (*Backend)(nil)
	_ outside.EngineClient       = (*Backend)(nil)
)

// NewBackend returns a client that opens connections with dial.
func NewBackend(dial DialFunc) *Backend {
	return &Backend{client: &http.Client{Transport: NewTransport(dial)}, once: newOnceClient(dial)}
}

// newOnceClient returns a client that sends a request at most once. net/http
// sends a request with an Idempotency-Key and no body again when a reused
// connection broke, so this client opens a connection for each request. It
// follows no redirects, because each would be another request.
func newOnceClient(dial DialFunc) *http.Client {
	transport := NewTransport(dial)
	transport.DisableKeepAlives = true
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendTrace learns whether any byte of a request may have left.
type sendTrace struct{ sent atomic.Bool }

func (st *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { st.sent.Store(true) },
	})
}

// failure gives an error the code that is true: not run only when no
// connection was had, because after that bytes may have left.
func (st *sendTrace) failure(err error) error {
	if st.sent.Load() {
		return result.Wrap(result.BackendBroke, err)
	}
	return result.Wrap(result.NoBackend, err)
}

// Do implements outside.PlainServiceClient.
func (b *Backend) Do(ctx context.Context, address string, call outside.ServiceRequest) (outside.ServiceResponse, error) {
	var trace sendTrace
	request, err := http.NewRequestWithContext(trace.attach(ctx), call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return outside.ServiceResponse{}, result.Wrap(result.BadRequest, err)
	}
	// A body without GetBody keeps the transport from sending it twice.
	request.GetBody = nil
	client := b.client
	if call.Key != "" {
		request.Header.Set(headerIdempotency, call.Key)
		client = b.once
	}
	response, err := client.Do(request)
	if err != nil {
		return outside.ServiceResponse{}, trace.failure(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return outside.ServiceResponse{}, result.Wrap(result.AnswerCut, err)
	}
	if len(body) > maxAnswer {
		return outside.ServiceResponse{}, result.New(result.AnswerCut, "the answer is over %d bytes", maxAnswer)
	}
	return outside.ServiceResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get(headerContentType),
		Body:        body,
	}, nil
}

// Generate implements outside.EngineClient. The engine answers with a line of JSON
// for each chunk.
func (b *Backend) Generate(ctx context.Context, address string, generation outside.GenerateRequest, each func(outside.Chunk) error) error {
	var trace sendTrace
	body, err := json.Marshal(generation)
	if err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	request, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodPost, "http://"+address+PathGenerate, bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return trace.failure(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return result.New(result.BackendRefused, "engine answered with status %d", response.StatusCode)
	case http.StatusTooManyRequests:
		return result.New(result.BackendOverloaded, "engine answered with status %d", response.StatusCode)
	default:
		return result.New(result.BackendBroke, "engine answered with status %d", response.StatusCode)
	}
	return readChunks(response.Body, each)
}

// readChunks calls each for every line until the chunk marked as the last.
func readChunks(body io.Reader, each func(outside.Chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswer)
	for lines.Scan() {
		var chunk outside.Chunk
		if err := json.Unmarshal(lines.Bytes(), &chunk); err != nil {
			return result.Wrap(result.AnswerCut, err)
		}
		if chunk.Tokens < 0 || chunk.Tokens > maxChunkTokens {
			return result.New(result.AnswerCut, "a chunk of %d tokens", chunk.Tokens)
		}
		if err := each(chunk); err != nil {
			return err
		}
		if chunk.Last {
			return nil
		}
	}
	return result.Wrap(result.AnswerCut, errors.Errorf("the stream ended without its last chunk: %v", lines.Err()))
}

// Cancel implements outside.EngineClient.
func (b *Backend) Cancel(ctx context.Context, address string, id string) error {
	return call(ctx, b.client, "http://"+address+PathCancel, CancelRequest{ID: id}, nil)
}

// FetchLoad implements outside.EngineClient.
func (b *Backend) FetchLoad(ctx context.Context, address string) (outside.LoadReport, error) {
	var load outside.LoadReport
	err := call(ctx, b.client, "http://"+address+PathLoad, struct{}{}, &load)
	return load, err
}

// SendOrder implements outside.EngineClient.
func (b *Backend) SendOrder(ctx context.Context, address string, order outside.Order) (structs.WeightVersion, error) {
	var reply OrderReply
	err := call(ctx, b.client, "http://"+address+PathOrder, order, &reply)
	return reply.Version, err
}
