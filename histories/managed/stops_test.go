package managed

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lastEvent is the data of the last event of a timedStream.
const lastEvent = "data: the last event\n\n"

// timedStreams are responses of a plain server that end at set times after the signal
// to stop a daemon.
type timedStreams struct {
	signaled   chan struct{}
	signaledAt time.Time
}

func newTimedStreams() *timedStreams { return &timedStreams{signaled: make(chan struct{})} }

// signal sends SIGTERM to a process, from which the times count.
func (s *timedStreams) signal(t *testing.T, p *process) {
	s.signaledAt = time.Now()
	close(s.signaled)
	must.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
}

// stream returns the fault of a plain server that streams events until a time after the
// signal.
func (s *timedStreams) stream(endsAfter time.Duration) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Stamp", serverStamp(r.Header.Get("Attempt-Id")))
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		events := time.NewTicker(50 * time.Millisecond)
		defer events.Stop()
		var ended <-chan time.Time
		signaled := s.signaled
		for {
			select {
			case <-signaled:
				ended, signaled = time.After(time.Until(s.signaledAt.Add(endsAfter))), nil
			case <-ended:
				_, _ = fmt.Fprint(w, lastEvent)
				return true
			case <-events.C:
				_, _ = fmt.Fprint(w, "data: an event\n\n")
				_ = controller.Flush()
			case <-r.Context().Done():
				return true
			}
		}
	}
}

// putStreamRoute writes a configuration with a streaming route to the plain service.
func (h *harness) putStreamRoute(timeout time.Duration) {
	route := routeConfig("/stream/", "streaming")
	route["timeoutMs"] = timeout.Milliseconds()
	h.putConfiguration(1, route, routeConfig("/status/", "idempotent"))
}

// callStreams begins streams at a daemon and returns a function that waits for their ends.
func callStreams(d *daemon, count int, deadline time.Duration) func() []callerResponse {
	responses := make([]callerResponse, count)
	var callers sync.WaitGroup
	for i := range count {
		callers.Go(func() {
			responses[i] = d.call(http.MethodPost, "/stream/1", fmt.Sprint("stream-", i),
				map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}, "prompt")
		})
	}
	return func() []callerResponse { callers.Wait(); return responses }
}

func isWhole(response callerResponse) bool {
	return response.err == nil && response.status == http.StatusOK && strings.HasSuffix(response.body, lastEvent)
}

// checkExit checks that a process ends by itself, without an error and within its grace
// period after the signal.
func (s *timedStreams) checkExit(t *testing.T, p *process, grace time.Duration) {
	t.Helper()
	must.NoError(t, p.command.Wait())
	must.Less(t, grace, time.Since(s.signaledAt))
}

// graceSetting returns the line of a host's settings with a grace period.
func graceSetting(grace time.Duration) string {
	return fmt.Sprintf("bounds.graceS=%g", grace.Seconds())
}

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

// startCutOffDaemon starts a daemon that is cut off from all servers, so that it passes
// requests on through others. The helpers must be live already.
func (h *harness) startCutOffDaemon(name string, liveDaemons int) *daemon {
	links := newServerLinks()
	d := h.startDaemonWith(name, links.dial)
	h.waitFor("all daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == liveDaemons })
	links.set(linksReset)
	h.waitFor("requests are passed on", func() bool { return checkServed(d, fmt.Sprint("first", time.Now().UnixNano()), 10) == 10 })
	return d
}

// beginTimedStreams begins a stream for each end at a daemon and waits until all run.
func (h *harness) beginTimedStreams(d *daemon, servers []*plainServer, timed *timedStreams, ends []time.Duration) func() []callerResponse {
	var mu sync.Mutex
	begun := 0
	stream := func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		end := ends[begun]
		begun++
		mu.Unlock()
		return timed.stream(end)(w, r)
	}
	setFaults := func(faults ...func(http.ResponseWriter, *http.Request) bool) {
		for _, server := range servers {
			server.update(func() { server.faults = faults })
		}
	}
	setFaults(slices.Repeat([]func(http.ResponseWriter, *http.Request) bool{stream}, len(ends))...)
	await := callStreams(d, len(ends), 30*time.Second)
	h.waitFor("all streams run", func() bool { mu.Lock(); defer mu.Unlock(); return begun == len(ends) })
	setFaults()
	return await
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

// TestManaged_PlannedStopHandsOverWithSlowStore guards against batch jobs that a stopping
// daemon still owns when it ends, because the store takes a second for each call and loses
// the reply to the handover. Without a handover the work since the last checkpoints is
// lost. It must make no difference whether requests in flight use up the grace period.
func TestManaged_PlannedStopHandsOverWithSlowStore(t *testing.T) {
	t.Parallel()
	for name, streams := range map[string]int{"idle": 0, "with streams": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const grace = 8 * time.Second
			h := newHarness(t)
			h.putStreamRoute(30 * time.Second)
			h.addEngine("engine-1", 200, 50*time.Millisecond)
			h.addEngine("engine-2", 200, 50*time.Millisecond)
			plain, timed := h.addPlain("plain-1"), newTimedStreams()
			first := h.startProcess("daemon-1")
			submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 2))
			second := h.startDaemon("daemon-2")
			h.waitFor("every item runs", func() bool { return len(h.runsOfItems()) == 4 })
			await := h.beginTimedStreams(&first.daemon, []*plainServer{plain}, timed, slices.Repeat([]time.Duration{grace * 5 / 6}, streams))
			isLost := false
			h.store.update(func(s *storeEmulator) {
				s.latency = time.Second
				s.disturb = func(keys []string) disturbance {
					if isLost || !slices.Contains(keys, "flamingobeam/job/owner/job-1") {
						return undisturbed
					}
					isLost = true
					return loseReply
				}
			})
			timed.signal(t, first)
			for _, response := range await() {
				must.True(t, isWhole(response))
			}
			timed.checkExit(t, first, grace)
			must.Eq(t, "daemon-2", h.jobOwner("job-1"))
			h.store.update(func(s *storeEmulator) { s.latency = 0 })
			h.checkResults("job-1", h.fetchAllResults(second, "job-1", 4), 200, 1)
			must.True(t, h.hasResumedRun())
		})
	}
}

// beginCall sends a request and returns a function that waits for the response.
func (d *daemon) beginCall(method, path, id string, header map[string]string, body string) func() callerResponse {
	var caller sync.WaitGroup
	var response callerResponse
	caller.Go(func() { response = d.call(method, path, id, header, body) })
	return func() callerResponse { caller.Wait(); return response }
}

// upload sends a request whose body never ends and returns its response.
func (d *daemon) upload(path, id string) callerResponse {
	body, writer := io.Pipe()
	defer writer.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+d.address+path, body)
	if err != nil {
		return callerResponse{err: err}
	}
	request.Host = routeHostname
	request.Header.Set("Attempt-Id", id)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, err: err}
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

// TestManaged_PlannedStopOfOnlyDaemon guards against a batch job that a stopping daemon
// hands over to nobody, so that the next process of its host does not know it as its own.
func TestManaged_PlannedStopOfOnlyDaemon(t *testing.T) {
	t.Parallel()
	h := newStandardHarness(t, 120, 50*time.Millisecond)
	first, timed := h.startProcess("daemon-1"), newTimedStreams()
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.waitFor("every item runs", func() bool { return len(h.runsOfItems()) == 2 })
	timed.signal(t, first)
	timed.checkExit(t, first, 8*time.Second)
	must.Eq(t, "daemon-1", h.jobOwner("job-1"))
	restarted := h.startProcess("daemon-1")
	h.checkResults("job-1", h.fetchAllResults(&restarted.daemon, "job-1", 2), 120, 1)
}

// TestManaged_SecondStopSignal guards against a second request to stop that ends the
// process before its requests have ended.
func TestManaged_SecondStopSignal(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	h := newHarness(t)
	h.putStreamRoute(30 * time.Second)
	server, timed := h.addPlain("plain-1"), newTimedStreams()
	p := h.startProcess("daemon-1")
	await := h.beginTimedStreams(&p.daemon, []*plainServer{server}, timed, []time.Duration{grace * 5 / 6})
	timed.signal(t, p)
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM} {
		<-time.After(time.Second)
		must.NoError(t, p.command.Process.Signal(signal))
	}
	must.True(t, isWhole(await()[0]))
	timed.checkExit(t, p, grace)
}

// TestManaged_StopSignalDuringStart sends SIGTERM at many moments of a start. The process
// must end within its grace period, counted from the signal.
func TestManaged_StopSignalDuringStart(t *testing.T) {
	t.Parallel()
	const grace = 4 * time.Second
	h := newStandardHarness(t, 1, time.Millisecond)
	var starts sync.WaitGroup
	for i := range 12 {
		starts.Go(func() {
			timed := newTimedStreams()
			p := h.launchProcess(daemonBinary, fmt.Sprint("daemon-", i), graceSetting(grace))
			<-time.After(time.Duration(i) * 4 * time.Millisecond)
			timed.signal(t, p)
			_ = p.command.Wait()
			must.Less(t, grace, time.Since(timed.signaledAt))
			// Before the program handles signals, the system ends it.
			if status := p.command.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() {
				must.Eq(t, syscall.SIGTERM, status.Signal())
				return
			}
			must.True(t, p.command.ProcessState.Success())
		})
	}
	starts.Wait()
}

// TestManaged_PlannedStopsAtOnce guards against batch jobs that a stopping daemon hands
// over to another one that is stopping too. Those that either owns must go to the third.
func TestManaged_PlannedStopsAtOnce(t *testing.T) {
	t.Parallel()
	const (
		jobs  = 6
		grace = 8 * time.Second
	)
	h := newStandardHarness(t, 200, 50*time.Millisecond)
	first := h.startProcess("daemon-1")
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		submitJob(h, &first.daemon, id, jobBody(id, i, 1, 1, 1))
	}
	second, third := h.startProcess("daemon-2"), h.startDaemon("daemon-3")
	h.waitFor("every item runs", func() bool { return len(h.runsOfItems()) == jobs })
	h.waitFor("all daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 3 })
	time.Sleep(300 * time.Millisecond) // Longer than the batching delay of session updates.
	timed, other := newTimedStreams(), newTimedStreams()
	timed.signal(t, first)
	other.signal(t, second)
	timed.checkExit(t, first, grace)
	other.checkExit(t, second, grace)
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		must.Eq(t, "daemon-3", h.jobOwner(id))
		h.checkResults(id, h.fetchAllResults(third, id, 1), 200, 1)
	}
	// The texts are continued, none is generated again.
	for _, runs := range h.runsOfItems() {
		for _, r := range runs[1:] {
			must.Greater(t, 0, r.resumedAfter)
		}
	}
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
