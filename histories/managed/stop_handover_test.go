package managed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

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
