package managed

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutMode is what happens to the links of a daemon to all servers.
type cutMode uint8

const (
	// linksUp is no cut.
	linksUp cutMode = iota
	// linksHang lets connections and attempts to open one hang.
	linksHang
	// linksReset closes open connections and refuses new ones.
	linksReset
	// linksRefuseNew refuses new connections; open ones live on.
	linksRefuseNew
)

// serverLinks are the links of one daemon to all servers.
type serverLinks struct {
	mu     sync.Mutex
	mode   cutMode
	healed chan struct{}
	conns  map[*cuttableConn]bool
}

func newServerLinks() *serverLinks {
	return &serverLinks{healed: make(chan struct{}), conns: make(map[*cuttableConn]bool)}
}

func (l *serverLinks) state() (cutMode, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.healed
}

// set cuts the links or restores them. Connections that hung stay silent.
func (l *serverLinks) set(mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	switch mode {
	case linksUp:
		close(l.healed)
		l.healed = make(chan struct{})
	case linksReset:
		for conn := range l.conns {
			_ = conn.Conn.Close()
		}
	case linksHang:
		for conn := range l.conns {
			conn.silence()
		}
	}
}

func (l *serverLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	mode, healed := l.state()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	switch mode {
	case linksReset, linksRefuseNew:
		return nil, refused
	case linksHang:
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		case <-healed:
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &cuttableConn{Conn: conn, links: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.conns[c] = true
	return c, nil
}

// cuttableConn is a connection that can fall silent for good.
type cuttableConn struct {
	net.Conn
	links       *serverLinks
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

func (c *cuttableConn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *cuttableConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *cuttableConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *cuttableConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cuttableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// detectionTime is how soon a daemon that is cut off from all servers has to serve its
// callers again.
const detectionTime = 2 * time.Second

// checkServed makes look-ups one after the other and returns how many were answered with
// success within a second.
func checkServed(d *daemon, prefix string, count int) int {
	served := 0
	for i := range count {
		started := time.Now()
		response := d.call(http.MethodPost, "/status/1", fmt.Sprintf("%s-%d", prefix, i), map[string]string{"Deadline-Ms": "1500"}, "")
		if response.err == nil && response.status == http.StatusOK && time.Since(started) < time.Second {
			served++
		}
	}
	return served
}

// TestManaged_DaemonCutOffFromServersServes cuts one of two daemons off from all servers.
// Its callers must be served, and its batch job must be completed.
func TestManaged_DaemonCutOffFromServersServes(t *testing.T) {
	for name, mode := range map[string]cutMode{"hang": linksHang, "reset": linksReset, "refuse new": linksRefuseNew} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStandardHarness(t, 40, 10*time.Millisecond)
			for i := range 3 {
				h.addPlain(fmt.Sprintf("plain-%d", 2+i))
			}
			links := newServerLinks()
			cut := h.startDaemonWith("daemon-1", links.dial)
			h.startDaemon("daemon-2")
			h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
			must.Eq(t, 10, checkServed(cut, "before", 10))
			submitJob(h, cut, "job-1", jobBody("job-1", 0, 1, 2, 2))
			links.set(mode)
			for since := time.Now(); time.Since(since) < detectionTime; {
				checkServed(cut, fmt.Sprint("first", time.Now().UnixNano()), 1)
			}
			must.Eq(t, 30, checkServed(cut, "during", 30))
			submitJob(h, cut, "job-2", jobBody("job-2", 1, 1, 2, 2))
			h.checkResults("job-1", h.fetchAllResults(cut, "job-1", 4), 40, 1)
			h.checkResults("job-2", h.fetchAllResults(cut, "job-2", 4), 40, 1)
			links.set(linksUp)
			must.Eq(t, 10, checkServed(cut, "after", 10))
		})
	}
}

// TestManaged_CutOffDaemonRunsRequestsOnce sends requests that may not be repeated to a
// daemon while it is being cut off. None may run twice, and none may run that was refused.
func TestManaged_CutOffDaemonRunsRequestsOnce(t *testing.T) {
	for name, mode := range map[string]cutMode{"hang": linksHang, "reset": linksReset, "refuse new": linksRefuseNew} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"))
			plain := []*plainServer{h.addPlain("plain-1"), h.addPlain("plain-2"), h.addPlain("plain-3"), h.addPlain("plain-4")}
			links := newServerLinks()
			cut := h.startDaemonWith("daemon-1", links.dial)
			h.startDaemon("daemon-2")
			statuses := make(map[string]int)
			var mu sync.Mutex
			var callers sync.WaitGroup
			for caller := range 4 {
				callers.Go(func() {
					for i := range 40 {
						id := fmt.Sprintf("claim-%d-%d", caller, i)
						response := cut.call(http.MethodPost, "/claims/1", id, map[string]string{"Deadline-Ms": "1500"}, "claim")
						mu.Lock()
						statuses[id] = response.status
						mu.Unlock()
						if caller == 0 && i == 10 {
							links.set(mode)
						}
					}
				})
			}
			callers.Wait()
			runs := make(map[string]int)
			for _, p := range plain {
				for _, id := range p.requests() {
					runs[id]++
				}
			}
			served := 0
			for id, status := range statuses {
				must.LessEq(t, 1, runs[id], must.Sprint(id))
				if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
					must.Eq(t, 0, runs[id], must.Sprint(id))
				}
				if status == http.StatusOK {
					served++
				}
			}
			must.Greater(t, 100, served)
		})
	}
}

// TestManaged_ServesWhileOpenConnectionsAreSilent lets all open connections to the
// servers fall silent for good, while new ones work. Look-ups must be served, and the
// items that run must continue.
func TestManaged_ServesWhileOpenConnectionsAreSilent(t *testing.T) {
	h := newStandardHarness(t, 60, 10*time.Millisecond)
	for i := range 3 {
		h.addPlain(fmt.Sprintf("plain-%d", 2+i))
	}
	links := newServerLinks()
	d := h.startDaemonWith("daemon-1", links.dial)
	must.Eq(t, 40, checkServed(d, "before", 40))
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 2, 2))
	h.waitFor("items run", func() bool { return len(h.runsOfItems()) > 0 })
	links.set(linksHang)
	links.set(linksUp)
	must.Eq(t, 20, checkServed(d, "after", 20))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 4), 60, 1)
}

// TestManaged_CutOffDaemonStreams asks a daemon that is cut off for a stream. Its events
// must arrive as the server sends them.
func TestManaged_CutOffDaemonStreams(t *testing.T) {
	const pace = 50 * time.Millisecond
	h := newStandardHarness(t, 20, pace)
	streams := routeConfig("/stream/", "streaming")
	streams["service"], streams["resumable"] = engineService, true
	h.putConfiguration(2, streams)
	links := newServerLinks()
	cut := h.startDaemonWith("daemon-1", links.dial)
	h.startDaemon("daemon-2")
	h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
	links.set(linksReset)
	h.waitFor("a stream is served", func() bool {
		return cut.call(http.MethodPost, "/stream/1", fmt.Sprint("first", time.Now().UnixNano()), nil, "").status == http.StatusOK
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+cut.address+"/stream/1", nil)
	must.NoError(t, err)
	request.Host = routeHostname
	request.Header.Set("Attempt-Id", "stream-1")
	response, err := http.DefaultTransport.RoundTrip(request)
	must.NoError(t, err)
	defer response.Body.Close()
	started := time.Now()
	first := make([]byte, 1)
	_, err = response.Body.Read(first)
	must.NoError(t, err)
	must.Less(t, 10*pace, time.Since(started))
	rest, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.StrContains(t, string(rest), eventData("stream-1", 20))
	must.Eq(t, 20, h.runOf("stream-1").eventsSent)
}
