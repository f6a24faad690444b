package managed

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

const (
	engineService = "assessor"
	plainService  = "portal"
	modelName     = "model-a"
)

// plainServer emulates a server of a plain service.
type plainServer struct {
	id     string
	server *httptest.Server

	mu         sync.Mutex
	attemptIDs []string
	headers    []http.Header
	// arrivals are the times of the requests.
	arrivals []time.Time
	// faults handle the next requests, one each and in order. A fault that returns
	// false leaves the response to the server.
	faults []func(w http.ResponseWriter, r *http.Request) bool
	// notices are headers that the server adds to all its responses.
	notices map[string]string
}

// announce adds a header to all further responses.
func (p *plainServer) announce(header, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices = map[string]string{header: value}
}

// update calls a function with p.mu held, to change the injected faults.
func (p *plainServer) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (h *harness) addPlain(id string) *plainServer {
	p := &plainServer{id: id}
	p.server = httptest.NewServer(p)
	h.t.Cleanup(p.server.Close)
	h.putServerEntry(id, plainService, p.server.Listener.Addr().String(), "ready", nil, 0)
	return p
}

func (p *plainServer) requests() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.attemptIDs...)
}

// headersOf returns the headers of the requests that arrived, in order.
func (p *plainServer) headersOf() []http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]http.Header(nil), p.headers...)
}

// arrivalTimes returns when requests arrived, in order.
func (p *plainServer) arrivalTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.arrivals...)
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !checkInstance(w, r, p.id) {
		return
	}
	id := r.Header.Get("Attempt-Id")
	p.mu.Lock()
	p.headers = append(p.headers, r.Header.Clone())
	p.attemptIDs, p.arrivals = append(p.attemptIDs, id), append(p.arrivals, time.Now())
	var fault func(http.ResponseWriter, *http.Request) bool
	if len(p.faults) > 0 {
		fault, p.faults = p.faults[0], p.faults[1:]
	}
	for name, value := range p.notices {
		w.Header().Set(name, value)
	}
	p.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", serverStamp(id))
	fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, id)
}

func serverStamp(id string) string { return "stamp-of-" + id }

// checkInstance reports whether a request is meant for the server id. If not, it
// responds with 421 and the server's ID.
func checkInstance(w http.ResponseWriter, r *http.Request, id string) bool {
	if r.Header.Get("Expect-Instance") == id {
		return true
	}
	w.Header().Set("Instance-Id", id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

// harness is an emulated platform with daemons on it.
type harness struct {
	t       *testing.T
	store   *storeEmulator
	engines []*engine
	daemons []*daemon
	// workspaces is the list of workspaces in the configurations; nil leaves it out.
	workspaces []map[string]any
	// logs receives the logs of the daemons that start in this process, unless it is nil.
	logs io.Writer
}

func newHarness(t *testing.T) *harness { return &harness{t: t, store: newStoreEmulator(t)} }

// putServerEntry writes a server's entry to the store.
func (h *harness) putServerEntry(id, service, address, state string, models []map[string]any, started int64) {
	h.store.put("servers/"+id, serverEntry(service, address, state, models, started))
}

func serverEntry(service, address, state string, models []map[string]any, started int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "slots": 8, "state": state, "sequence": 1, "models": models,
		"born": started,
	}
}
