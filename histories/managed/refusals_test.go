package managed

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// isRefusal reports whether a status promises that a request has not run and never will.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// loseThenRefuse lets the store apply the first transaction on keys that contain a text,
// without a reply, and refuse all further ones.
func (h *harness) loseThenRefuse(text string) {
	hasText := func(key string) bool { return strings.Contains(key, text) }
	applied := false
	h.store.update(func(s *storeEmulator) {
		s.disturb = func(keys []string) disturbance {
			switch {
			case !slices.ContainsFunc(keys, hasText):
				return undisturbed
			case applied:
				return refuseCall
			}
			applied = true
			return loseReply
		}
	})
}

// startTwoDaemons starts two daemons and waits until each knows the other, which then
// makes calls to the store for it.
func (h *harness) startTwoDaemons() (first, second *daemon) {
	h.t.Helper()
	first, second = h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	h.awaitMembers(2)
	return first, second
}

// awaitMembers waits until each daemon of this process knows as many live daemons.
func (h *harness) awaitMembers(count int) {
	h.t.Helper()
	for _, d := range h.daemons {
		session, err := kernel.FindLoaded[contract.Session](d.kernel, contract.NameSession)
		must.NoError(h.t, err)
		h.waitFor("all daemons are known", func() bool { return len(session.View().Load().Live) == count })
	}
}

// TestManaged_LostWriteIsNotRefused guards against answering a submission with 503 whose
// write was applied without a reply, because the store refused its repetitions.
func TestManaged_LostWriteIsNotRefused(t *testing.T) {
	h := newStandardHarness(t, 3, time.Millisecond)
	first, second := h.startTwoDaemons()
	h.loseThenRefuse("job-1")
	response := first.call(http.MethodPost, "/train/job-1", "job-1", map[string]string{"Deadline-Ms": "1500"}, jobBody("job-1", 0, 1, 2, 1))
	must.NoError(t, response.err)
	must.False(t, isRefusal(response.status), must.Sprintf("status %d", response.status))
	h.store.update(func(s *storeEmulator) { s.disturb = nil })
	h.checkResults("job-1", h.fetchAllResults(second, "job-1", 2), 3, 1)
}

// TestManaged_EndInProgressIsNotRefused guards against answering the end of a batch job
// with 503 while the daemon keeps trying to write it.
func TestManaged_EndInProgressIsNotRefused(t *testing.T) {
	h := newStandardHarness(t, 3, time.Millisecond)
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.fetchAllResults(d, "job-1", 2)
	h.store.update(func(s *storeEmulator) { s.disturb = func([]string) disturbance { return refuseCall } })
	response := d.call(http.MethodDelete, "/api/lots/job-1", "end-1", nil, "")
	must.NoError(t, response.err)
	must.False(t, isRefusal(response.status), must.Sprintf("status %d", response.status))
	h.store.update(func(s *storeEmulator) { s.disturb = nil })
	h.waitFor("the end is written", func() bool {
		return strings.Contains(string(h.store.recordsUnder("flamingobeam/job/owner/job-1")[0].Value), `"ended":true`)
	})
}

// TestManaged_RepeatedRequestIsNotRefused guards against answering a look-up with 503,
// which promises that it has not run, when its last attempt was refused and an earlier
// one has run.
func TestManaged_RepeatedRequestIsNotRefused(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"))
	refuse := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	var attempts atomic.Int64
	breakFirst := func(w http.ResponseWriter, r *http.Request) bool {
		if attempts.Add(1) == 1 {
			return breakOff(w, r)
		}
		return refuse(w, r)
	}
	for _, name := range []string{"plain-1", "plain-2", "plain-3"} {
		h.addPlain(name).faults = []func(http.ResponseWriter, *http.Request) bool{breakFirst, breakFirst, breakFirst}
	}
	response := h.startDaemon("daemon-1").call(http.MethodPost, "/status/1", "look-1", nil, "")
	must.NoError(t, response.err)
	must.Eq(t, 3, attempts.Load())
	must.False(t, isRefusal(response.status), must.Sprintf("status %d", response.status))
}
