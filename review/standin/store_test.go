package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is a versioned value of the store, or the removal of a key.
type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdRev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// storeAnswerTime is how long the store takes for a call.
const storeAnswerTime = 4 * time.Millisecond

// store plays the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	records  map[string]record
	history  []record
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{}
	// busyUntil is until when every new call gets 503.
	busyUntil time.Time
	// onCommit may lose the answer of a write that was made: it is called with the
	// keys that the write wrote.
	onCommit func(keys []string) (loseAnswer bool)
}

func newStore(address string) *store {
	s := &store{
		address: address, records: make(map[string]record), leases: make(map[uint64]*lease), revision: 1,
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endCall)
	serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		s.mu.Lock()
		busy := time.Now().Before(s.busyUntil)
		if !busy {
			s.expire()
		}
		s.mu.Unlock()
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// serve listens at an address and serves HTTP there until the process ends.
func serve(address string, handler http.Handler) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen at %s: %v", address, err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// beBusy answers new calls with 503 for a time. Leases pause meanwhile. The lock must be
// held.
func (s *store) beBusy(length time.Duration) {
	s.busyUntil = time.Now().Add(length)
	for _, l := range s.leases {
		l.expiry = l.expiry.Add(length)
	}
}

// expire ends the expired leases. The lock must be held.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.Lease == id {
			s.revision++
			s.drop(key)
		}
	}
}

// drop removes a key at the present revision. The lock must be held.
func (s *store) drop(key string) {
	delete(s.records, key)
	s.note(record{Key: key, Revision: s.revision, Removed: true})
}

// write writes a key at the present revision. The lock must be held.
func (s *store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.records[key]; ok {
		created = old.Created
	}
	s.records[key] = record{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.note(s.records[key])
}

func (s *store) note(r record) {
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key of the operator, a trainer or a server.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
}

// keys returns the keys under a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// value returns the value of a key as text.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.records[key].Value)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.records[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		record
		AsOf uint64 `json:"asOf"`
	}{found, s.revision})
}

// pageItems is the number of items on a page of a list.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	items := []record{}
	for key, found := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	slices.SortFunc(items, func(a, b record) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	writeJSON(w, map[string]any{"items": items[:min(pageItems, len(items))], "hasMore": more, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		busy := time.Now().Before(s.busyUntil)
		events := []record{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 && !busy {
			writeJSON(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
			s.mu.Lock()
			if !time.Now().Before(s.busyUntil) {
				s.expire()
			}
			s.mu.Unlock()
		case <-timeout:
			if busy {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			writeJSON(w, map[string]any{"events": events, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Writes []record `json:"writes"`
	Remove []string `json:"remove"`
}

// maxValueBytes is the platform's valueBytes.
const maxValueBytes = 1 << 20

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, items := s.apply(t)
	revision, lose := s.revision, false
	if status == http.StatusOK && s.onCommit != nil {
		var keys []string
		for _, write := range t.Writes {
			keys = append(keys, write.Key)
		}
		lose = s.onCommit(keys)
	}
	s.mu.Unlock()
	switch {
	case lose:
		reset(w)
	case status == http.StatusOK:
		writeJSON(w, map[string]any{"revision": revision})
	case status == http.StatusPreconditionFailed:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
	default:
		w.WriteHeader(status)
	}
}

// apply makes a transaction and returns its status. The lock must be held.
func (s *store) apply(t transaction) (int, []record) {
	for _, write := range t.Writes {
		switch {
		case strings.HasPrefix(write.Key, "op/"), strings.HasPrefix(write.Key, "servers/"):
			return http.StatusForbidden, nil
		case len(write.Value) > maxValueBytes:
			return http.StatusRequestEntityTooLarge, nil
		case write.Lease != 0 && s.leases[write.Lease] == nil:
			return http.StatusNotFound, nil
		}
	}
	items, holds := []record{}, true
	for _, e := range t.Expected {
		found, ok := s.records[e.Key]
		if ok {
			items = append(items, found)
		}
		holds = holds && found.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, items
	}
	s.revision++
	for _, write := range t.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.records[key]; ok {
			s.drop(key)
		}
	}
	return http.StatusOK, nil
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttlMs": request.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	writeJSON(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endCall(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	writeJSON(w, map[string]any{})
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
