package managed

import (
	"fmt"
	"io"
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
	coded "github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// hijack takes the connection and writes bytes of its own.
func hijack(w http.ResponseWriter, text string, isReset bool) bool {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	if isReset {
		_ = conn.(interface{ SetLinger(int) error }).SetLinger(0)
	}
	_ = conn.Close()
	return true
}

// TestManaged_FaultyAnswersReachNoCaller gives each kind of faulty answer to the
// first attempt of an idempotent request; the second server's answer counts.
func TestManaged_FaultyAnswersReachNoCaller(t *testing.T) {
	faults := map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"cut": func(w http.ResponseWriter, r *http.Request) bool {
			return hijack(w, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nServer-Stamp: s\r\nContent-Length: 50\r\n\r\nhalf", false)
		},
		"no answer": func(w http.ResponseWriter, _ *http.Request) bool { return hijack(w, "", true) },
		"no HTTP":   func(w http.ResponseWriter, _ *http.Request) bool { return hijack(w, "\x00\x01 bytes\r\n\r\n", false) },
		"of another request": func(w http.ResponseWriter, _ *http.Request) bool {
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
			return hijack(w, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nServer-Stamp: s\r\nConnection: close\r\n\r\nhalf", true)
		},
		"failed": func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Server-Stamp", "s")
			w.WriteHeader(http.StatusInternalServerError)
			return true
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			w := calm(t, 1, time.Millisecond)
			p := w.addPlain("plain-2")
			d := w.start("daemon-1")
			p.mu.Lock()
			p.faults = append(p.faults, fault)
			p.mu.Unlock()
			for i := range 20 {
				id := fmt.Sprintf("look-%d", i)
				got := d.call(http.MethodPost, "/status/1", id, nil, "")
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, "POST /status/1 by "+id, got.body)
			}
		})
	}
}

// TestManaged_NonIdempotentRequestRunsOnce loses the answer of a claim: it must
// not run again, and the caller must not be told that it has not run.
func TestManaged_NonIdempotentRequestRunsOnce(t *testing.T) {
	w := newWorld(t)
	w.configure(1, route("/claims/", "non_idempotent"))
	a, b := w.addPlain("plain-1"), w.addPlain("plain-2")
	d := w.start("daemon-1")
	for _, p := range []*plain{a, b} {
		p.mu.Lock()
		p.faults = append(p.faults, func(w http.ResponseWriter, _ *http.Request) bool { return hijack(w, "", true) })
		p.mu.Unlock()
	}
	got := d.call(http.MethodPost, "/claims/1", "claim-1", nil, "claim")
	must.Eq(t, http.StatusBadGateway, got.status)
	must.Eq(t, 1, len(a.requests())+len(b.requests()))
}

// TestManaged_FullServersAreRefusedTruly has every server refuse unrun.
func TestManaged_FullServersAreRefusedTruly(t *testing.T) {
	w := newWorld(t)
	w.configure(1, route("/claims/", "non_idempotent"))
	p := w.addPlain("plain-1")
	d := w.start("daemon-1")
	p.mu.Lock()
	for range 20 {
		p.faults = append(p.faults, func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	p.mu.Unlock()
	got := d.call(http.MethodPost, "/claims/1", "claim-1", nil, "claim")
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

// TestManaged_RequestThatCrashesServersIsHeldBack sends a request that crashes
// each server that runs it until a daemon refuses it, which must be after the
// third at the latest. The other daemon, which has seen no crash, must come to
// refuse it as well, and no further server may fall to it.
func TestManaged_RequestThatCrashesServersIsHeldBack(t *testing.T) {
	w := newWorld(t)
	w.configure(1, route("/status/", "idempotent"))
	crashes := &crashes{world: w}
	for i := range 6 {
		crashes.add(fmt.Sprintf("plain-%d", i))
	}
	first, second := w.start("daemon-1"), w.start("daemon-2")
	w.until("both daemons are live", func() bool { return len(w.store.find("flamingobeam/session/member/")) == 2 })
	const target, body = "/status/crash", "the same body"
	fingerprint := quarantine.FingerprintOf(http.MethodPost, host, target, body)
	for i, d := range []*daemon{first, second} {
		held, err := kernel.FindLoaded[contract.Quarantine](d.kernel, contract.NameBalance)
		must.NoError(t, err)
		w.until("the request is quarantined", func() bool {
			if d == first {
				d.call(http.MethodPost, target, fmt.Sprintf("crash-%d", crashes.count()), nil, body)
			}
			return coded.CodeOf(held.AwaitVerdict(t.Context(), fingerprint)) == coded.Quarantined
		})
		must.LessEq(t, 3, crashes.count())
		fell := crashes.count()
		must.NotEq(t, http.StatusOK, d.call(http.MethodPost, target, fmt.Sprintf("again-%d", i), nil, body).status)
		must.Eq(t, fell, crashes.count())
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", i), nil, "").status)
	}
}

// crashes are plain servers that close their listener for good at the path
// /status/crash.
type crashes struct {
	world *world
	mu    sync.Mutex
	fell  int
}

func (c *crashes) add(id string) {
	p := &plain{id: id}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status/crash" {
			p.ServeHTTP(w, r)
			return
		}
		c.mu.Lock()
		c.fell++
		c.mu.Unlock()
		_ = p.server.Listener.Close()
		hijack(w, "", true)
	}))
	c.world.t.Cleanup(p.server.CloseClientConnections)
	c.world.list(id, plainService, p.server.Listener.Addr().String(), "ready", nil)
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fell
}

// TestManaged_EarlyAnswerToALongBody answers before the body is read and reads
// on: the caller gets that answer, and the next request its own.
func TestManaged_EarlyAnswerToALongBody(t *testing.T) {
	w := newWorld(t)
	w.configure(1, route("/claims/", "non_idempotent"))
	p := w.addPlain("plain-1")
	d := w.start("daemon-1")
	p.faults = append(p.faults, func(w http.ResponseWriter, r *http.Request) bool {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Stamp", "early")
		w.WriteHeader(http.StatusUnprocessableEntity)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	got := d.call(http.MethodPost, "/claims/1", "claim-1", nil, strings.Repeat("x", 800<<10))
	must.Eq(t, http.StatusUnprocessableEntity, got.status)
	must.Eq(t, "early", got.header.Get("Server-Stamp"))
	next := d.call(http.MethodPost, "/claims/2", "claim-2", nil, "y")
	must.Eq(t, "POST /claims/2 by claim-2", next.body)
}

// TestManaged_ServerStopsWhenTheCallerHasLeft closes a caller's connection while
// a server works for it.
func TestManaged_ServerStopsWhenTheCallerHasLeft(t *testing.T) {
	w := newWorld(t)
	w.configure(1, route("/status/", "idempotent"))
	p := w.addPlain("plain-1")
	d := w.start("daemon-1")
	began, left := make(chan struct{}), make(chan struct{})
	p.faults = append(p.faults, func(_ http.ResponseWriter, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		close(left)
		return true
	})
	conn, err := net.Dial("tcp", d.address)
	must.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /status/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: look-1\r\nContent-Length: 0\r\n\r\n", host)
	must.NoError(t, err)
	<-began
	must.NoError(t, conn.Close())
	<-left
}

// TestManaged_ServerIsGivenTheTimeThatIsLeft reads the time that servers are
// given, at the first attempt and at one after a failure that took a while.
func TestManaged_ServerIsGivenTheTimeThatIsLeft(t *testing.T) {
	w := newWorld(t)
	w.configure(1, route("/status/", "idempotent"))
	var mu sync.Mutex
	var given []int
	slow := func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		if given = append(given, ms); len(given) > 1 {
			return false
		}
		time.Sleep(50 * time.Millisecond)
		return hijack(w, "", true)
	}
	for i := range 2 {
		p := w.addPlain(fmt.Sprintf("plain-%d", i))
		p.faults = append(p.faults, slow, slow)
	}
	d := w.start("daemon-1")
	must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", "look-1", map[string]string{"Deadline-Ms": "3000"}, "").status)
	must.LessEq(t, 3000, given[0])
	must.LessEq(t, given[0]-50, given[1])
}

// answered is a server's own answer with a status and no body.
func answered(status int) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Stamp", "status")
		w.WriteHeader(status)
		return true
	}
}

// TestManaged_RewardCallThatTimesOutKillsNoItem answers reward calls with 504,
// which is no failed attempt of the call, and then as usual.
func TestManaged_RewardCallThatTimesOutKillsNoItem(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	w.addEngine("engine-1", 3, time.Millisecond)
	p := w.addPlain("plain-1")
	for range 12 {
		p.faults = append(p.faults, answered(http.StatusGatewayTimeout))
	}
	d := w.start("daemon-1")
	submit(w, d, "job-1", jobOf("job-1", 0, 1, 1, 1))
	w.check("job-1", w.whole(d, "job-1", 1), 3, 1)
}

// TestManaged_RewardCallThatAlwaysFailsKillsItsItem answers every reward call
// with 500.
func TestManaged_RewardCallThatAlwaysFailsKillsItsItem(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	w.addEngine("engine-1", 3, time.Millisecond)
	p := w.addPlain("plain-1")
	for range 40 {
		p.faults = append(p.faults, answered(http.StatusInternalServerError))
	}
	d := w.start("daemon-1")
	submit(w, d, "job-1", jobOf("job-1", 0, 1, 1, 1))
	must.Eq(t, "dead", w.whole(d, "job-1", 1)[0].State)
	must.GreaterEq(t, 4, len(p.requests()))
}

// TestManaged_BadInputIsRefusedByNumber sends what cannot be served.
func TestManaged_BadInputIsRefusedByNumber(t *testing.T) {
	w := calm(t, 1, time.Millisecond)
	d := w.start("daemon-1")
	for _, c := range []struct {
		path, id, body string
		status         int
		code           string
	}{
		{"/train/job", "job", "no JSON", http.StatusBadRequest, `{"code":2000}`},
		{"/train/job", "", jobOf("job", 0, 1, 1, 1), http.StatusBadRequest, `{"code":2000}`},
		{"/train/job", "job", `{"items":[]}`, http.StatusBadRequest, `{"code":2000}`},
		{"/status/1", "look", strings.Repeat("x", 1<<20+1), http.StatusRequestEntityTooLarge, `{"code":2004}`},
		{"/nowhere/1", "look", "", http.StatusNotFound, `{"code":2008}`},
	} {
		got := d.call(http.MethodPost, c.path, c.id, nil, c.body)
		must.Eq(t, c.status, got.status, must.Sprint(c.path))
		must.Eq(t, c.code, got.body)
	}
}
