package managed

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newOutOfStepHarness returns a harness with resumable streams and engines of one software
// version.
func newOutOfStepHarness(t *testing.T) *harness {
	h := newHarness(t)
	streams := routeConfig("/stream/", "streaming")
	streams["service"], streams["resumable"] = engineService, true
	h.putConfiguration(1, streams)
	h.addPlain("plain-1")
	h.addEngineOf("v1", "engine-1", 10, 2*time.Millisecond)
	h.addEngineOf("v1", "engine-2", 10, 2*time.Millisecond)
	return h
}

// breakStreamsOfRelease adds engines of a newer software version and starts streams at a
// daemon until each of them has broken one off. It returns the attempts of these streams.
func (h *harness) breakStreamsOfRelease(d *daemon, after int) []string {
	h.t.Helper()
	for number := range 4 {
		h.addEngineOf("v2", fmt.Sprintf("engine-%d", 3+number), 10, 2*time.Millisecond).breakAfter = after
	}
	var broken []string
	for number := 0; len(broken) < 4; number++ {
		id := fmt.Sprintf("stream-%d", number)
		if response := d.call(http.MethodPost, "/stream/1", id, nil, "prompt"); response.err != nil {
			must.Eq(h.t, "v2", h.runOf(id).software)
			broken = append(broken, id)
		}
	}
	return broken
}

// checkTakeUpsOutOfStep resumes streams at a daemon all at once. Each must continue at its
// software version or be refused as not run. It returns how many continued.
func (h *harness) checkTakeUpsOutOfStep(d *daemon, broken []string, after int) int {
	h.t.Helper()
	statuses := make([]int, len(broken))
	var callers sync.WaitGroup
	for i, id := range broken {
		callers.Go(func() { statuses[i] = d.takeUp(id, after).status })
	}
	callers.Wait()
	continued := 0
	for i, id := range broken {
		runs := h.runsOfItems()[id+"-again"]
		if statuses[i] == http.StatusServiceUnavailable {
			must.SliceEmpty(h.t, runs)
			continue
		}
		must.Eq(h.t, http.StatusOK, statuses[i])
		must.Eq(h.t, "v2", h.runOf(id+"-again").software)
		continued++
	}
	return continued
}

// TestManaged_TakeUpsAtFrozenDaemon takes streams of newly released engines up at a daemon
// that stood still while the engines joined, as soon as it runs again.
func TestManaged_TakeUpsAtFrozenDaemon(t *testing.T) {
	h := newOutOfStepHarness(t)
	first := h.startDaemon("daemon-1")
	frozen := h.startProcess("daemon-2")
	must.NoError(t, frozen.command.Process.Signal(syscall.SIGSTOP))
	broken := h.breakStreamsOfRelease(first, 4)
	must.NoError(t, frozen.command.Process.Signal(syscall.SIGCONT))
	h.checkTakeUpsOutOfStep(&frozen.daemon, broken, 4)
}

// TestManaged_TakeUpsAtCutOffDaemon takes streams of newly released engines up at a daemon
// that is cut off from the store and does not know the other daemon, and again once the
// cut has healed.
func TestManaged_TakeUpsAtCutOffDaemon(t *testing.T) {
	h := newOutOfStepHarness(t)
	cut := h.startDaemon("daemon-2")
	cut.storeProxy.setCut(true)
	first := h.startDaemon("daemon-1")
	broken := h.breakStreamsOfRelease(first, 4)
	must.Eq(t, 0, h.checkTakeUpsOutOfStep(cut, broken, 4))
	cut.storeProxy.setCut(false)
	h.waitFor("a stream continues", func() bool { return h.checkTakeUpsOutOfStep(cut, broken[:1], 4) == 1 })
	must.Eq(t, 3, h.checkTakeUpsOutOfStep(cut, broken[1:], 4))
}
