package managed

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestManaged_PlannedStopFinishesLateStreams guards against streams that are cut at a
// planned stop about five sixths into the grace period, with a part of it unused, and
// against times of a stop that do not depend on the grace period.
func TestManaged_PlannedStopFinishesLateStreams(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{4 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			const streams = 18
			h := newHarness(t)
			h.putStreamRoute(30 * time.Second)
			server, timed := h.addPlain("plain-1"), newTimedStreams()
			for i := range streams {
				// From a hundredth of the grace period before that time to two after it.
				end := grace*5/6 + grace*time.Duration(3*i-streams)/(streams*100)
				server.faults = append(server.faults, timed.stream(end))
			}
			p := h.startProcessOf(daemonBinary, "daemon-1", graceSetting(grace))
			await := callStreams(&p.daemon, streams, 30*time.Second)
			h.waitFor("all streams run", func() bool { return len(server.requests()) == streams })
			timed.signal(t, p)
			whole := 0
			for _, response := range await() {
				if isWhole(response) {
					whole++
				}
			}
			must.Eq(t, streams, whole)
			timed.checkExit(t, p, grace)
		})
	}
}

// TestManaged_PlannedStopFinishesRelayedStreams guards against streams that break off
// because the daemon that passes them on for a cut-off one stops. The cut-off daemon must
// serve its other callers all the while.
func TestManaged_PlannedStopFinishesRelayedStreams(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{4 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.putStreamRoute(30 * time.Second)
			servers := []*plainServer{h.addPlain("plain-1"), h.addPlain("plain-2"), h.addPlain("plain-3")}
			helper := h.startProcessOf(daemonBinary, "daemon-2", graceSetting(grace))
			cut := h.startCutOffDaemon("daemon-1", 2)
			timed := newTimedStreams()
			end := grace * 5 / 6
			await := h.beginTimedStreams(cut, servers, timed, []time.Duration{end / 2, end - 100*time.Millisecond, end})
			h.startDaemon("daemon-3")
			h.waitFor("the third daemon is live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 3 })
			time.Sleep(300 * time.Millisecond) // Longer than the batching delay of session updates.
			timed.signal(t, helper)
			lookups := 0
			for ; time.Since(timed.signaledAt) < end; lookups++ {
				must.Eq(t, 1, checkServed(cut, fmt.Sprint("during-", lookups), 1))
			}
			for _, response := range await() {
				must.True(t, isWhole(response))
			}
			timed.checkExit(t, helper, grace)
		})
	}
}

// TestManaged_PlannedStopAnswersEveryRequest guards against requests that get no answer at
// all, because they are still in progress when a stopping daemon closes its connections:
// calls of the batch job API wait for the store or for results, look-ups and their hedges
// for servers, and uploads for their body.
func TestManaged_PlannedStopAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	const grace = 4 * time.Second
	h := newHarness(t)
	h.putStreamRoute(30 * time.Second)
	h.addEngine("engine-1", 10, time.Minute)
	for _, server := range []*plainServer{h.addPlain("plain-1"), h.addPlain("plain-2")} {
		server.faults = slices.Repeat([]func(http.ResponseWriter, *http.Request) bool{func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done()
			return true
		}}, 4)
	}
	p, timed := h.startProcessOf(daemonBinary, "daemon-1", graceSetting(grace)), newTimedStreams()
	submitJob(h, &p.daemon, "job-1", jobBody("job-1", 0, 1, 1, 1))
	timed.signal(t, p)
	// Shortly before the listener is closed.
	<-time.After(2700 * time.Millisecond)
	h.store.update(func(s *storeEmulator) { s.latency = 6 * time.Second })
	deadline := map[string]string{"Deadline-Ms": "20000", "Wait-Ms": "2000"}
	calls := map[string]func() callerResponse{
		"results": p.beginCall(http.MethodGet, "/api/lots/job-1?after=0", "", deadline, ""),
		"unknown": p.beginCall(http.MethodGet, "/api/lots/job-2?after=0", "", deadline, ""),
		"item":    p.beginCall(http.MethodGet, "/api/items/job-2?id=job-2-0", "", deadline, ""),
		"end":     p.beginCall(http.MethodDelete, "/api/lots/job-2", "end-1", deadline, ""),
		"look-up": p.beginCall(http.MethodPost, "/status/1", "look-1", deadline, ""),
		"job":     p.beginCall(http.MethodPost, "/train/job-3", "job-3", deadline, jobBody("job-3", 1, 1, 1, 1)),
	}
	uploaded := make(chan callerResponse, 1)
	go func() { uploaded <- p.upload("/status/2", "upload-1") }()
	for name, await := range calls {
		response := await()
		must.NoError(t, response.err, must.Sprint(name))
		must.Greater(t, 0, response.status, must.Sprint(name))
	}
	response := <-uploaded
	must.NoError(t, response.err)
	must.Eq(t, http.StatusServiceUnavailable, response.status)
	timed.checkExit(t, p, grace)
}

// TestManaged_PlannedStopFinishesLateAnswers guards against answers that are not streamed
// and are cut at a planned stop although their servers give them five sixths into the grace
// period: a look-up, a request that may not be repeated, and one whose body arrives late.
func TestManaged_PlannedStopFinishesLateAnswers(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{4 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			var routes []map[string]any
			for prefix, kind := range map[string]string{"/status/": "idempotent", "/claims/": "non_idempotent"} {
				route := routeConfig(prefix, kind)
				route["timeoutMs"], route["maxAttempts"] = 30000, 1
				routes = append(routes, route)
			}
			h.putConfiguration(1, routes...)
			server, timed := h.addPlain("plain-1"), newTimedStreams()
			answerLate := func(_ http.ResponseWriter, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				<-timed.signaled
				<-time.After(time.Until(timed.signaledAt.Add(grace * 5 / 6)))
				return false
			}
			server.faults = slices.Repeat([]func(http.ResponseWriter, *http.Request) bool{answerLate}, 3)
			p := h.startProcessOf(daemonBinary, "daemon-1", graceSetting(grace))
			deadline := map[string]string{"Deadline-Ms": "30000"}
			calls := []func() callerResponse{
				p.beginCall(http.MethodPost, "/status/1", "look-1", deadline, ""),
				p.beginCall(http.MethodPost, "/claims/1", "claim-1", deadline, "body"),
			}
			body, writer := io.Pipe()
			request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/status/2", body)
			must.NoError(t, err)
			request.Host = routeHostname
			request.Header.Set("Attempt-Id", "upload-1")
			request.Header.Set("Deadline-Ms", "30000")
			uploaded := make(chan int, 1)
			go func() {
				response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
				if err != nil {
					uploaded <- 0
					return
				}
				_ = response.Body.Close()
				uploaded <- response.StatusCode
			}()
			_, err = writer.Write([]byte("the start of a body"))
			must.NoError(t, err)
			h.waitFor("the requests run", func() bool { return len(server.requests()) == 2 })
			timed.signal(t, p)
			<-time.After(grace * 3 / 4)
			must.NoError(t, writer.Close())
			for _, await := range calls {
				response := await()
				must.NoError(t, response.err)
				must.Eq(t, http.StatusOK, response.status)
			}
			must.Eq(t, http.StatusOK, <-uploaded)
			timed.checkExit(t, p, grace)
		})
	}
}
