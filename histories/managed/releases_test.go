package managed

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// firstRevision is a release that may send a relayed request twice, and does not continue
// stored texts of singleVersion routes.
const firstRevision = "49ac955"

// earlierRevisions are the releases that run beside the present one while hosts are
// upgraded one after the other.
var earlierRevisions = []string{firstRevision, "6ead1fa", "9634fe6"}

// earlierBuilds builds flamingobeamd of each of earlierRevisions, once for all tests.
var earlierBuilds = func() map[string]func() (string, error) {
	builds := make(map[string]func() (string, error))
	for _, revision := range earlierRevisions {
		builds[revision] = sync.OnceValues(func() (string, error) { return buildRevision(revision) })
	}
	return builds
}()

// buildRevision builds flamingobeamd of a revision and returns its path, which is empty
// where the history of the repository is not available.
func buildRevision(revision string) (string, error) {
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", nil
	}
	root := strings.TrimSpace(string(top))
	if exec.Command("git", "-C", root, "cat-file", "-e", revision+"^{commit}").Run() != nil {
		return "", nil
	}
	folder := filepath.Join(filepath.Dir(daemonBinary), revision)
	script := `mkdir "$2" && git -C "$0" archive "$1" -- . ':!journal' | tar x -C "$2" && cd "$2" && go build -o flamingobeamd ./cmd/flamingobeamd`
	if output, err := exec.Command("sh", "-c", script, root, revision, folder).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", revision, err, output)
	}
	return filepath.Join(folder, "flamingobeamd"), nil
}

// earlierRelease returns the binary of an earlier release.
func earlierRelease(t *testing.T, revision string) string {
	t.Helper()
	binary, err := earlierBuilds[revision]()
	must.NoError(t, err)
	if binary == "" {
		t.Skipf("the history of the repository does not have %s", revision)
	}
	return binary
}

// releaseOrders are the releases of two hosts, as both may be upgraded first.
func releaseOrders(t *testing.T) map[string][2]string {
	orders := make(map[string][2]string)
	for _, revision := range earlierRevisions {
		earlier := earlierRelease(t, revision)
		orders[revision+" and current"] = [2]string{earlier, daemonBinary}
		orders["current and "+revision] = [2]string{daemonBinary, earlier}
	}
	return orders
}

// startReleases starts two daemons and waits until the store lists both.
func (h *harness) startReleases(binaries [2]string) [2]*process {
	h.t.Helper()
	daemons := [2]*process{h.startProcessOf(binaries[0], "daemon-1"), h.startProcessOf(binaries[1], "daemon-2")}
	h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
	return daemons
}

// TestReleases_Jobs submits batch jobs at two daemons of different releases, reads and ends
// them at the other one, and forwards requests at both.
func TestReleases_Jobs(t *testing.T) {
	t.Parallel()
	for name, binaries := range releaseOrders(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStandardHarness(t, 20, 5*time.Millisecond)
			daemons := h.startReleases(binaries)
			for i, d := range daemons {
				other := daemons[1-i]
				id := fmt.Sprint("job-", i)
				submitJob(h, &d.daemon, id, jobBody(id, i, 1, 2, 2))
				body := other.call(http.MethodGet, "/api/items/"+id+"?id="+id+"-1", "", nil, "")
				must.Eq(t, "prompt of "+id+"-1", body.body)
				results := h.fetchAllResults(&other.daemon, id, 4)
				h.checkResults(id, results, 20, 1)
				page, _ := d.fetchResults(id, 0)
				must.Eq(t, results, page.Results)
				must.Eq(t, http.StatusOK, other.call(http.MethodDelete, "/api/lots/"+id, "", nil, "").status)
				must.Eq(t, http.StatusOK, d.call(http.MethodGet, "/claims/1", "claim-"+id, nil, "").status)
			}
		})
	}
}

// TestReleases_Takeover kills the daemon that runs a batch job. A daemon of the other
// release must continue the texts from their checkpoints.
func TestReleases_Takeover(t *testing.T) {
	t.Parallel()
	const pace = 20 * time.Millisecond
	for name, binaries := range releaseOrders(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStandardHarness(t, 120, pace)
			isCurrentLast := binaries[1] == daemonBinary
			if isCurrentLast {
				// The earlier release does not continue such texts.
				h.putSingleVersionRoute(2)
			}
			first := h.startProcessOf(binaries[0], "daemon-1")
			submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 2))
			h.waitFor("a checkpoint is stored", func() bool { return len(h.store.recordsUnder("flamingobeam/job/text/")) > 0 })
			// No text may be whole before the second daemon is ready.
			h.setPaces(time.Second)
			second := h.startProcessOf(binaries[1], "daemon-2")
			first.kill()
			h.setPaces(pace)
			h.checkResults("job-1", h.fetchAllResults(&second.daemon, "job-1", 4), 120, 1)
			must.True(t, h.hasResumedRun())
		})
	}
}

// TestReleases_Handover stops the daemon that runs a batch job as planned. A daemon of the
// other release must continue the texts that it is handed.
func TestReleases_Handover(t *testing.T) {
	t.Parallel()
	for name, binaries := range releaseOrders(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStandardHarness(t, 120, 50*time.Millisecond)
			first := h.startProcessOf(binaries[0], "daemon-1")
			submitJob(h, &first.daemon, "job-1", jobBody("job-1", 0, 1, 2, 2))
			second := h.startProcessOf(binaries[1], "daemon-2")
			h.waitFor("every item runs", func() bool { return len(h.runsOfItems()) == 4 })
			must.NoError(t, first.command.Process.Signal(syscall.SIGTERM))
			h.checkResults("job-1", h.fetchAllResults(&second.daemon, "job-1", 4), 120, 1)
			must.True(t, h.hasResumedRun())
		})
	}
}

// TestReleases_LostWriteIsNotRefused is TestManaged_LostWriteIsNotRefused for a submission
// at a daemon of the current release beside one of the earlier release, which may own the
// jobs of the model or make the calls to the store.
func TestReleases_LostWriteIsNotRefused(t *testing.T) {
	t.Parallel()
	for name, binaries := range releaseOrders(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStandardHarness(t, 3, time.Millisecond)
			daemons := h.startReleases(binaries)
			current := daemons[0]
			if binaries[1] == daemonBinary {
				current = daemons[1]
			}
			<-time.After(time.Second) // The daemons learn of each other.
			h.loseThenRefuse("job-1")
			response := current.call(http.MethodPost, "/train/job-1", "job-1", map[string]string{"Deadline-Ms": "1500"}, jobBody("job-1", 0, 1, 2, 1))
			must.NoError(t, response.err)
			must.False(t, isRefusal(response.status), must.Sprintf("status %d", response.status))
			h.store.update(func(s *storeEmulator) { s.disturb = nil })
			h.checkResults("job-1", h.fetchAllResults(&current.daemon, "job-1", 2), 3, 1)
		})
	}
}

// TestReleases_HelperOfEarlierRelease cuts a daemon off from the servers, beside one of an
// earlier release. Requests go through that one, but for those that it might send twice.
func TestReleases_HelperOfEarlierRelease(t *testing.T) {
	t.Parallel()
	for _, revision := range earlierRevisions {
		t.Run(revision, func(t *testing.T) {
			t.Parallel()
			earlier := earlierRelease(t, revision)
			h := newHarness(t)
			h.putConfiguration(1, routeConfig("/claims/", "non_idempotent"), routeConfig("/status/", "idempotent"))
			servers := []*plainServer{h.addPlain("plain-1"), h.addPlain("plain-2")}
			links := newServerLinks()
			cut := h.startDaemonWith("daemon-1", links.dial)
			h.startProcessOf(earlier, "daemon-2")
			h.awaitMembers(2)
			links.set(linksReset)
			h.waitFor("requests are relayed", func() bool { return checkServed(cut, fmt.Sprint("warm-", time.Now().UnixNano()), 1) == 1 })
			must.Eq(t, http.StatusOK, cut.call(http.MethodGet, "/status/1", "look-1", nil, "").status)
			must.Eq(t, http.StatusOK, cut.call(http.MethodPost, "/claims/1", "claim-1", nil, "body").status)
			status, runs := http.StatusOK, 1
			if revision == firstRevision {
				status, runs = http.StatusServiceUnavailable, 0
			}
			must.Eq(t, status, cut.call(http.MethodGet, "/claims/1", "claim-2", nil, "").status)
			must.Eq(t, runs, servers[0].countRuns("claim-2")+servers[1].countRuns("claim-2"))
		})
	}
}
