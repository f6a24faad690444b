package managed

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// resultDeadline is the time that the route of batch jobs allows for all results.
const resultDeadline = 20 * time.Second

// putSingleVersionRoute makes the route of batch jobs one that allows one weight version
// for each text.
func (h *harness) putSingleVersionRoute(version int) {
	single := routeConfig("/train/", "rollout")
	single["service"], single["singleVersion"], single["itemTtlS"] = engineService, true, 60
	single["resultDeadlineMs"] = resultDeadline.Milliseconds()
	h.putConfiguration(version, single)
}

// refuseRuns lets the engines refuse further runs until they have loaded a version.
func (h *harness) refuseRuns() {
	for _, e := range h.engines {
		e.mu.Lock()
		e.isLoading = true
		e.mu.Unlock()
	}
}

// checkVersion checks that a job is complete within the time that its route allows, and
// that its texts have one weight version.
func (h *harness) checkVersion(d *daemon, version uint64) {
	h.t.Helper()
	started := time.Now()
	var results []itemResult
	h.waitFor("the job is complete", func() bool {
		must.Less(h.t, resultDeadline, time.Since(started))
		page, _ := d.fetchResults("job-1", len(results))
		results = append(results, page.Results...)
		return len(results) == 4
	})
	h.checkResults("job-1", results, 120, 1)
	for _, r := range results {
		must.Eq(h.t, []uint64{version}, r.Versions)
	}
}

// startSingleVersionJob starts a daemon and submits a job to it whose texts must have one
// weight version.
func startSingleVersionJob(t *testing.T, pace time.Duration) (*harness, *process) {
	t.Helper()
	h := newStandardHarness(t, 120, pace)
	h.putSingleVersionRoute(2)
	d := h.startProcess("daemon-1")
	submitJob(h, &d.daemon, "job-1", jobBody("job-1", 0, 1, 2, 2))
	return h, d
}

// TestManaged_SingleVersionTextsContinueAfterTakeover guards against items of a
// singleVersion route that are never finished once their texts were restored from
// checkpoints.
func TestManaged_SingleVersionTextsContinueAfterTakeover(t *testing.T) {
	t.Parallel()
	h, first := startSingleVersionJob(t, 20*time.Millisecond)
	h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
	first.kill()
	restarted := h.startProcess("daemon-1")
	h.checkVersion(&restarted.daemon, 1)
	must.True(t, h.hasResumedRun())
}

// TestManaged_SingleVersionTextsBeginAnewAfterSwap guards against items of a singleVersion
// route that are never finished because all engines have moved to a newer weight version
// than that of their restored texts.
func TestManaged_SingleVersionTextsBeginAnewAfterSwap(t *testing.T) {
	t.Parallel()
	h, first := startSingleVersionJob(t, 20*time.Millisecond)
	h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
	first.kill()
	for _, e := range h.engines {
		e.finishLoad(2)
	}
	restarted := h.startProcess("daemon-1")
	h.checkVersion(&restarted.daemon, 2)
}

// TestManaged_SingleVersionTextsBeginAnewAfterHandover is
// TestManaged_SingleVersionTextsBeginAnewAfterSwap for texts that a stopping daemon hands
// over.
func TestManaged_SingleVersionTextsBeginAnewAfterHandover(t *testing.T) {
	t.Parallel()
	h, first := startSingleVersionJob(t, 50*time.Millisecond)
	second := h.startDaemon("daemon-2")
	h.waitFor("every item runs", func() bool { return len(h.runsOfItems()) == 4 })
	h.refuseRuns()
	must.NoError(t, first.command.Process.Signal(syscall.SIGTERM))
	h.waitFor("the job is handed over", func() bool { return h.jobOwner("job-1") == "daemon-2" })
	for _, runs := range h.runsOfItems() {
		must.Positive(t, runs[0].eventsSent)
	}
	for _, e := range h.engines {
		e.finishLoad(2)
	}
	h.checkVersion(second, 2)
}
