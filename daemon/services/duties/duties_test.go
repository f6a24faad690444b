package duties

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/duty"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

// minPause is shorter than the pause after a call that was not executed, and longer than the
// wait for the platform's rate.
const minPause = 150 * time.Millisecond

type fakeSession struct {
	contract.Session
	token atomic.Uint64
}

func (f *fakeSession) Leadership() (uint64, bool) { return f.token.Load(), f.token.Load() != 0 }

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64)        {}
func (noMetrics) Time(string, time.Duration) {}

// newHolder returns a service whose tenure may call at once, and its session, before a
// platform that handle serves.
func newHolder(t *testing.T, handle http.HandlerFunc) (*service, *fakeSession) {
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	session := &fakeSession{}
	session.token.Store(7)
	address := strings.TrimPrefix(server.URL, "http://")
	s := &service{
		settings: outside.DutySettings{Address: address, CallsPerSecond: 50, ReportsUsage: true}, rules: duty.Rules{ChecksFencing: true},
		host: "host-1", calls: platform.DutyCalls{Address: address, Transport: newTransport()},
		session: session, metrics: noMetrics{}, log: logrus.NewEntry(log), inFlight: make(map[duty.Subject]chan struct{}),
	}
	return s, session
}

// TestCall_HolderAndToken checks what a call names, and that a daemon that does not hold
// the duties, or not yet, sends nothing.
func TestCall_HolderAndToken(t *testing.T) {
	var calls atomic.Int32
	s, session := newHolder(t, func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		must.Eq(t, "host-1", r.Header.Get("Duty-Holder"))
		must.Eq(t, "7", r.Header.Get("Fencing-Token"))
	})
	outcome, err := s.ReportUsage(t.Context(), outside.UsageReport{Window: 1})
	must.NoError(t, err)
	must.Eq(t, outside.DutyDone, outcome)
	session.token.Store(0)
	_, err = s.ReportUsage(t.Context(), outside.UsageReport{Window: 2})
	must.Eq(t, result.NotHolder, result.CodeOf(err))
	s.rules.HolderLease = time.Hour
	session.token.Store(9)
	_, err = s.ReportUsage(t.Context(), outside.UsageReport{Window: 2})
	must.Eq(t, result.NotHolder, result.CodeOf(err))
	must.False(t, s.Holds())
	must.Eq(t, 1, calls.Load())
}

// TestCall_LostBeforeSend takes the duties away after a call has begun and before its
// first byte, as when the host was suspended in between. Nothing may reach the platform.
func TestCall_LostBeforeSend(t *testing.T) {
	var calls atomic.Int32
	s, session := newHolder(t, func(http.ResponseWriter, *http.Request) { calls.Add(1) })
	_, err := s.call(t.Context(), matter{subject: usageSubject}, func(ctx context.Context, holder outside.DutyHolder) (outside.DutyOutcome, error) {
		session.token.Store(8)
		return s.calls.ReportUsage(ctx, holder, outside.UsageReport{Window: 1})
	})
	must.Eq(t, result.NotHolder, result.CodeOf(err))
	must.Eq(t, 0, calls.Load())
}

// TestCall_OneInFlight makes calls of one subject at the same time.
func TestCall_OneInFlight(t *testing.T) {
	var inFlight, most atomic.Int32
	s, _ := newHolder(t, func(http.ResponseWriter, *http.Request) {
		most.Store(max(most.Load(), inFlight.Add(1)))
		time.Sleep(60 * time.Millisecond)
		inFlight.Add(-1)
	})
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() {
			outcome, err := s.ReportUsage(t.Context(), outside.UsageReport{Window: 1})
			must.NoError(t, err)
			must.Eq(t, outside.DutyDone, outcome)
		})
	}
	group.Wait()
	must.Eq(t, 1, most.Load())
}

// TestCall_RateLimited checks that a call which the platform did not take delays the next
// one, and that a call whose time ends before its turn was not sent.
func TestCall_RateLimited(t *testing.T) {
	var calls atomic.Int32
	s, _ := newHolder(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusTooManyRequests)
	})
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		outcome, err := s.ReportUsage(ctx, outside.UsageReport{Window: 1})
		cancel()
		must.NoError(t, err)
		must.Eq(t, outside.DutyRateLimited, outcome)
	}
	must.Eq(t, 1, calls.Load())
}

// TestCall_NoReclaimableServers refuses an order of reclaimable servers. One of others in the
// same zone must go out at once.
func TestCall_NoReclaimableServers(t *testing.T) {
	s, _ := newHolder(t, func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); strings.Contains(string(body), "spot") {
			w.WriteHeader(http.StatusConflict)
		}
	})
	order := outside.ServerOrder{Service: "models", Zone: "a", Count: 3, Reclaimable: true}
	outcome, err := s.OrderServers(t.Context(), order)
	must.NoError(t, err)
	must.Eq(t, outside.DutyConflict, outcome)
	order.Reclaimable = false
	ctx, cancel := context.WithTimeout(t.Context(), minPause)
	defer cancel()
	outcome, err = s.OrderServers(ctx, order)
	must.NoError(t, err)
	must.Eq(t, outside.DutyDone, outcome)
}

// TestCall_UnknownOutcome closes the connection without a response.
func TestCall_UnknownOutcome(t *testing.T) {
	var calls atomic.Int32
	s, _ := newHolder(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	_, err := s.ReportUsage(t.Context(), outside.UsageReport{Window: 1})
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	must.Eq(t, 1, calls.Load())
}

// TestStop_WaitsForCalls checks that no call is in flight once the service has stopped.
func TestStop_WaitsForCalls(t *testing.T) {
	begun, answer := make(chan struct{}), make(chan struct{})
	s, _ := newHolder(t, func(http.ResponseWriter, *http.Request) { close(begun); <-answer })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = s.ReportUsage(context.Background(), outside.UsageReport{Window: 1})
	}()
	<-begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.Error(t, s.Stop(ctx))
	close(answer)
	must.NoError(t, s.Stop(t.Context()))
	<-ended
	_, err := s.ReportUsage(t.Context(), outside.UsageReport{Window: 2})
	must.Eq(t, result.NotHolder, result.CodeOf(err))
}
