package standin2

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is a key of the platform's store.
type record struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdRev"`
	Lease    uint64 `json:"lease"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// change is one entry of the history that watches read.
type change struct {
	key      string
	revision uint64
	removed  bool
	written  record
}

// platformStore is a sound stand-in of the platform's metadata store.
type platformStore struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	records  map[string]record
	leases   map[uint64]*lease
	history  []change
	next     uint64
	listener net.Listener
}

func startStore(address string) (*platformStore, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &platformStore{
		changed: make(chan struct{}), revision: 100, records: make(map[string]record), leases: make(map[uint64]*lease), listener: listener,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expire()
	return s, nil
}

func (s *platformStore) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease with its keys. The lock must be held.
func (s *platformStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *platformStore) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.history = append(s.history, change{key: key, revision: s.revision, removed: true})
}

func (s *platformStore) write(key, value string, leaseID uint64) {
	r := record{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.records[key]; ok {
		r.Created = old.Created
	}
	s.records[key] = r
	s.history = append(s.history, change{key: key, revision: s.revision, written: r})
}

func (s *platformStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key on behalf of the operator, a server or a trainer.
func (s *platformStore) put(key string, value any) {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(encoded), 0)
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.records[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		record
		AsOf uint64 `json:"asOf"`
	}{found, asOf})
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []record{}
	for key, found := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	size, count := 0, 0
	for count < len(items) && count < 500 && (count == 0 || size < 1<<20) {
		size += len(items[count].Value)
		count++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:count], "hasMore": count < len(items), "asOf": asOf})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	ends := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
		for _, c := range s.history[first:] {
			switch {
			case !strings.HasPrefix(c.key, query.Get("pathPrefix")):
			case c.removed:
				events = append(events, map[string]any{"key": c.key, "revision": c.revision, "removed": true})
			default:
				events = append(events, c.written)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-ends:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []record{}, true
	for _, e := range call.Expected {
		found, ok := s.records[e.Key]
		if ok {
			current = append(current, found)
		}
		holds = holds && found.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, written := range call.Writes {
		if strings.HasPrefix(written.Key, "op/") || strings.HasPrefix(written.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if written.Lease != 0 && s.leases[written.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, key := range call.Remove {
		s.remove(key)
	}
	for _, written := range call.Writes {
		s.write(written.Key, written.Value, written.Lease)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *platformStore) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	ttl := time.Duration(min(max(call.TTL, 1000), 600000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttlMs": ttl.Milliseconds()})
}

func (s *platformStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *platformStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}
