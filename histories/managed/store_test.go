package managed

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// record is a value of the store.
type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdRev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's store, over HTTP on loopback.
type store struct {
	server *httptest.Server

	mu       sync.Mutex
	records  map[string]record
	history  []record
	floor    uint64
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{}
	// down refuses every call, and loseNext so many commits lose their answers.
	down     bool
	loseNext int
	// deaf watches hear nothing until they are cut in silence.
	deaf  bool
	calls map[string]int
}

func newStore(t *testing.T) *store {
	s := &store{
		records: make(map[string]record), leases: make(map[uint64]*lease), revision: 1,
		changed: make(chan struct{}), calls: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		down := s.down
		s.expire()
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(s.server.Close)
	return s
}

func (s *store) address() string { return s.server.Listener.Addr().String() }

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// expire ends the leases that are over; the caller holds the lock.
func (s *store) expire() {
	for id, held := range s.leases {
		if time.Now().After(held.ends) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	s.revision++
	delete(s.records, key)
	s.note(record{Key: key, Revision: s.revision, Removed: true})
}

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

// put writes as the operator and the servers do.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
}

// take removes a key as the platform does.
func (s *store) take(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// set changes the faults.
func (s *store) set(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// find returns the records under a prefix.
func (s *store) find(prefix string) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.under(prefix)
}

func (s *store) under(prefix string) []record {
	var found []record
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.records[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, found)
}

// pageSize is small, so that listings have several pages.
const pageSize = 3

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var items []record
	more := false
	for _, found := range s.under(r.URL.Query().Get("pathPrefix")) {
		if found.Key <= after {
			continue
		}
		if more = len(items) == pageSize; more {
			break
		}
		items = append(items, found)
	}
	reply(w, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []record
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, r.URL.Query().Get("pathPrefix")) && !s.deaf {
				events = append(events, change)
			}
		}
		revision, changed, deaf := s.revision, s.changed, s.deaf
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		case <-timeout:
			if deaf {
				<-r.Context().Done()
				return
			}
			reply(w, map[string]any{"events": []record{}, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []record `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || len(asked.Expected)+len(asked.Writes)+len(asked.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := s.apply(asked.Writes, asked.Remove, func() bool {
		return !slices.ContainsFunc(asked.Expected, func(e struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		}) bool {
			return s.records[e.Key].Revision != e.Revision
		})
	})
	revision, lose := s.revision, s.loseNext > 0 && status == http.StatusOK
	if lose {
		s.loseNext--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	reply(w, map[string]any{"revision": revision})
}

func (s *store) apply(writes []record, remove []string, holds func() bool) int {
	for _, write := range writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound
		}
	}
	if !holds() {
		return http.StatusPreconditionFailed
	}
	s.revision++
	for _, write := range writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range remove {
		delete(s.records, key)
		s.note(record{Key: key, Revision: s.revision, Removed: true})
	}
	return http.StatusOK
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTL int64 `json:"ttlMs"`
	}
	body, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(body, &asked); err != nil || asked.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(asked.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": s.revision, "ttlMs": asked.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.ends = time.Now().Add(held.ttl)
	reply(w, map[string]any{"ttlMs": held.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	fmt.Fprint(w, "{}")
}
