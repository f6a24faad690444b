package managed

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newStreamHarness returns a release harness with a route of resumable streams. Each
// engine's first stream breaks off after breakAfter events.
func newStreamHarness(t *testing.T, breakAfter int) *harness {
	h := newReleaseHarness(t, 10, 2*time.Millisecond)
	streams := routeConfig("/stream/", "streaming")
	streams["service"], streams["resumable"] = engineService, true
	h.putConfiguration(2, streams)
	for _, e := range h.engines {
		e.breakAfter = breakAfter
	}
	return h
}

// runOf returns the only run of an attempt and its engine's software version.
func (h *harness) runOf(attempt string) textRun {
	h.t.Helper()
	runs := h.runsOfItems()[attempt]
	must.Len(h.t, 1, runs, must.Sprint(attempt))
	return runs[0]
}

// breakStreams starts streams until each engine has broken one off, and returns the
// attempts whose streams broke.
func (h *harness) breakStreams(d *daemon, breakAfter int) []string {
	h.t.Helper()
	var broken []string
	for number := 0; len(broken) < len(h.engines); number++ {
		id := fmt.Sprintf("stream-%d", number)
		if response := d.call(http.MethodPost, "/stream/1", id, nil, "prompt"); response.err != nil {
			must.Eq(h.t, breakAfter, h.runOf(id).eventsSent)
			broken = append(broken, id)
		}
	}
	return broken
}

// takeUp resumes the stream of an attempt after an event.
func (d *daemon) takeUp(attempt string, after int) callerResponse {
	return d.call(http.MethodPost, "/stream/1", attempt+"-again", map[string]string{
		"Last-Event-Id": strconv.Itoa(after), "Resumes": attempt,
	}, "prompt")
}

// checkTakeUps resumes streams and checks that they continue at their software version.
func (h *harness) checkTakeUps(d *daemon, broken []string, after int) {
	h.t.Helper()
	for _, id := range broken {
		response := d.takeUp(id, after)
		must.NoError(h.t, response.err)
		must.Eq(h.t, http.StatusOK, response.status)
		again := h.runOf(id + "-again")
		must.Eq(h.t, after, int(again.resumedAfter))
		must.Eq(h.t, h.runOf(id).software, again.software, must.Sprint(id))
	}
}

func TestManaged_ClientStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	h := newStreamHarness(t, 4)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	broken := h.breakStreams(first, 4)
	h.checkTakeUps(second, broken, 4)
	for range 3 {
		for i, id := range broken {
			response := second.takeUp(id+"-unknown", 4)
			must.Eq(t, http.StatusServiceUnavailable, response.status)
			must.MapNotContainsKey(t, h.runsOfItems(), broken[i]+"-unknown-again")
		}
	}
}

func TestManaged_ClientStreamContinuesAfterAllDaemonsWereKilled(t *testing.T) {
	h := newStreamHarness(t, 4)
	first := h.startProcess("daemon-1")
	broken := h.breakStreams(&first.daemon, 4)
	first.kill()
	restarted := h.startProcess("daemon-1")
	h.checkTakeUps(&restarted.daemon, broken, 4)
}

func TestManaged_ClientStreamOfSoftwareVersionThatLeftIsRefused(t *testing.T) {
	h := newStreamHarness(t, 4)
	first := h.startProcess("daemon-1")
	broken := h.breakStreams(&first.daemon, 4)
	first.kill()
	for _, e := range h.engines {
		if e.software == "v1" {
			h.store.removeKey("servers/" + e.id)
		}
	}
	restarted := h.startProcess("daemon-1")
	for _, id := range broken {
		started := time.Now()
		response := restarted.takeUp(id, 4)
		if h.runOf(id).software != "v1" {
			must.Eq(t, http.StatusOK, response.status)
			continue
		}
		must.Eq(t, http.StatusServiceUnavailable, response.status)
		must.Less(t, time.Second, time.Since(started))
		must.MapNotContainsKey(t, h.runsOfItems(), id+"-again")
	}
}

func TestManaged_ClientStreamFromItsBeginningIsNoTakeUp(t *testing.T) {
	h := newStreamHarness(t, 0)
	d := h.startDaemon("daemon-1")
	response := d.call(http.MethodPost, "/stream/1", "stream-1", map[string]string{"Last-Event-Id": "0"}, "prompt")
	must.Eq(t, http.StatusOK, response.status)
	must.Eq(t, 0, int(h.runOf("stream-1").resumedAfter))
	must.Eq(t, http.StatusBadRequest, d.call(http.MethodPost, "/stream/1", "stream-2", map[string]string{"Last-Event-Id": "x"}, "").status)
}
