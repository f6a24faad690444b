package managed

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	coordresult "github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// writeRawAndClose hijacks the connection, writes raw bytes and closes it, with a
// TCP reset if asked. It reports whether the connection could be hijacked.
func writeRawAndClose(w http.ResponseWriter, raw string, reset bool) bool {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	_, _ = buffer.WriteString(raw)
	_ = buffer.Flush()
	if reset {
		_ = conn.(interface{ SetLinger(int) error }).SetLinger(0)
	}
	_ = conn.Close()
	return true
}

// TestManaged_FaultyResponses returns each kind of faulty response to the first
// attempt of an idempotent request. The caller must get the response of the second
// server.
func TestManaged_FaultyResponses(t *testing.T) {
	faults := map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"truncated body": func(w http.ResponseWriter, r *http.Request) bool {
			return writeRawAndClose(w, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nServer-Stamp: s\r\nContent-Length: 50\r\n\r\nhalf", false)
		},
		"no response": func(w http.ResponseWriter, _ *http.Request) bool { return writeRawAndClose(w, "", true) },
		"not HTTP": func(w http.ResponseWriter, _ *http.Request) bool {
			return writeRawAndClose(w, "\x00\x01 bytes\r\n\r\n", false)
		},
		"response to another request": func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Attempt-Id", "other")
			w.Header().Set("Server-Stamp", "s")
			_, _ = fmt.Fprint(w, "other")
			return true
		},
		"no stamp": func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			_, _ = fmt.Fprint(w, "unsigned")
			return true
		},
		"unframed and reset": func(w http.ResponseWriter, r *http.Request) bool {
			return writeRawAndClose(w, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nServer-Stamp: s\r\nConnection: close\r\n\r\nhalf", true)
		},
		"status 500": func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Server-Stamp", "s")
			w.WriteHeader(http.StatusInternalServerError)
			return true
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			h := newStandardHarness(t, 1, time.Millisecond)
			p := h.addPlain("plain-2")
			d := h.startDaemon("daemon-1")
			p.mu.Lock()
			p.faults = append(p.faults, fault)
			p.mu.Unlock()
			for i := range 20 {
				id := fmt.Sprintf("look-%d", i)
				response := d.call(http.MethodPost, "/status/1", id, nil, "")
				must.NoError(t, response.err)
				must.Eq(t, http.StatusOK, response.status, must.Sprint(id, response.body))
				must.Eq(t, "POST /status/1 by "+id, response.body)
			}
		})
	}
}

// TestManaged_NonIdempotentRequestRunsOnce loses the response of a non-idempotent
// request. The daemon must not retry it, and must not report it as not executed.
func TestManaged_NonIdempotentRequestRunsOnce(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"))
	a, b := h.addPlain("plain-1"), h.addPlain("plain-2")
	d := h.startDaemon("daemon-1")
	for _, p := range []*plainServer{a, b} {
		p.mu.Lock()
		p.faults = append(p.faults, func(w http.ResponseWriter, _ *http.Request) bool { return writeRawAndClose(w, "", true) })
		p.mu.Unlock()
	}
	response := d.call(http.MethodPost, "/claims/1", "claim-1", nil, "claim")
	must.Eq(t, http.StatusBadGateway, response.status)
	must.Eq(t, 1, len(a.requests())+len(b.requests()))
}

// TestManaged_AllServersRefuse lets every server refuse the request as not
// executed. The caller must get 503 with Retry-After.
func TestManaged_AllServersRefuse(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"))
	p := h.addPlain("plain-1")
	d := h.startDaemon("daemon-1")
	p.mu.Lock()
	for range 20 {
		p.faults = append(p.faults, func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	p.mu.Unlock()
	response := d.call(http.MethodPost, "/claims/1", "claim-1", nil, "claim")
	must.Eq(t, http.StatusServiceUnavailable, response.status)
	must.NotEq(t, "", response.header.Get("Retry-After"))
}

// TestManaged_CrashingRequestQuarantined repeats a request that crashes each
// server that runs it. A daemon must quarantine it after the third crash at the
// latest. The other daemon, which has seen no crash, must quarantine it too, and
// no further server may crash.
func TestManaged_CrashingRequestQuarantined(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"))
	servers := &crashingServers{harness: h, path: "/status/crash", crashesLeft: math.MaxInt}
	for i := range 6 {
		servers.addServer(fmt.Sprintf("plain-%d", i))
	}
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
	const target, body = "/status/crash", "the same body"
	fingerprint := quarantine.FingerprintOf(http.MethodPost, routeHostname, target, body)
	for i, d := range []*daemon{first, second} {
		quarantineService, err := kernel.FindLoaded[contract.Quarantine](d.kernel, contract.NameBalance)
		must.NoError(t, err)
		h.waitFor("the request is quarantined", func() bool {
			if d == first {
				d.call(http.MethodPost, target, fmt.Sprintf("crash-%d", servers.count()), nil, body)
			}
			return coordresult.CodeOf(quarantineService.AwaitVerdict(t.Context(), fingerprint)) == coordresult.Quarantined
		})
		must.LessEq(t, 3, servers.count())
		crashesBefore := servers.count()
		must.NotEq(t, http.StatusOK, d.call(http.MethodPost, target, fmt.Sprintf("again-%d", i), nil, body).status)
		must.Eq(t, crashesBefore, servers.count())
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", i), nil, "").status)
	}
}

// TestManaged_RewardCallsOutliveCrashes lets each server of which an item's reward call
// is asked crash, three in a row, and leaves one. Items never crash servers by
// themselves, so the call must go to the last server and the item be completed.
func TestManaged_RewardCallsOutliveCrashes(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addEngine("engine-1", 3, time.Millisecond)
	servers := &crashingServers{harness: h, path: "/judge/job-1-0", crashesLeft: 3}
	for i := range 4 {
		servers.addServer(fmt.Sprintf("plain-%d", i))
	}
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 1))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 1), 3, 1)
	must.Eq(t, 3, servers.count())
}

// crashingServers are plain servers that close their listener for good at a request for
// a path, until there are no crashes left.
type crashingServers struct {
	harness     *harness
	path        string
	mu          sync.Mutex
	crashCount  int
	crashesLeft int
}

// takeCrash reports whether a server is to crash at a request.
func (c *crashingServers) takeCrash(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path != c.path || c.crashesLeft == 0 {
		return false
	}
	c.crashesLeft--
	c.crashCount++
	return true
}

func (c *crashingServers) addServer(id string) {
	p := &plainServer{id: id}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.takeCrash(r) {
			p.ServeHTTP(w, r)
			return
		}
		_ = p.server.Listener.Close()
		writeRawAndClose(w, "", true)
	}))
	c.harness.t.Cleanup(p.server.CloseClientConnections)
	c.harness.putServerEntry(id, plainService, p.server.Listener.Addr().String(), "ready", nil, 0)
}

// count returns the number of crashed servers.
func (c *crashingServers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashCount
}

// TestManaged_EarlyResponseToLongBody sends a response before the request body has
// been read. The caller must get that response, and the next request its own.
func TestManaged_EarlyResponseToLongBody(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"))
	p := h.addPlain("plain-1")
	d := h.startDaemon("daemon-1")
	p.faults = append(p.faults, func(w http.ResponseWriter, r *http.Request) bool {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Stamp", "early")
		w.WriteHeader(http.StatusUnprocessableEntity)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	response := d.call(http.MethodPost, "/claims/1", "claim-1", nil, strings.Repeat("x", 800<<10))
	must.Eq(t, http.StatusUnprocessableEntity, response.status)
	must.Eq(t, "early", response.header.Get("Server-Stamp"))
	next := d.call(http.MethodPost, "/claims/2", "claim-2", nil, "y")
	must.Eq(t, "POST /claims/2 by claim-2", next.body)
}

// TestManaged_CallerDisconnect closes the caller's connection while a server runs
// the request. The server's request must be cancelled.
func TestManaged_CallerDisconnect(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"))
	p := h.addPlain("plain-1")
	d := h.startDaemon("daemon-1")
	requestStarted, requestCancelled := make(chan struct{}), make(chan struct{})
	p.faults = append(p.faults, func(_ http.ResponseWriter, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		close(requestStarted)
		<-r.Context().Done()
		close(requestCancelled)
		return true
	})
	conn, err := net.Dial("tcp", d.address)
	must.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /status/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: look-1\r\nContent-Length: 0\r\n\r\n", routeHostname)
	must.NoError(t, err)
	<-requestStarted
	must.NoError(t, conn.Close())
	<-requestCancelled
}

// TestManaged_ForwardedDeadline checks the remaining time that servers get in
// Deadline-Ms, at the first attempt and at the one after a slow failure.
func TestManaged_ForwardedDeadline(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"))
	var mu sync.Mutex
	var deadlinesMs []int
	failFirst := func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		if deadlinesMs = append(deadlinesMs, ms); len(deadlinesMs) > 1 {
			return false
		}
		time.Sleep(50 * time.Millisecond)
		return writeRawAndClose(w, "", true)
	}
	for i := range 2 {
		p := h.addPlain(fmt.Sprintf("plain-%d", i))
		p.faults = append(p.faults, failFirst, failFirst)
	}
	d := h.startDaemon("daemon-1")
	must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", "look-1", map[string]string{"Deadline-Ms": "3000"}, "").status)
	must.LessEq(t, 3000, deadlinesMs[0])
	must.LessEq(t, deadlinesMs[0]-50, deadlinesMs[1])
}

// respondWithStatus returns a handler that sends a stamped response without a body.
func respondWithStatus(status int) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Stamp", "status")
		w.WriteHeader(status)
		return true
	}
}

// TestManaged_RewardCallTimeout returns 504 to the first reward calls. A 504 does
// not count as a failed attempt, so the item must complete.
func TestManaged_RewardCallTimeout(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addEngine("engine-1", 3, time.Millisecond)
	p := h.addPlain("plain-1")
	for range 12 {
		p.faults = append(p.faults, respondWithStatus(http.StatusGatewayTimeout))
	}
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 1))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 1), 3, 1)
}

// TestManaged_RewardCallFailure returns 500 to every reward call. The item must be
// given up after at least four calls.
func TestManaged_RewardCallFailure(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addEngine("engine-1", 3, time.Millisecond)
	p := h.addPlain("plain-1")
	for range 40 {
		p.faults = append(p.faults, respondWithStatus(http.StatusInternalServerError))
	}
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 1))
	must.Eq(t, "dead", h.fetchAllResults(d, "job-1", 1)[0].State)
	must.GreaterEq(t, 4, len(p.requests()))
}

// TestManaged_InvalidRequests checks the statuses and codes of requests that can't
// be served.
func TestManaged_InvalidRequests(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	d := h.startDaemon("daemon-1")
	for _, c := range []struct {
		path, id, body string
		status         int
		code           string
	}{
		{"/train/job", "job", "no JSON", http.StatusBadRequest, `{"code":2000}`},
		{"/train/job", "", jobBody("job", 0, 1, 1, 1), http.StatusBadRequest, `{"code":2000}`},
		{"/train/job", "job", `{"items":[]}`, http.StatusBadRequest, `{"code":2000}`},
		{"/status/1", "look", strings.Repeat("x", 1<<20+1), http.StatusRequestEntityTooLarge, `{"code":2004}`},
		{"/nowhere/1", "look", "", http.StatusNotFound, `{"code":2008}`},
	} {
		response := d.call(http.MethodPost, c.path, c.id, nil, c.body)
		must.Eq(t, c.status, response.status, must.Sprint(c.path))
		must.Eq(t, c.code, response.body)
	}
}
