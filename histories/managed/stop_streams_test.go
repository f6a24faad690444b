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
