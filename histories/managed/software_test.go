package managed

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// textRun is a run of an item at an engine of a software version.
type textRun struct {
	engineRun
	software string
}

// runsOfItems returns the runs of each item in the order in which they started.
func (h *harness) runsOfItems() map[string][]textRun {
	runs := make(map[string][]textRun)
	for _, e := range h.engines {
		for _, r := range e.observedRuns() {
			runs[r.item] = append(runs[r.item], textRun{engineRun: r, software: e.software})
		}
	}
	for _, of := range runs {
		slices.SortFunc(of, func(a, b textRun) int { return a.startedAt.Compare(b.startedAt) })
	}
	return runs
}

// checkSoftware checks that no text has events of several software versions, and
// returns the number of runs that resumed a text.
func (h *harness) checkSoftware() int {
	h.t.Helper()
	resumed := 0
	for item, runs := range h.runsOfItems() {
		softwareOf := make(map[uint64]string)
		for _, r := range runs {
			if r.resumedAfter > 0 {
				resumed++
				must.Eq(h.t, softwareOf[r.resumedAfter], r.software, must.Sprintf("%s continues after event %d", item, r.resumedAfter))
			}
			for number := r.resumedAfter + 1; number <= r.resumedAfter+uint64(r.eventsSent); number++ {
				softwareOf[number] = r.software
			}
		}
	}
	return resumed
}

// newReleaseHarness returns a harness with a plain server and two engines of each of
// two software versions.
func newReleaseHarness(t *testing.T, events int, pace time.Duration) *harness {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addPlain("plain-1")
	h.addEngineOf("v1", "engine-1", events, pace)
	h.addEngineOf("v1.1", "engine-2", events, pace)
	h.addEngineOf("v1", "engine-3", events, pace)
	h.addEngineOf("v1.1", "engine-4", events, pace)
	return h
}

func TestManaged_BrokenTextContinuesAtItsSoftwareVersion(t *testing.T) {
	h := newReleaseHarness(t, 30, 5*time.Millisecond)
	for _, e := range h.engines {
		e.breakAfter = 10
	}
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 8, 2))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 16), 30, 1)
	must.Positive(t, h.checkSoftware())
}

func TestManaged_TextBeginsAnewWithoutServerOfItsSoftwareVersion(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addPlain("plain-1")
	old := h.addEngineOf("v1", "engine-1", 20, 5*time.Millisecond)
	old.dripAfter = 6
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 1))
	h.waitFor("the run drips", func() bool {
		runs := old.observedRuns()
		return len(runs) > 0 && runs[0].eventsSent == 6
	})
	h.addEngineOf("v1.1", "engine-2", 20, 5*time.Millisecond)
	old.drain()
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 1), 20, 1)
	must.Eq(t, 0, h.checkSoftware())
}

func TestManaged_StoredTextContinuesAtItsSoftwareVersion(t *testing.T) {
	h := newReleaseHarness(t, 120, 20*time.Millisecond)
	first := h.startProcess("daemon-1")
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 8, 1))
	h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
	first.kill()
	restarted := h.startProcess("daemon-1")
	h.checkResults("job-1", h.fetchAllResults(&restarted.daemon, "job-1", 8), 120, 1)
	must.Positive(t, h.checkSoftware())
}

func TestManaged_StoredTextBeginsAnewAfterRelease(t *testing.T) {
	h := newStandardHarness(t, 120, 20*time.Millisecond)
	first := h.startProcess("daemon-1")
	submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
	first.kill()
	h.addEngineOf("v2", "engine-3", 120, 5*time.Millisecond)
	h.store.removeKey("servers/engine-1")
	h.store.removeKey("servers/engine-2")
	restarted := h.startProcess("daemon-1")
	h.checkResults("job-1", h.fetchAllResults(&restarted.daemon, "job-1", 2), 120, 1)
	must.Eq(t, 0, h.checkSoftware())
}

func TestManaged_ResubmittedItemsContinueAtTheirSoftwareVersion(t *testing.T) {
	h := newReleaseHarness(t, 100, 20*time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 8, 1))
	h.waitFor("every item has events", func() bool {
		started := 0
		for _, runs := range h.runsOfItems() {
			if runs[0].eventsSent > 20 {
				started++
			}
		}
		return started == 8
	})
	must.Eq(t, http.StatusOK, first.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	submitJob(h, second, "job-2", strings.ReplaceAll(jobBody("job-1", 1, 1, 8, 1), `"trainStep":0`, `"trainStep":1`))
	h.checkResults("job-1", h.fetchAllResults(second, "job-2", 8), 100, 1)
	must.Positive(t, h.checkSoftware())
}
