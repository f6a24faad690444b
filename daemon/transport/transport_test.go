package transport

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNew_SingleUse makes two requests to a server, which must not share a
// connection.
func TestNew_SingleUse(t *testing.T) {
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	transport := New(Options{DialTimeout: time.Second, SingleUse: true})
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		response, err := transport.RoundTrip(request)
		must.NoError(t, err)
		Discard(response)
	}
	must.Eq(t, 2, opened.Load())
}
