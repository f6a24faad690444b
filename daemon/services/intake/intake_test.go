package intake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
)

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}
func (noMetrics) Gauge(string, int64) {}

func newService(budget intake.Budget) *service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &service{budget: budget, descriptors: 4100, metrics: noMetrics{}, log: logrus.NewEntry(log), conns: make(map[*conn]bool)}
}

// serve starts a server that answers with the length of each body, and returns its address.
func serve(t *testing.T, s *service) string {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holding := contract.HoldingOf(r.Context())
		defer holding.End()
		err := holding.Begin()
		if err == nil {
			_, err = transport.ReadPayload(r.Body, r.ContentLength, holding.Claim)
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s.Track(server)
	go func() { _ = server.Serve(s.Guard(intake.DoorCallers, listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// awaitHeld waits until as much is held.
func (s *service) awaitHeld(held int64) {
	for {
		s.mu.Lock()
		now := s.held
		s.mu.Unlock()
		if now == held {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestAccount_ReturnsToZero checks that all is given back after requests that were served,
// refused or broken off.
func TestAccount_ReturnsToZero(t *testing.T) {
	s := newService(intake.Budget{Bytes: 1 << 20, Connections: 100, Requests: 100, StalledAfter: time.Millisecond})
	address := serve(t, s)
	client := &http.Client{Transport: &http.Transport{}}
	statuses := make(map[int]int)
	for _, length := range []int{10, 100 << 10, 4 << 20, 0, 700 << 10} {
		response, err := client.Post("http://"+address, "", strings.NewReader(strings.Repeat("b", length)))
		if err == nil {
			statuses[response.StatusCode]++
			_ = response.Body.Close()
		}
	}
	must.Eq(t, 4, statuses[http.StatusOK])
	client.CloseIdleConnections()
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		conns = append(conns, conn)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("b", 90000))
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	s.awaitHeld(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	must.Eq(t, 0, s.requests)
	must.Eq(t, int64(0), s.ending)
}

// TestClaim_EndsStalledClients has a client claim what another holds that stands still.
func TestClaim_EndsStalledClients(t *testing.T) {
	s := newService(intake.Budget{Bytes: 4 << 20, Connections: 100, Requests: 100, StalledAfter: time.Millisecond})
	stalled, other := newPipe(t, s), newPipe(t, s)
	must.NoError(t, stalled.Begin())
	must.NoError(t, stalled.Claim(2<<20))
	time.Sleep(5 * time.Millisecond)
	must.NoError(t, other.Begin())
	claimed := make(chan error)
	go func() { claimed <- other.Claim(2 << 20) }()
	_, err := stalled.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, result.Overloaded, result.CodeOf(stalled.Err()))
	must.Eq(t, result.Overloaded, result.CodeOf(stalled.Claim(1)))
	stalled.End()
	must.NoError(t, <-claimed)
	must.NoError(t, other.Err())
}

// newPipe returns a connection that the service counts.
func newPipe(t *testing.T, s *service) *conn {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _, _ = ours.Close(), theirs.Close() })
	c := newConn(s, intake.DoorCallers, ours)
	must.True(t, s.admit(c, 100))
	return c
}
