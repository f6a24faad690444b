package httpclient

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/outside"
)

// closingServer responds to the first request on each connection and closes the
// connection after it has read the second one. It counts the requests with an
// idempotency key.
type closingServer struct {
	listener      net.Listener
	keyedRequests atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &closingServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go server.accept()
	return server
}

func (s *closingServer) address() string { return s.listener.Addr().String() }

func (s *closingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for responses := 0; ; responses++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Header.Get(headerIdempotency) != "" {
			s.keyedRequests.Add(1)
		}
		if responses > 0 {
			return
		}
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// TestDo_KeyedRequestSentOnce guards against connection reuse: net/http retries a
// request with an Idempotency-Key and no body if a reused connection is closed
// before the response.
func TestDo_KeyedRequestSentOnce(t *testing.T) {
	server := newClosingServer(t)
	backend := NewBackend(nil)
	_, err := backend.Do(t.Context(), server.address(), outside.ServiceRequest{Method: http.MethodGet, Path: "/records/1"})
	must.NoError(t, err)
	_, err = backend.Do(t.Context(), server.address(), outside.ServiceRequest{Method: http.MethodPost, Path: "/submissions", Key: "k"})
	if err != nil {
		must.Eq(t, result.BackendBroke, result.CodeOf(err))
	}
	must.Eq(t, 1, server.keyedRequests.Load())
}

func TestDo_KeyedRequestIgnoresRedirect(t *testing.T) {
	var posts atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		posts.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	response, err := NewBackend(nil).Do(t.Context(), listener.Addr().String(), outside.ServiceRequest{Method: http.MethodPost, Path: "/", Key: "k"})
	must.NoError(t, err)
	must.Eq(t, http.StatusTemporaryRedirect, response.Status)
	must.Eq(t, 1, posts.Load())
}

func TestDo_NotRunOnlyWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := listener.Accept()
		if err == nil {
			_ = conn.Close()
		}
	}()
	request := outside.ServiceRequest{Method: http.MethodPost, Path: "/", Key: "k", Body: []byte("claim")}
	_, err = NewBackend(nil).Do(t.Context(), address, request)
	must.Eq(t, result.BackendBroke, result.CodeOf(err))
	<-accepted
	must.NoError(t, listener.Close())
	_, err = NewBackend(nil).Do(t.Context(), address, request)
	must.Eq(t, result.NoBackend, result.CodeOf(err))
}

// TestGenerate_RefusalMayHaveRun checks that a refusal leaves the outcome open,
// because the engine has read the request by then.
func TestGenerate_RefusalMayHaveRun(t *testing.T) {
	for status, code := range map[int]result.Code{
		http.StatusServiceUnavailable: result.BackendRefused,
		http.StatusTooManyRequests:    result.BackendOverloaded,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(server.Close)
		err := NewBackend(nil).Generate(t.Context(), server.Listener.Addr().String(), outside.GenerateRequest{}, nil)
		must.Eq(t, code, result.CodeOf(err))
		must.Eq(t, result.MayHaveRun, result.OutcomeOf(err))
	}
}
