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

// record is a versioned value of the store, or the removal of a key.
type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createdRev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// disturbance is a fault of the store at one transaction.
type disturbance uint8

const (
	undisturbed disturbance = iota
	// loseReply applies the transaction and closes the connection without a response.
	loseReply
	// refuseCall responds with status 503 and applies nothing.
	refuseCall
)

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// storeEmulator emulates the platform's transactional store, over HTTP on
// loopback.
type storeEmulator struct {
	server *httptest.Server

	mu      sync.Mutex
	records map[string]record
	history []record
	// compactRevision is the oldest revision after which a watch can start; older
	// ones get 410.
	compactRevision uint64
	revision        uint64
	leases          map[uint64]*lease
	changeSignal    chan struct{}
	// down refuses every call. responsesToLose is the number of transactions to come
	// that take effect but lose their response.
	down            bool
	responsesToLose int
	// disturb chooses what happens to a transaction with these keys; nil disturbs none.
	// It is called with mu held.
	disturb func(keys []string) disturbance
	// silentWatches makes watches deliver no events and send no response at their
	// timeout.
	silentWatches bool
	// latency delays transactions and reads of a key, which are executed even if the
	// caller gives up meanwhile.
	latency    time.Duration
	callCounts map[string]int
}

func newStoreEmulator(t *testing.T) *storeEmulator {
	s := &storeEmulator{
		records: make(map[string]record), leases: make(map[uint64]*lease), revision: 1,
		changeSignal: make(chan struct{}), callCounts: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.handleGet)
	mux.HandleFunc("GET /api/kv-range", s.handleList)
	mux.HandleFunc("GET /api/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /api/kv-txn", s.handleTransaction)
	mux.HandleFunc("POST /api/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.handleKeepAlive)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.handleRevoke)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[r.URL.Path]++
		down, latency := s.down, s.latency
		s.expireLeases()
		s.mu.Unlock()
		if r.URL.Path == "/api/kv-txn" || r.URL.Path == "/api/kv-key" {
			<-time.After(latency)
		}
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(s.server.Close)
	return s
}

func (s *storeEmulator) address() string { return s.server.Listener.Addr().String() }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// expireLeases ends the expired leases. The caller must hold s.mu.
func (s *storeEmulator) expireLeases() {
	for id, lease := range s.leases {
		if time.Now().After(lease.expiry) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its records. The caller must hold s.mu.
func (s *storeEmulator) endLease(id uint64) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.Lease == id {
			s.removeRecord(key)
		}
	}
}

// removeRecord removes a key at a new revision. The caller must hold s.mu.
func (s *storeEmulator) removeRecord(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	s.revision++
	delete(s.records, key)
	s.appendHistory(record{Key: key, Revision: s.revision, Removed: true})
}

// writeRecord writes a key at the current revision. The caller must hold s.mu.
func (s *storeEmulator) writeRecord(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.records[key]; ok {
		created = old.Created
	}
	s.records[key] = record{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.appendHistory(s.records[key])
}

// appendHistory adds an event to the history and wakes the watches. The caller
// must hold s.mu.
func (s *storeEmulator) appendHistory(r record) {
	s.history = append(s.history, r)
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// put writes a key that belongs to the operator or to a server.
func (s *storeEmulator) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putBytes(key, encoded)
}

// putBytes is put for a value that need not be JSON.
func (s *storeEmulator) putBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.writeRecord(key, value, 0)
}

// removeKey removes a key on behalf of the platform.
func (s *storeEmulator) removeKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRecord(key)
}

// update calls a function with s.mu held, to change the injected faults.
func (s *storeEmulator) update(change func(*storeEmulator)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// recordsUnder returns the records under a prefix, sorted by key.
func (s *storeEmulator) recordsUnder(prefix string) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordsUnderLocked(prefix)
}

// recordsUnderLocked is recordsUnder for callers that hold s.mu.
func (s *storeEmulator) recordsUnderLocked(prefix string) []record {
	var found []record
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (s *storeEmulator) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.records[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, existing)
}

// pageSize is small, so that most lists have several pages.
const pageSize = 3

func (s *storeEmulator) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var items []record
	hasMore := false
	for _, found := range s.recordsUnderLocked(r.URL.Query().Get("pathPrefix")) {
		if found.Key <= after {
			continue
		}
		if hasMore = len(items) == pageSize; hasMore {
			break
		}
		items = append(items, found)
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": hasMore, "asOf": s.revision})
}

func (s *storeEmulator) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compactRevision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []record
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, r.URL.Query().Get("pathPrefix")) && !s.silentWatches {
				events = append(events, change)
			}
		}
		revision, changeSignal, silentWatches := s.revision, s.changeSignal, s.silentWatches
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changeSignal:
		case <-time.After(50 * time.Millisecond):
			s.mu.Lock()
			s.expireLeases()
			s.mu.Unlock()
		case <-timeout:
			if silentWatches {
				<-r.Context().Done()
				return
			}
			writeJSON(w, map[string]any{"events": []record{}, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *storeEmulator) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []record `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Expected)+len(request.Writes)+len(request.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := undisturbed
	if s.disturb != nil {
		keys := slices.Clone(request.Remove)
		for _, write := range request.Writes {
			keys = append(keys, write.Key)
		}
		fault = s.disturb(keys)
	}
	if fault == refuseCall {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status := s.apply(request.Writes, request.Remove, func() bool {
		return !slices.ContainsFunc(request.Expected, func(e struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		}) bool {
			return s.records[e.Key].Revision != e.Revision
		})
	})
	revision, loseResponse := s.revision, s.responsesToLose > 0 && status == http.StatusOK
	if loseResponse {
		s.responsesToLose--
	}
	s.mu.Unlock()
	if loseResponse || fault == loseReply {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, map[string]any{"revision": revision})
}

// apply executes a transaction and returns its HTTP status. The caller must hold
// s.mu.
func (s *storeEmulator) apply(writes []record, remove []string, conditionsHold func() bool) int {
	for _, write := range writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound
		}
	}
	if !conditionsHold() {
		return http.StatusPreconditionFailed
	}
	s.revision++
	for _, write := range writes {
		s.writeRecord(write.Key, write.Value, write.Lease)
	}
	for _, key := range remove {
		delete(s.records, key)
		s.appendHistory(record{Key: key, Revision: s.revision, Removed: true})
	}
	return http.StatusOK
}

func (s *storeEmulator) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttlMs"`
	}
	body, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(body, &request); err != nil || request.TTL < 1000 {
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

func (s *storeEmulator) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expiry = time.Now().Add(lease.ttl)
	writeJSON(w, map[string]any{"ttlMs": lease.ttl.Milliseconds()})
}

func (s *storeEmulator) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	fmt.Fprint(w, "{}")
}
