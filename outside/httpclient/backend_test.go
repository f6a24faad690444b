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

// closingServer answers the first request on each connection and closes the
// connection after it has read the second one.
type closingServer struct {
	listener net.Listener
	keyed    atomic.Int64
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
	for answered := 0; ; answered++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Header.Get(headerIdempotency) != "" {
			s.keyed.Add(1)
		}
		if answered > 0 {
			return
		}
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// TestDo_SendsAKeyedCallOnce would fail with a transport that reuses
// connections: net/http sends a request with an Idempotency-Key and no body
// again when a reused connection was closed before the answer.
func TestDo_SendsAKeyedCallOnce(t *testing.T) {
	server := newClosingServer(t)
	backend := NewBackend(nil)
	_, err := backend.Do(t.Context(), server.address(), outside.ServiceRequest{Method: http.MethodGet, Path: "/records/1"})
	must.NoError(t, err)
	_, err = backend.Do(t.Context(), server.address(), outside.ServiceRequest{Method: http.MethodPost, Path: "/submissions", Key: "k"})
	if err != nil {
		must.Eq(t, result.BackendBroke, result.CodeOf(err))
	}
	must.Eq(t, 1, server.keyed.Load())
}

func TestDo_KeyedCallDoesNotFollowRedirects(t *testing.T) {
	var posts atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		posts.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	answer, err := NewBackend(nil).Do(t.Context(), listener.Addr().String(), outside.ServiceRequest{Method: http.MethodPost, Path: "/", Key: "k"})
	must.NoError(t, err)
	must.Eq(t, http.StatusTemporaryRedirect, answer.Status)
	must.Eq(t, 1, posts.Load())
}

func TestDo_NotRunOnlyWithoutAConnection(t *testing.T) {
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
	call := outside.ServiceRequest{Method: http.MethodPost, Path: "/", Key: "k", Body: []byte("claim")}
	_, err = NewBackend(nil).Do(t.Context(), address, call)
	must.Eq(t, result.BackendBroke, result.CodeOf(err))
	<-accepted
	must.NoError(t, listener.Close())
	_, err = NewBackend(nil).Do(t.Context(), address, call)
	must.Eq(t, result.NoBackend, result.CodeOf(err))
}

// TestGenerate_RefusalIsNeverNotRun lets an engine refuse what it has read.
func TestGenerate_RefusalIsNeverNotRun(t *testing.T) {
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
