package managed

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// ask puts a question to the operators' address and returns the response.
func (d *daemon) ask(t *testing.T, path string) (int, []byte) {
	t.Helper()
	response, err := http.Get("http://" + d.metricsAddress + path)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, body
}

func (d *daemon) status(t *testing.T) contract.ManagedStatus {
	t.Helper()
	code, body := d.ask(t, contract.PathStatus)
	must.Eq(t, http.StatusOK, code)
	var status contract.Status
	must.NoError(t, json.Unmarshal(body, &status))
	must.NotNil(t, status.Managed)
	return *status.Managed
}

// TestStatus_QueuesWithoutKeys presses a full service with two workspaces and a job. The
// status must show who waits and who was refused, and no key; without duties it must show
// none.
func TestStatus_QueuesWithoutKeys(t *testing.T) {
	h, _ := newKeysHarness(t, 200, 20*time.Millisecond)
	h.addFullServer("plain-full", 1, 100*time.Millisecond)
	h.store.removeKey("servers/plain-1")
	d := h.startDaemon("daemon-1")
	h.awaitMembers(1)
	body := jobBody("job-1", 1, 0, 2, 8)
	must.Eq(t, http.StatusAccepted, d.call(http.MethodPost, "/train/job-1", "job-1", withKey(northKey), body).status)
	must.Eq(t, http.StatusUnauthorized, d.look("wrong", "no-such-key").status)
	for i := range 40 {
		key := northKey
		if i%4 == 0 {
			key = southKey
		}
		go d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", i), map[string]string{"X-Api-Key": key, "Deadline-Ms": "4000"}, "")
	}
	workspacesOf := func(kind string) map[string]bool {
		names := make(map[string]bool)
		for _, queue := range d.status(t).Queues {
			for _, workspace := range queue.Workspaces {
				names[workspace.Name] = names[workspace.Name] || queue.Kind == kind && workspace.Waiting > 0
			}
		}
		return names
	}
	h.waitFor("requests of both workspaces wait", func() bool {
		waiting := workspacesOf(contract.QueueRequests)
		return waiting["north"] && waiting["south"]
	})
	h.waitFor("items wait", func() bool { return workspacesOf(contract.QueueItems)["north"] })
	status := d.status(t)
	must.Eq(t, "daemon-1", string(status.Host))
	must.Eq(t, 2, status.ConfigurationVersion)
	must.Eq(t, "daemon-1", status.Leader.Host)
	must.Positive(t, status.Leader.FencingToken)
	must.Eq(t, 1, status.Refusals["unauthorized"])
	must.Nil(t, status.Duties)
	must.Nil(t, status.Usage)
	must.SliceEmpty(t, status.Missing)
	_, shown := d.ask(t, contract.PathStatus)
	for _, secret := range []string{northKey, southKey, secondNorthKey, "no-such-key", "prompt of"} {
		must.StrNotContains(t, string(shown), secret)
	}
}

// TestStatus_DutiesOfHolder shows who holds the duties at each daemon, and the reported
// windows at their holder alone.
func TestStatus_DutiesOfHolder(t *testing.T) {
	h, _ := newKeysHarness(t, 1, time.Millisecond)
	p := newDutyPlatform(t)
	processes := startDutyProcesses(h, p, true, "daemon-1", "daemon-2")
	holder := p.lastHolder()
	for name, process := range processes {
		h.waitFor("the holder is shown at "+name, func() bool {
			duties := process.status(t).Duties
			return duties != nil && duties.Holder == holder && duties.IsSelf == (name == holder)
		})
		status := process.status(t)
		must.Eq(t, []string{"usage reports"}, status.Duties.Duties)
		must.Eq(t, status.Leader.FencingToken, status.Duties.FencingToken)
		must.Eq(t, name == holder, status.Usage != nil)
		must.SliceEmpty(t, status.Fleets)
	}
	must.Eq(t, http.StatusOK, processes[holder].look("look-1", northKey).status)
	h.waitFor("a request is reported", func() bool {
		for _, window := range processes[holder].status(t).Usage.Reported {
			if window.Requests == 1 && window.Workspaces == 1 {
				return true
			}
		}
		return false
	})
}
