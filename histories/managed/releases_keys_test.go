package managed

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// beforeKeys is a release that does not know workspaces.
const beforeKeys = "9634fe6"

// readJob reads a job with a key.
func (d *daemon) readJob(id, key string) callerResponse {
	return d.call(http.MethodGet, "/api/lots/"+id, "", withKey(key), "")
}

// checkHidden checks that callers with another workspace's key, or with none, see nothing of
// a job and change nothing: calls for it get a status, and its submission another.
func checkHidden(t *testing.T, d *daemon, id string, status, submission int) {
	t.Helper()
	for _, response := range []callerResponse{
		d.readJob(id, southKey),
		d.call(http.MethodGet, "/api/items/"+id+"?id="+id+"-0", "", withKey(southKey), ""),
		d.call(http.MethodDelete, "/api/lots/"+id, "end-"+id, withKey(southKey), ""),
	} {
		must.NoError(t, response.err)
		must.Eq(t, status, response.status)
	}
	must.Eq(t, submission, d.call(http.MethodPost, "/train/"+id, id, withKey(southKey), jobBody(id, 0, 1, 2, 1)).status)
	must.Eq(t, http.StatusUnauthorized, d.readJob(id, "guessed-key-1").status)
	must.Eq(t, http.StatusUnauthorized, d.call(http.MethodGet, "/api/lots/"+id, "", nil, "").status)
}

// TestReleases_JobOfWorkspaceThroughEarlierRelease lets a daemon of a release that does not
// know workspaces take over the job of one, which rewrites its record, and kills that one.
// At daemons of the current release the job must belong to its workspace all the while, and
// its results must be whole.
func TestReleases_JobOfWorkspaceThroughEarlierRelease(t *testing.T) {
	t.Parallel()
	const events, pace = 120, 20 * time.Millisecond
	earlier := earlierRelease(t, beforeKeys)
	h, _ := newKeysHarness(t, events, pace)
	first := h.startProcessOf(daemonBinary, "daemon-1")
	must.Eq(t, http.StatusAccepted, first.call(http.MethodPost, "/train/job-1", "job-1", withKey(northKey), jobBody("job-1", 0, 1, 2, 1)).status)
	h.waitFor("every item runs", func() bool { return len(h.runsOfItems()) == 2 })
	// No text may be whole before the last takeover.
	h.setPaces(time.Second)
	second := h.startProcessOf(earlier, "daemon-2")
	first.kill()
	h.waitFor("the earlier release owns the job", func() bool { return h.jobOwner("job-1") == "daemon-2" })
	must.StrNotContains(t, string(h.store.recordsUnder("flamingobeam/job/owner/job-1")[0].Value), "north")
	third := h.startProcessOf(daemonBinary, "daemon-3")
	checkHidden(t, &third.daemon, "job-1", http.StatusNotFound, http.StatusNotFound)
	must.Eq(t, http.StatusOK, third.readJob("job-1", secondNorthKey).status)
	second.kill()
	h.setPaces(pace)
	h.waitFor("the current release owns the job", func() bool { return h.jobOwner("job-1") == "daemon-3" })
	var page resultPage
	h.waitFor("the job is complete", func() bool {
		response := third.readJob("job-1", northKey)
		must.NotEq(t, http.StatusNotFound, response.status)
		page = resultPage{}
		return response.status == http.StatusOK && json.Unmarshal([]byte(response.body), &page) == nil && len(page.Results) == 2
	})
	h.checkResults("job-1", page.Results, events, 1)
	checkHidden(t, &third.daemon, "job-1", http.StatusNotFound, http.StatusNotFound)
}

// TestReleases_JobAcceptedByEarlierRelease submits a job at a daemon of a release that does
// not know workspaces. The job must run, but a daemon of the current release must show it
// to nobody, nor say that it does not exist. Its own jobs and look-ups are as usual.
func TestReleases_JobAcceptedByEarlierRelease(t *testing.T) {
	t.Parallel()
	earlier := earlierRelease(t, beforeKeys)
	h, _ := newKeysHarness(t, 20, 5*time.Millisecond)
	plain := h.addPlain("plain-2")
	h.store.removeKey("servers/plain-1")
	first := h.startProcessOf(earlier, "daemon-1")
	must.Eq(t, http.StatusAccepted, first.call(http.MethodPost, "/train/job-1", "job-1", withKey(northKey), jobBody("job-1", 0, 1, 2, 1)).status)
	second := h.startProcessOf(daemonBinary, "daemon-2")
	// Whether the submission is one of its own workspace is not known either.
	checkHidden(t, &second.daemon, "job-1", http.StatusServiceUnavailable, http.StatusBadGateway)
	must.Eq(t, http.StatusServiceUnavailable, second.readJob("job-1", northKey).status)
	h.waitFor("the job is complete at its owner", func() bool {
		return strings.Count(first.readJob("job-1", northKey).body, "completed") == 2
	})
	must.Eq(t, http.StatusAccepted, second.call(http.MethodPost, "/train/job-2", "job-2", withKey(northKey), jobBody("job-2", 1, 1, 2, 1)).status)
	h.waitFor("the job of the current release is complete", func() bool {
		response := second.readJob("job-2", secondNorthKey)
		must.Eq(t, http.StatusOK, response.status)
		return strings.Count(response.body, "completed") == 2
	})
	checkHidden(t, &second.daemon, "job-2", http.StatusNotFound, http.StatusNotFound)
	h.waitFor("a look-up is served", func() bool { return second.look("look-1", northKey).status == http.StatusOK })
	ids, headers := plain.requests(), plain.headersOf()
	for i, id := range ids {
		if id == "look-1" {
			checkIdentity(t, headers[i], "north")
		}
	}
	must.SliceContains(t, ids, "look-1")
}
