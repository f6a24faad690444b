package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// exchange sends a request through a watched transport and returns its connection's use.
func exchange(t *testing.T, transport *http.Transport, url string, read bool) *Use {
	t.Helper()
	use := &Use{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: use.GotConn, PutIdleConn: use.PutIdle})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	must.NoError(t, err)
	response, err := transport.RoundTrip(request)
	must.NoError(t, err)
	if response.Close {
		use.AnnouncedClose()
	}
	if read {
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
	}
	must.NoError(t, response.Body.Close())
	return use
}

func TestConnections_Reasons(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/long":
			_, _ = w.Write(make([]byte, 1<<20))
		case "/close":
			w.Header().Set("Connection", "close")
		}
	}))
	defer server.Close()
	account := NewConnections()
	transport := New(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerHost: 4, Account: account})
	defer transport.CloseIdleConnections()
	address := server.Listener.Addr().String()

	use := exchange(t, transport, server.URL, true)
	must.True(t, use.IsNew)
	must.Eq(t, OpenedFirst, use.Reason)
	must.Eq(t, 1, account.Idle(address))
	use = exchange(t, transport, server.URL, true)
	must.False(t, use.IsNew)

	exchange(t, transport, server.URL+"/long", false)
	must.Eq(t, 0, account.Open(address))
	use = exchange(t, transport, server.URL+"/close", true)
	must.True(t, use.IsNew)
	must.Eq(t, OpenedAfterCut, use.Reason)
	use = exchange(t, transport, server.URL, true)
	must.Eq(t, OpenedAfterClose, use.Reason)

	transport.CloseIdleConnections()
	use = exchange(t, transport, server.URL, true)
	must.Eq(t, OpenedAfterExpiry, use.Reason)

	server.CloseClientConnections()
	must.True(t, awaitOpen(account, address, 0))
	use = exchange(t, transport, server.URL, true)
	must.Eq(t, OpenedAfterIdle, use.Reason)
	must.Eq(t, 1, account.Total())
}

// awaitOpen waits until an address has a number of connections.
func awaitOpen(account *Connections, address string, want int) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if account.Open(address) == want {
			return true
		}
	}
	return false
}
