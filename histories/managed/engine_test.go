package managed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine emulates a model engine.
type engine struct {
	id      string
	harness *harness
	server  *httptest.Server
	pace    time.Duration

	mu      sync.Mutex
	version uint64
	// highestToken is the highest accepted fencing token; orders below it are refused.
	highestToken uint64
	orderCount   uint64
	isLoading    bool
	runs         []engineRun
	// eventCount is the number of events of each text.
	eventCount int
	// dripAfter is the number of events after which each stream only gets a byte of
	// the next event now and then; zero means never. It is set before the first run.
	dripAfter int
	// breakAfter is the number of events after which the next stream breaks off; zero
	// means never.
	breakAfter int
	// faults handle the next resumed runs, one each and in order.
	faults []func(w http.ResponseWriter, r *http.Request)
	// notices are headers that the engine adds to the responses to items.
	notices map[string]string
	// started is the start time in the engine's entry, in Unix milliseconds.
	started int64
	// advertised is the address in the engine's entry; empty means its own.
	advertised string
	// software is the version of the engine's software.
	software   string
	isDraining bool
}

// announce adds a header to all further responses to items.
func (e *engine) announce(header, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notices = map[string]string{header: value}
}

// restart starts the engine again under its ID, without notices.
func (e *engine) restart() {
	e.mu.Lock()
	e.notices = nil
	e.started++
	e.mu.Unlock()
	e.putEntry()
}

// engineRun is one run of an item at an engine.
type engineRun struct {
	item string
	// resumedAfter is the number of the last event that the caller had already got.
	resumedAfter uint64
	eventsSent   int
	version      uint64
	// versions are the weight versions of the events sent.
	versions []uint64
	finished bool
	// callerGone is set when the caller closed the stream before its end.
	callerGone bool
	startedAt  time.Time
	header     http.Header
}

func (h *harness) addEngine(id string, events int, pace time.Duration) *engine {
	return h.addEngineOf("v1", id, events, pace)
}

// addEngineOf adds an engine of a software version.
func (h *harness) addEngineOf(software, id string, events int, pace time.Duration) *engine {
	e := &engine{id: id, harness: h, version: 1, eventCount: events, pace: pace, software: software}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/order", e.handleOrder)
	mux.HandleFunc("GET /api/report", e.handleReport)
	mux.HandleFunc("POST /", e.handleRun)
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if checkInstance(w, r, id) {
			mux.ServeHTTP(w, r)
		}
	}))
	h.t.Cleanup(e.server.CloseClientConnections)
	h.engines = append(h.engines, e)
	e.putEntry()
	return e
}

// drain announces in the engine's entry that it takes no new work.
func (e *engine) drain() {
	e.mu.Lock()
	e.isDraining = true
	e.mu.Unlock()
	e.putEntry()
}

// putEntry writes the engine's entry with its current weight version.
func (e *engine) putEntry() {
	e.mu.Lock()
	version, started, state, address := e.version, e.started, "ready", e.advertised
	if e.isDraining {
		state = "draining"
	}
	e.mu.Unlock()
	if address == "" {
		address = e.server.Listener.Addr().String()
	}
	entry := serverEntry(engineService, address, state,
		[]map[string]any{{"name": modelName, "version": version}}, started)
	if e.software != "" {
		entry["version"] = e.software
	}
	e.harness.store.put("servers/"+e.id, entry)
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version uint64 `json:"version"`
		Token   uint64 `json:"fencingToken"`
		After   uint64 `json:"expected"`
		Holder  string `json:"holder"`
		Model   string `json:"model"`
		Mode    string `json:"mode"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" || order.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Token < e.highestToken:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.isLoading || order.After != e.orderCount:
		w.WriteHeader(http.StatusConflict)
	case order.Version == e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.highestToken, e.isLoading = order.Token, true
		e.orderCount++
		e.startLoad(order.Version, order.Mode)
		w.WriteHeader(http.StatusAccepted)
	}
}

// startLoad starts a weight swap. In the mode "await" it waits for the current runs
// first. The caller must hold e.mu.
func (e *engine) startLoad(version uint64, mode string) {
	isIdle := true
	for _, r := range e.runs {
		isIdle = isIdle && (r.finished || r.callerGone)
	}
	if mode == "await" && !isIdle {
		time.AfterFunc(10*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.startLoad(version, mode)
		})
		return
	}
	time.AfterFunc(50*time.Millisecond, func() { e.finishLoad(version) })
}

// finishLoad completes a weight swap.
func (e *engine) finishLoad(version uint64) {
	e.mu.Lock()
	e.version, e.isLoading = version, false
	e.mu.Unlock()
	e.putEntry()
}

func (e *engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"models": []map[string]any{{"name": modelName, "version": e.version}}, "busy": e.isLoading, "sequence": e.orderCount,
	})
}

// eventData returns the data of an item's event.
func eventData(item string, number int) string { return fmt.Sprintf("%s event %d", item, number) }

// outputText returns the complete text of an item.
func outputText(item string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventData(item, i+1)
	}
	return strings.Join(lines, "\n")
}

func (e *engine) handleRun(w http.ResponseWriter, r *http.Request) {
	item := r.Header.Get("Attempt-Id")
	after, _ := strconv.ParseUint(r.Header.Get("Last-Event-Id"), 10, 64)
	e.mu.Lock()
	if e.isLoading {
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if after > 0 && len(e.faults) > 0 {
		fault := e.faults[0]
		e.faults = e.faults[1:]
		e.mu.Unlock()
		fault(w, r)
		return
	}
	version, events := e.version, e.eventCount
	for name, value := range e.notices {
		w.Header().Set(name, value)
	}
	e.runs = append(e.runs, engineRun{item: item, resumedAfter: after, version: version, startedAt: time.Now(), header: r.Header.Clone()})
	index := len(e.runs) - 1
	e.mu.Unlock()
	w.Header().Set("Attempt-Id", item)
	w.Header().Set("Server-Stamp", serverStamp(item))
	if int(after) < events {
		w.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	// The times of events add up from the start, so that a text takes no longer on a busy
	// machine.
	dueAt := time.Now()
	for number := int(after) + 1; number <= events; number++ {
		e.mu.Lock()
		dueAt = dueAt.Add(e.pace)
		e.mu.Unlock()
		select {
		case <-time.After(time.Until(dueAt)):
		case <-r.Context().Done():
			e.mu.Lock()
			e.runs[index].callerGone = true
			e.mu.Unlock()
			return
		}
		if e.takeBreak(number) {
			panic(http.ErrAbortHandler)
		}
		if e.dripAfter > 0 && number > e.dripAfter {
			e.drip(w, r)
			e.mu.Lock()
			e.runs[index].callerGone = true
			e.mu.Unlock()
			return
		}
		fmt.Fprintf(w, "id: %d\n", number)
		e.mu.Lock()
		if e.version != version {
			version = e.version
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		e.runs[index].eventsSent++
		if !slices.Contains(e.runs[index].versions, version) {
			e.runs[index].versions = append(e.runs[index].versions, version)
		}
		e.mu.Unlock()
		fmt.Fprintf(w, "data: %s\n\n", eventData(item, number))
		if controller.Flush() != nil {
			return
		}
	}
	e.mu.Lock()
	e.runs[index].finished = true
	e.mu.Unlock()
}

// takeBreak reports whether a stream is to break off before an event.
func (e *engine) takeBreak(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.breakAfter == 0 || number <= e.breakAfter {
		return false
	}
	e.breakAfter = 0
	return true
}

// drip sends a byte of an unfinished event now and then until the caller disconnects.
func (e *engine) drip(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	for {
		select {
		case <-time.After(20 * time.Millisecond):
			fmt.Fprint(w, ":")
			_ = controller.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (e *engine) setPace(pace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace = pace
}

// setPaces sets the pace of all engines.
func (h *harness) setPaces(pace time.Duration) {
	for _, e := range h.engines {
		e.setPace(pace)
	}
}

// observedRuns returns a copy of the runs so far, in order of arrival.
func (e *engine) observedRuns() []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engineRun(nil), e.runs...)
}
