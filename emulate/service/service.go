// Package service emulates a plain service, such as a claims portal. It serves
// look-ups, records each execution of a submission, and scores samples as a
// judge.
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

// Paths of the emulator; those under /emulate control and inspect it.
const (
	PathRecords     = "/records/:id"
	PathSubmissions = "/submissions"
	PathRuns        = "/emulate/runs"
	PathFaults      = "/emulate/faults"
	PathJudge       = "/judge"
)

// Faults are the faults that can be injected.
type Faults struct {
	// Delay is added to every look-up, submission and scoring request.
	Delay time.Duration `json:"delay"`
	// Leaving makes the service drain: it rejects new work with status 503.
	Leaving bool `json:"leaving"`
	// CutAfter is the number of bytes after which response bodies are cut; zero
	// means never.
	CutAfter int `json:"cut_after"`
	// CrashOn is the id of the record whose look-up crashes the server; empty
	// means never.
	CrashOn string `json:"crash_on"`
}

// Run is one execution of a submission.
type Run struct {
	Key  string    `json:"key"`
	Body string    `json:"body"`
	At   time.Time `json:"at"`
}

// Service emulates a plain service. It is safe for concurrent use.
type Service struct {
	name structs.HostName
	// OnCrash terminates the server when a request crashes it. If it is nil, only
	// the connection is aborted.
	OnCrash func()

	mu     sync.Mutex
	faults Faults
	runs   []Run
}

// New returns a service with the name of its host.
func New(name structs.HostName) *Service { return &Service{name: name} }

// Handler serves the emulator over HTTP.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	router.GET(PathRecords, s.serveLookup)
	router.POST(PathSubmissions, s.serveSubmission)
	router.POST(PathJudge, s.serveJudge)
	router.GET(PathRuns, s.serveRuns)
	router.POST(PathFaults, s.serveFaults)
	return router
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the executions of submissions, in order.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// applyFaults applies Leaving and Delay, and reports whether the request may
// proceed. It returns the faults for the rest of the request.
func (s *Service) applyFaults(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return faults, false
	}
	return faults, sleep(r.Context(), faults.Delay)
}

// sleep waits for a delay and returns false if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// RecordOf returns the response body of a look-up, so that callers can verify
// what they received.
func RecordOf(id string) string { return fmt.Sprintf("record %s is filed", id) }

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	faults, ok := s.applyFaults(w, r)
	if !ok {
		return
	}
	id := params.ByName("id")
	if faults.CrashOn != "" && id == faults.CrashOn {
		s.crash()
	}
	writeText(w, faults, RecordOf(id))
}

// crash calls OnCrash, if set, and aborts the connection.
func (s *Service) crash() {
	if s.OnCrash != nil {
		s.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// ReceiptOf returns the response body of a submission.
func ReceiptOf(key, body string) string { return fmt.Sprintf("filed %s: %s", key, body) }

func (s *Service) serveSubmission(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	faults, draining := s.recordRun(Run{Key: key, Body: string(body), At: time.Now()})
	if draining {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !sleep(r.Context(), faults.Delay) {
		return
	}
	writeText(w, faults, ReceiptOf(key, string(body)))
}

// recordRun records an execution unless the service is draining. It returns the
// faults and whether the service is draining.
func (s *Service) recordRun(run Run) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Leaving {
		s.runs = append(s.runs, run)
	}
	return s.faults, s.faults.Leaving
}

// serveJudge scores a sample by the length of its body: the longer, the lower.
func (s *Service) serveJudge(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	faults, ok := s.applyFaults(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	writeText(w, faults, fmt.Sprintf(`{"reward":%.3f}`, 1/float64(1+len(body))))
}

// writeText writes a response with a Content-Length, or a truncated one if
// CutAfter is injected.
func writeText(w http.ResponseWriter, faults Faults, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if faults.CutAfter > 0 && faults.CutAfter < len(text) {
		_, _ = io.WriteString(w, text[:faults.CutAfter])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}
