package managed

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// respondAfter returns a fault that delays a response.
func respondAfter(delay time.Duration) func(http.ResponseWriter, *http.Request) bool {
	return func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
		return false
	}
}

// TestManaged_PlannedStopAnswersLongRequests stops a daemon with a request in progress
// that lasts longer than the stop, and sends it another one late. Both must be answered,
// and the late one, which may not be repeated, must not run.
func TestManaged_PlannedStopAnswersLongRequests(t *testing.T) {
	h := newHarness(t)
	claims := routeConfig("/claims/", "non_idempotent")
	claims["timeoutMs"] = 20000
	h.putConfiguration(1, claims)
	p := h.addPlain("plain-1")
	d := h.startDaemon("daemon-1")
	for range 3 {
		p.faults = append(p.faults, respondAfter(10*time.Second))
	}
	deadline := map[string]string{"Deadline-Ms": "15000"}
	early := make(chan callerResponse, 1)
	go func() { early <- d.call(http.MethodPost, "/claims/1", "early", deadline, "claim") }()
	h.waitFor("the early request runs", func() bool { return len(p.requests()) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- d.kernel.Stop(context.Background()) }()
	h.waitFor("the daemon is not ready", func() bool { return !d.isReady() })
	late := d.call(http.MethodPost, "/claims/1", "late", deadline, "claim")
	must.NoError(t, late.err)
	must.Eq(t, http.StatusServiceUnavailable, late.status)
	must.Eq(t, []string{"early"}, p.requests())
	response := <-early
	must.NoError(t, response.err)
	must.Eq(t, http.StatusGatewayTimeout, response.status)
	<-stopped
}

// TestManaged_HeadThatEndsEarly lets each server stop in the middle of the head of its
// response and close. No caller may get a success.
func TestManaged_HeadThatEndsEarly(t *testing.T) {
	heads := map[string]string{
		"status line":              "HTTP/1.1 200 OK\r\n",
		"half a status line":       "HTTP/1.1 200",
		"length":                   "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\nContent-Length: 0\r\n",
		"half a length":            "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\nContent-Length: 1",
		"chunked":                  "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n",
		"to the end of connection": "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\nConnection: close\r\n",
		"event stream":             "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			streams := routeConfig("/stream/", "streaming")
			streams["resumable"] = true
			h.putConfiguration(1, routeConfig("/status/", "idempotent"), routeConfig("/claims/", "non_idempotent"), streams)
			p := h.addPlain("plain-1")
			d := h.startDaemon("daemon-1")
			for _, path := range []string{"/status/1", "/claims/1", "/stream/1"} {
				for _, reset := range []bool{false, true} {
					p.mu.Lock()
					p.faults = nil
					for range 20 {
						p.faults = append(p.faults, func(w http.ResponseWriter, r *http.Request) bool {
							return writeRawAndClose(w, strings.ReplaceAll(head, "ID", r.Header.Get("Attempt-Id")), reset)
						})
					}
					p.mu.Unlock()
					response := d.call(http.MethodPost, path, "id"+path, nil, "")
					must.True(t, response.err != nil || response.status >= http.StatusInternalServerError, must.Sprint(path, response.status, response.body))
				}
			}
		})
	}
}
