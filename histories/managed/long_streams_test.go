package managed

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestManaged_PlannedStopFinishesStreams guards against streams that a stopping daemon
// cuts although they end within five sixths of its grace period. Its batch job must be
// handed over, and the process must end in time.
func TestManaged_PlannedStopFinishesStreams(t *testing.T) {
	t.Parallel()
	const (
		events  = 70
		pace    = 100 * time.Millisecond
		ahead   = 900 * time.Millisecond
		streams = 6
		grace   = 8 * time.Second
	)
	h := newHarness(t)
	route := routeConfig("/stream/", "streaming")
	route["service"], route["timeoutMs"] = engineService, 10000
	h.putConfiguration(1, route)
	h.addPlain("plain-1")
	h.addEngine("engine-1", events, pace)
	h.addEngine("engine-2", events, pace)
	first := h.startProcess("daemon-1")
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 1))
	second := h.startDaemon("daemon-2")
	responses := make([]callerResponse, streams)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			responses[i] = first.call(http.MethodPost, "/stream/1", fmt.Sprint("stream-", i), map[string]string{"Deadline-Ms": "12000"}, "prompt")
		})
	}
	h.waitFor("all streams run", func() bool { return len(h.runsOfItems()) == 2+streams })
	<-time.After(ahead)
	signaled := time.Now()
	must.NoError(t, first.command.Process.Signal(syscall.SIGTERM))
	callers.Wait()
	for i, response := range responses {
		must.NoError(t, response.err)
		must.Eq(t, http.StatusOK, response.status)
		must.True(t, strings.HasSuffix(response.body, fmt.Sprintf("data: %s\n\n", eventData(fmt.Sprint("stream-", i), events))))
	}
	must.NoError(t, first.command.Wait())
	must.Less(t, grace, time.Since(signaled))
	h.checkResults("job-1", h.fetchAllResults(second, "job-1", 2), events, 1)
	must.Eq(t, "daemon-2", h.jobOwner("job-1"))
}
