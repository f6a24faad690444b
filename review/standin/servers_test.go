package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelName is the model of the engines, and portal and models are the services.
const (
	modelName = "daka510000"
	portal    = "huvo11a"
	models    = "wuno96b"
	heartbeat = 1200 * time.Millisecond
)

// run is one run of a request at a server.
type run struct {
	id         string
	method     string
	startedAt  time.Time
	endedAt    time.Time
	after      uint64
	events     int
	callerGone bool
}

// server plays a backend server: a plain one, which also streams, or a model engine.
type server struct {
	id, address, zone, service string
	slots                      int
	world                      *world

	mu       sync.Mutex
	sequence int
	runs     []*run
	active   int
	// work is how long a plain request takes.
	work time.Duration
	// loseAnswer is asked after each plain request that has run.
	loseAnswer func() bool
	// pieces and pace are the number of a stream's events and the time between them.
	pieces int
	pace   time.Duration
	// orders and token belong to an engine, and version is that of its weights.
	orders  int
	token   uint64
	version uint64
}

// stamp is a server's signature of a request's answer.
func stamp(id string) string { return "3e1b." + id }

// eventText is the data of an event, which depends on the request alone.
func eventText(id string, number int) string { return fmt.Sprintf("%s/%d", id, number) }

func (s *server) start() {
	serve(s.address, s)
	s.version = 1
	go func() {
		for {
			s.beat()
			time.Sleep(heartbeat)
		}
	}()
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.world.startedAt.UnixMilli(),
	}
	if s.service == models {
		entry["stage"], entry["models"] = "dual", []map[string]any{{"name": modelName, "version": s.version, "loraAdapters": []string{}}}
	}
	s.mu.Unlock()
	s.world.store.put("servers/"+s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
	case s.service == models && r.URL.Path == "/api/report":
		s.report(w)
	case s.service == models && r.URL.Path == "/api/order":
		s.order(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "dual", "models": []map[string]any{{"name": modelName, "version": s.version, "loraAdapters": []string{}}},
		"busy": false, "sequence": s.orders, "queueDepth": 0, "activeCount": s.active, "kvUsed": 0, "kvTotal": 114094, "handles": 0,
		"born": s.world.startedAt.UnixMilli(),
	})
}

// order answers an order. No trainer names a version in these cases, so that each order
// already holds or names a version that does not exist.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version uint64 `json:"version"`
		Holder  string `json:"holder"`
		Token   uint64 `json:"fencingToken"`
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil || order.Holder == "" || order.Token == 0 || order.Version != s.version:
		w.WriteHeader(http.StatusBadRequest)
	case order.Token < s.token:
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		s.token = order.Token
		w.WriteHeader(http.StatusOK)
	}
}

// begin records a run, or returns nil if all slots are taken.
func (s *server) begin(r *http.Request, after uint64) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.slots {
		return nil
	}
	s.active++
	begun := &run{id: r.Header.Get("Attempt-Id"), method: r.Method, startedAt: time.Now(), after: after}
	s.runs = append(s.runs, begun)
	return begun
}

func (s *server) end(ended *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	ended.endedAt = time.Now()
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	after, _ := strconv.ParseUint(r.Header.Get("Last-Event-Id"), 10, 64)
	w.Header().Set("Attempt-Id", id)
	begun := s.begin(r, after)
	if begun == nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end(begun)
	s.world.note("server %s runs %s %s id=%s after=%d body=%d", s.id, r.Method, r.URL.Path, id, after, len(body))
	w.Header().Set("Server-Stamp", stamp(id))
	if s.service == models || strings.HasPrefix(r.URL.Path, streamPrefix) {
		s.stream(w, r, begun, int(after))
		return
	}
	time.Sleep(s.work)
	if s.loseAnswer != nil && s.loseAnswer() {
		s.world.note("server %s loses the answer of id=%s and resets", s.id, id)
		reset(w)
		return
	}
	text := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// stream sends the events of a request after the one with the given number.
func (s *server) stream(w http.ResponseWriter, r *http.Request, begun *run, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if s.service == models && after < s.pieces {
		w.Header().Set("Weight-Versions", strconv.FormatUint(s.version, 10))
	}
	control := http.NewResponseController(w)
	for number := after + 1; number <= s.pieces; number++ {
		select {
		case <-time.After(s.pace):
		case <-r.Context().Done():
			s.mu.Lock()
			begun.callerGone = true
			s.mu.Unlock()
			s.world.note("server %s: caller of id=%s is gone after event %d", s.id, begun.id, number-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, eventText(begun.id, number))
		if control.Flush() == nil {
			s.mu.Lock()
			begun.events = number
			s.mu.Unlock()
		}
	}
}

// observed returns copies of the runs so far.
func (s *server) observed() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]run, 0, len(s.runs))
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}
