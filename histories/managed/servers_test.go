package managed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	engineService = "assessor"
	plainService  = "portal"
	modelName     = "model-a"
)

// plain is a stand-in of a plain service's server.
type plain struct {
	id     string
	server *httptest.Server

	mu   sync.Mutex
	seen []string
	// faults are taken by the next requests, in order.
	faults []func(w http.ResponseWriter, r *http.Request) bool
}

func (w *world) addPlain(id string) *plain {
	p := &plain{id: id}
	p.server = httptest.NewServer(p)
	w.t.Cleanup(p.server.Close)
	w.list(id, plainService, p.server.Listener.Addr().String(), "ready", nil)
	return p
}

func (p *plain) requests() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.seen...)
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !expected(w, r, p.id) {
		return
	}
	id := r.Header.Get("Attempt-Id")
	p.mu.Lock()
	p.seen = append(p.seen, id)
	var fault func(http.ResponseWriter, *http.Request) bool
	if len(p.faults) > 0 {
		fault, p.faults = p.faults[0], p.faults[1:]
	}
	p.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", stamp(id))
	fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, id)
}

func stamp(id string) string { return "stamp-of-" + id }

// expected answers a request that is meant for another server.
func expected(w http.ResponseWriter, r *http.Request, id string) bool {
	if r.Header.Get("Expect-Instance") == id {
		return true
	}
	w.Header().Set("Instance-Id", id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

// engine is a stand-in of a model engine.
type engine struct {
	id     string
	world  *world
	server *httptest.Server
	pace   time.Duration

	mu      sync.Mutex
	version uint64
	fence   uint64
	orders  uint64
	loading bool
	runs    []run
	// events is the length of every text.
	events int
}

// run is what an engine saw of an item.
type run struct {
	item     string
	after    uint64
	made     int
	version  uint64
	finished bool
	// left is set when the caller went before the end.
	left bool
	at   time.Time
}

func (w *world) addEngine(id string, events int, pace time.Duration) *engine {
	e := &engine{id: id, world: w, version: 1, events: events, pace: pace}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /", e.run)
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected(w, r, id) {
			mux.ServeHTTP(w, r)
		}
	}))
	w.t.Cleanup(e.server.CloseClientConnections)
	w.engines = append(w.engines, e)
	e.enlist()
	return e
}

func (e *engine) enlist() {
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	e.world.list(e.id, engineService, e.server.Listener.Addr().String(), "ready",
		[]map[string]any{{"name": modelName, "version": version}})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Version uint64 `json:"version"`
		Token   uint64 `json:"fencingToken"`
		After   uint64 `json:"expected"`
		Holder  string `json:"holder"`
		Model   string `json:"model"`
		Mode    string `json:"mode"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || asked.Holder == "" || asked.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case asked.Token < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.loading || asked.After != e.orders:
		w.WriteHeader(http.StatusConflict)
	case asked.Version == e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.fence, e.loading = asked.Token, true
		e.orders++
		e.load(asked.Version, asked.Mode)
		w.WriteHeader(http.StatusAccepted)
	}
}

// load begins to load a version, after the runs under way if the mode says so;
// the caller holds the lock.
func (e *engine) load(version uint64, mode string) {
	isIdle := true
	for _, r := range e.runs {
		isIdle = isIdle && (r.finished || r.left)
	}
	if mode == "await" && !isIdle {
		time.AfterFunc(10*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.load(version, mode)
		})
		return
	}
	time.AfterFunc(50*time.Millisecond, func() { e.loaded(version) })
}

func (e *engine) loaded(version uint64) {
	e.mu.Lock()
	e.version, e.loading = version, false
	e.mu.Unlock()
	e.enlist()
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, map[string]any{
		"models": []map[string]any{{"name": modelName, "version": e.version}}, "busy": e.loading, "sequence": e.orders,
	})
}

// eventOf is the data of an item's event.
func eventOf(item string, number int) string { return fmt.Sprintf("%s event %d", item, number) }

func textOf(item string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventOf(item, i+1)
	}
	return strings.Join(lines, "\n")
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	item := r.Header.Get("Attempt-Id")
	after, _ := strconv.ParseUint(r.Header.Get("Last-Event-Id"), 10, 64)
	e.mu.Lock()
	if e.loading {
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	version, events := e.version, e.events
	e.runs = append(e.runs, run{item: item, after: after, version: version, at: time.Now()})
	index := len(e.runs) - 1
	e.mu.Unlock()
	w.Header().Set("Attempt-Id", item)
	w.Header().Set("Server-Stamp", stamp(item))
	if int(after) < events {
		w.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := int(after) + 1; number <= events; number++ {
		e.mu.Lock()
		pace := e.pace
		e.mu.Unlock()
		select {
		case <-time.After(pace):
		case <-r.Context().Done():
			e.mu.Lock()
			e.runs[index].left = true
			e.mu.Unlock()
			return
		}
		fmt.Fprintf(w, "id: %d\n", number)
		e.mu.Lock()
		if e.version != version {
			version = e.version
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		e.runs[index].made++
		e.mu.Unlock()
		fmt.Fprintf(w, "data: %s\n\n", eventOf(item, number))
		if control.Flush() != nil {
			return
		}
	}
	e.mu.Lock()
	e.runs[index].finished = true
	e.mu.Unlock()
}

func (e *engine) setPace(pace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace = pace
}

func (e *engine) seen() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// world is a platform with daemons on it.
type world struct {
	t       *testing.T
	store   *store
	engines []*engine
	daemons []*daemon
}

func newWorld(t *testing.T) *world { return &world{t: t, store: newStore(t)} }

// list writes a server's entry.
func (w *world) list(id, service, address, state string, models []map[string]any) {
	w.store.put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": "zone-a", "slots": 8, "state": state, "sequence": 1, "models": models,
	})
}
