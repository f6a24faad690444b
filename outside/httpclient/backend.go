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
	// noRetryClient sends requests with an idempotency key.
	noRetryClient *http.Client
}

var (
	_ outside.PlainServiceClient = (*Backend)(nil)
	_ outside.EngineClient       = (*Backend)(nil)
)

// NewBackend returns a client that opens connections with dial.
func NewBackend(dial DialFunc) *Backend {
	return &Backend{client: &http.Client{Transport: NewTransport(dial)}, noRetryClient: newNoRetryClient(dial)}
}

// newNoRetryClient returns a client that sends a request at most once. net/http
// retries a request with an Idempotency-Key and no body if a reused connection
// breaks, so this client opens a connection for each request. It does not follow
// redirects, because each would be another request.
func newNoRetryClient(dial DialFunc) *http.Client {
	transport := NewTransport(dial)
	transport.DisableKeepAlives = true
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// connTrace records whether any byte of a request may have been sent.
type connTrace struct{ mayBeSent atomic.Bool }

func (st *connTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { st.mayBeSent.Store(true) },
	})
}

// wrapSendError wraps the error of a request. The code means that the request was
// not run only if it never got a connection, because bytes may have been sent
// afterwards.
func (st *connTrace) wrapSendError(err error) error {
	if st.mayBeSent.Load() {
		return result.Wrap(result.BackendBroke, err)
	}
	return result.Wrap(result.NoBackend, err)
}

// Do implements outside.PlainServiceClient.
func (b *Backend) Do(ctx context.Context, address string, request outside.ServiceRequest) (outside.ServiceResponse, error) {
	var trace connTrace
	httpRequest, err := http.NewRequestWithContext(trace.attach(ctx), request.Method, "http://"+address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return outside.ServiceResponse{}, result.Wrap(result.BadRequest, err)
	}
	// Without GetBody the transport cannot send the body twice.
	httpRequest.GetBody = nil
	client := b.client
	if request.Key != "" {
		httpRequest.Header.Set(headerIdempotency, request.Key)
		client = b.noRetryClient
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return outside.ServiceResponse{}, trace.wrapSendError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return outside.ServiceResponse{}, result.Wrap(result.AnswerCut, err)
	}
	if len(body) > maxResponseBytes {
		return outside.ServiceResponse{}, result.New(result.AnswerCut, "the answer is over %d bytes", maxResponseBytes)
	}
	return outside.ServiceResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get(headerContentType),
		Body:        body,
	}, nil
}

// Generate implements outside.EngineClient. The engine responds with one line of
// JSON per chunk.
func (b *Backend) Generate(ctx context.Context, address string, request outside.GenerateRequest, handle func(outside.Chunk) error) error {
	var trace connTrace
	body, err := json.Marshal(request)
	if err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	httpRequest, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodPost, "http://"+address+PathGenerate, bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	response, err := b.client.Do(httpRequest)
	if err != nil {
		return trace.wrapSendError(err)
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
	return readChunks(response.Body, handle)
}

// readChunks decodes one chunk per line and calls handle for each, until the last
// chunk. It fails with code AnswerCut if the stream ends before that, or with the
// error of handle.
func readChunks(body io.Reader, handle func(outside.Chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponseBytes)
	for lines.Scan() {
		var chunk outside.Chunk
		if err := json.Unmarshal(lines.Bytes(), &chunk); err != nil {
			return result.Wrap(result.AnswerCut, err)
		}
		if chunk.Tokens < 0 || chunk.Tokens > maxChunkTokens {
			return result.New(result.AnswerCut, "a chunk of %d tokens", chunk.Tokens)
		}
		if err := handle(chunk); err != nil {
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
	return callJSON(ctx, b.client, "http://"+address+PathCancel, CancelRequest{ID: id}, nil)
}

// FetchLoad implements outside.EngineClient.
func (b *Backend) FetchLoad(ctx context.Context, address string) (outside.LoadReport, error) {
	var load outside.LoadReport
	err := callJSON(ctx, b.client, "http://"+address+PathLoad, struct{}{}, &load)
	return load, err
}

// SendOrder implements outside.EngineClient.
func (b *Backend) SendOrder(ctx context.Context, address string, order outside.Order) (structs.WeightVersion, error) {
	var reply OrderReply
	err := callJSON(ctx, b.client, "http://"+address+PathOrder, order, &reply)
	return reply.Version, err
}
