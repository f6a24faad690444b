// Package service is a stand-in of a plain service, such as a claims portal.
// It answers look-ups and counts how often each submission ran.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Paths of the stand-in; those under /emulate steer it.
const (
	PathRecords     = "/records/:id"
	PathSubmissions = "/submissions"
	PathRuns        = "/emulate/runs"
	PathFaults      = "/emulate/faults"
	PathJudge       = "/judge"
)

// Faults are switched on for tests.
type Faults struct {
	// Delay is added to every request.
	Delay time.Duration `json:"delay"`
	// Leaving refuses new work with status 503.
	Leaving bool `json:"leaving"`
	// CutAfter is the count of bytes after which answers are cut; zero
	// means never.
	CutAfter int `json:"cut_after"`
	// CrashOn is the id of the record whose look-up crashes the server.
	CrashOn string `json:"crash_on"`
}

// Run is one run of a submission.
type Run struct {
	Key  string    `json:"key"`
	Body string    `json:"body"`
	At   time.Time `json:"at"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	name structs.HostName
	// OnCrash ends the server when a request crashes it; nil only breaks the
	// connection.
	OnCrash func()

	mu     sync.Mutex
	faults Faults
	runs   []Run
}

// New returns a service on a host.
func New(name structs.HostName) *Service { return &Service{name: name} }

// Handler serves the stand-in over HTTP.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	router.GET(PathRecords, s.lookup)
	router.POST(PathSubmissions, s.submit)
	router.POST(PathJudge, s.judge)
	router.GET(PathRuns, s.listRuns)
	router.POST(PathFaults, s.setFaults)
	return router
}

// SetFaults replaces the faults that are switched on.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the submissions that ran, in order.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// enter applies the faults and reports whether the request may go on.
func (s *Service) enter(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return faults, false
	}
	return faults, pause(r.Context(), faults.Delay)
}

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// RecordOf is the answer to a look-up, so that callers can check theirs.
func RecordOf(id string) string { return fmt.Sprintf("record %s is filed", id) }

func (s *Service) lookup(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	faults, ok := s.enter(w, r)
	if !ok {
		return
	}
	id := params.ByName("id")
	if faults.CrashOn != "" && id == faults.CrashOn {
		s.crash()
	}
	answer(w, faults, RecordOf(id))
}

// crash ends the server, and the connection at least.
func (s *Service) crash() {
	if s.OnCrash != nil {
		s.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// ReceiptOf is the answer to a submission.
func ReceiptOf(key, body string) string { return fmt.Sprintf("filed %s: %s", key, body) }

func (s *Service) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	faults, leaving := s.run(Run{Key: key, Body: string(body), At: time.Now()})
	if leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !pause(r.Context(), faults.Delay) {
		return
	}
	answer(w, faults, ReceiptOf(key, string(body)))
}

// run records a run, unless the service refuses new work.
func (s *Service) run(run Run) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Leaving {
		s.runs = append(s.runs, run)
	}
	return s.faults, s.faults.Leaving
}

// judge scores a sample by the length of its body.
func (s *Service) judge(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	faults, ok := s.enter(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer(w, faults, fmt.Sprintf(`{"reward":%.3f}`, 1/float64(1+len(body))))
}

// answer writes a text with its length, or cuts it off.
func answer(w http.ResponseWriter, faults Faults, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if faults.CutAfter > 0 && faults.CutAfter < len(text) {
		_, _ = io.WriteString(w, text[:faults.CutAfter])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}
