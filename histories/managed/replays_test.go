package managed

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// breakOff ends a request that a server has begun to run without a response.
func breakOff(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

// bodilessRequests are requests that net/http sends again by itself when a kept
// connection ends without a response.
var bodilessRequests = map[string]struct {
	method string
	header map[string]string
}{
	"GET":                      {method: http.MethodGet},
	"HEAD":                     {method: http.MethodHead},
	"OPTIONS":                  {method: http.MethodOptions},
	"TRACE":                    {method: http.MethodTrace},
	"POST with a key":          {method: http.MethodPost, header: map[string]string{"Idempotency-Key": "key-1"}},
	"POST with an X- key":      {method: http.MethodPost, header: map[string]string{"X-Idempotency-Key": "key-1"}},
	"DELETE with a key":        {method: http.MethodDelete, header: map[string]string{"Idempotency-Key": "key-1"}},
	"POST without key or body": {method: http.MethodPost},
}

// countRuns returns how often a server began to run a request.
func (p *plainServer) countRuns(id string) int {
	runs := 0
	for _, seen := range p.requests() {
		if seen == id {
			runs++
		}
	}
	return runs
}

// checkRunsOnce sends each kind of request without a body to a route whose requests may
// not be repeated. The servers break off each of them, on connections that have served
// others, and may run it once.
func (h *harness) checkRunsOnce(d *daemon, servers ...*plainServer) {
	h.t.Helper()
	const warmUps = 8
	for name, request := range bodilessRequests {
		for i := range warmUps {
			must.Eq(h.t, http.StatusOK, d.call(http.MethodPost, "/claims/1", fmt.Sprint("warm ", name, i), nil, "body").status, must.Sprint(name))
		}
		for _, server := range servers {
			server.update(func() { server.faults = []func(http.ResponseWriter, *http.Request) bool{breakOff, breakOff} })
		}
		response := d.call(request.method, "/claims/1", name, request.header, "")
		runs := 0
		for _, server := range servers {
			runs += server.countRuns(name)
			server.update(func() { server.faults = nil })
		}
		must.Eq(h.t, 1, runs, must.Sprintf("%s, status %d", name, response.status))
		must.Eq(h.t, http.StatusBadGateway, response.status, must.Sprint(name))
	}
}

// TestManaged_LostResponseRunsRequestOnce guards against requests without a body that the
// HTTP client library sends a second time after the server has run them.
func TestManaged_LostResponseRunsRequestOnce(t *testing.T) {
	for _, routeType := range []string{"non_idempotent", "streaming"} {
		t.Run(routeType, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.putConfiguration(1, routeConfig("/claims/", routeType))
			server := h.addPlain("plain-1")
			h.checkRunsOnce(h.startDaemon("daemon-1"), server)
		})
	}
}

// TestManaged_LostResponseRunsRelayedRequestOnce is TestManaged_LostResponseRunsRequestOnce
// for a daemon that is cut off from the servers, whose requests another daemon sends.
func TestManaged_LostResponseRunsRelayedRequestOnce(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"), routeConfig("/status/", "idempotent"))
	first, second := h.addPlain("plain-1"), h.addPlain("plain-2")
	links := newServerLinks()
	cut := h.startDaemonWith("daemon-1", links.dial)
	h.startDaemon("daemon-2")
	h.awaitMembers(2)
	links.set(linksReset)
	h.waitFor("requests are relayed", func() bool { return checkServed(cut, fmt.Sprint("warm-", time.Now().UnixNano()), 1) == 1 })
	h.checkRunsOnce(cut, first, second)
}

// TestManaged_MisdirectedResponseToAnotherRequest guards against a late copy of a 421
// that answered another request: the request at hand may run, so it is sent nowhere else.
func TestManaged_MisdirectedResponseToAnotherRequest(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"))
	servers := []*plainServer{h.addPlain("plain-1"), h.addPlain("plain-2")}
	lateCopy := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Attempt-Id", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	for _, server := range servers {
		server.faults = []func(http.ResponseWriter, *http.Request) bool{lateCopy}
	}
	response := h.startDaemon("daemon-1").call(http.MethodPost, "/claims/1", "claim-1", nil, "body")
	must.Eq(t, 1, servers[0].countRuns("claim-1")+servers[1].countRuns("claim-1"))
	must.Eq(t, http.StatusBadGateway, response.status)
}
