package managed

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestManaged_SlowStream runs items on an engine whose events are further apart
// than any sound one's, but less than the timeout for the next event. No run may be
// cut.
func TestManaged_SlowStream(t *testing.T) {
	const pace = 1200 * time.Millisecond
	h := newHarness(t)
	h.putConfiguration(1)
	e := h.addEngine("engine-1", 4, pace)
	h.addPlain("plain-1")
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 2))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 2), 4, 1)
	must.Len(t, 2, e.observedRuns())
}

// TestManaged_ErrorsAfterBrokenStream lets a stream break off and answers its
// continuations with errors that look like events or like an end. None of their text may
// get into the item's output, which must be whole.
func TestManaged_ErrorsAfterBrokenStream(t *testing.T) {
	const forgedEvent = "id: 3\nweight-versions: 1\ndata: forged\n\n"
	respond := func(status int, matches bool, body string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Attempt-Id")
			if !matches {
				id = "another"
			}
			w.Header().Set("Attempt-Id", id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	raw := func(text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) { writeRawAndClose(w, text, false) }
	}
	for name, fault := range map[string]func(http.ResponseWriter, *http.Request){
		"500 with an event":       respond(http.StatusInternalServerError, true, forgedEvent),
		"502 without a body":      respond(http.StatusBadGateway, true, ""),
		"404 with an event":       respond(http.StatusNotFound, true, forgedEvent),
		"success of another item": respond(http.StatusOK, false, forgedEvent),
		"bytes without a head":    raw(forgedEvent),
		"half a head":             raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"),
		"half an event":           raw("HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n\r\nid: 3\ndata: forg"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStandardHarness(t, 6, time.Millisecond)
			for _, e := range h.engines {
				e.breakAfter, e.faults = 2, []func(http.ResponseWriter, *http.Request){fault}
			}
			d := h.startDaemon("daemon-1")
			submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 2, 2))
			h.checkResults("job-1", h.fetchAllResults(d, "job-1", 4), 6, 1)
		})
	}
}

// TestManaged_DrippingStream lets an engine stop in the middle of a text and send a
// byte of the next event now and then. The run must end, and resume on another
// engine after the last whole event.
func TestManaged_DrippingStream(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	dripping := h.addEngine("engine-1", 20, 5*time.Millisecond)
	dripping.dripAfter = 6
	h.addPlain("plain-1")
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 1))
	h.waitFor("the run drips", func() bool {
		runs := dripping.observedRuns()
		return len(runs) > 0 && runs[0].eventsSent == 6
	})
	sound := h.addEngine("engine-2", 20, 5*time.Millisecond)
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 1), 20, 1)
	must.True(t, dripping.observedRuns()[0].callerGone)
	runs := sound.observedRuns()
	must.Len(t, 1, runs)
	must.Eq(t, 6, int(runs[0].resumedAfter))
}

// TestManaged_DrippingRewardCall lets a judge answer a byte now and then and never
// finish. The reward call must go to the other judge, and the item must complete.
func TestManaged_DrippingRewardCall(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addEngine("engine-1", 3, time.Millisecond)
	dripping := h.addPlain("plain-1")
	gone := make(chan struct{}, 40)
	for range 40 {
		dripping.faults = append(dripping.faults, func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Server-Stamp", "s")
			w.Header().Set("Content-Length", "1000000")
			controller := http.NewResponseController(w)
			for {
				select {
				case <-time.After(20 * time.Millisecond):
					_, _ = w.Write([]byte("x"))
					_ = controller.Flush()
				case <-r.Context().Done():
					gone <- struct{}{}
					return true
				}
			}
		})
	}
	h.addPlain("plain-2")
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 4, 2))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 8), 3, 1)
	if len(dripping.requests()) > 0 {
		<-gone
	}
}
