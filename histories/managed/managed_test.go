package managed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newStandardHarness returns a harness with one plain server and two engines.
func newStandardHarness(t *testing.T, events int, pace time.Duration) *harness {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"), routeConfig("/claims/", "non_idempotent"))
	h.addPlain("plain-1")
	h.addEngine("engine-1", events, pace)
	h.addEngine("engine-2", events, pace)
	return h
}

// submitJob submits a job until the daemon accepts it.
func submitJob(h *harness, d *daemon, id, body string) {
	h.t.Helper()
	h.waitFor("job "+id+" is accepted", func() bool {
		response := d.call(http.MethodPost, "/train/"+id, id, nil, body)
		return response.status == http.StatusAccepted
	})
}

func TestManaged_JobResults(t *testing.T) {
	h := newStandardHarness(t, 5, time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	response := first.call(http.MethodPost, "/status/7?x=%2F", "look-1", nil, "body")
	must.Eq(t, http.StatusOK, response.status)
	must.Eq(t, "POST /status/7?x=%2F by look-1", response.body)
	must.Eq(t, serverStamp("look-1"), response.header.Get("Server-Stamp"))

	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 3, 2))
	results := h.fetchAllResults(second, "job-1", 6)
	h.checkResults("job-1", results, 5, 1)
	itemBody := second.call(http.MethodGet, "/api/items/job-1?id=job-1-3", "", nil, "")
	must.Eq(t, "prompt of job-1-3", itemBody.body)
	page, _ := first.fetchResults("job-1", 2)
	must.Eq(t, results[2:], page.Results)
	must.Eq(t, http.StatusOK, second.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	must.Eq(t, http.StatusOK, first.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	_, status := first.fetchResults("job-unknown", 0)
	must.Eq(t, http.StatusNotFound, status)
}

func TestManaged_LostSubmissionResponse(t *testing.T) {
	h := newStandardHarness(t, 3, time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	h.store.update(func(s *storeEmulator) { s.responsesToLose = 1 })
	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 2, 1))
	submitJob(h, second, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.checkResults("job-1", h.fetchAllResults(second, "job-1", 2), 3, 1)
	for _, e := range h.engines {
		for _, r := range e.observedRuns() {
			must.Eq(t, 0, r.resumedAfter)
		}
	}
}

func TestManaged_NewWeightVersion(t *testing.T) {
	h := newStandardHarness(t, 4, time.Millisecond)
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.fetchAllResults(d, "job-1", 2)
	h.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 2})
	submitJob(h, d, "job-2", jobBody("job-2", 2, 2, 2, 2))
	h.checkResults("job-2", h.fetchAllResults(d, "job-2", 4), 4, 2)
}

func TestManaged_WeightSwapMidText(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addPlain("plain-1")
	e := h.addEngine("engine-1", 30, 10*time.Millisecond)
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 1))
	h.waitFor("the first event is sent", func() bool { return len(e.observedRuns()) > 0 && e.observedRuns()[0].eventsSent > 0 })
	e.finishLoad(2)
	results := h.fetchAllResults(d, "job-1", 1)
	h.checkResults("job-1", results, 30, 1)
	must.Eq(t, []uint64{1, 2}, results[0].Versions)
}

// TestManaged_SingleVersionRoute announces a weight version while items run on a
// route that allows one weight version for each text. The swap must wait for these
// runs.
func TestManaged_SingleVersionRoute(t *testing.T) {
	h := newStandardHarness(t, 60, 20*time.Millisecond)
	single := routeConfig("/train/", "rollout")
	single["service"], single["singleVersion"], single["resultDeadlineMs"], single["itemTtlS"] = engineService, true, 20000, 60
	h.putConfiguration(2, single)
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 2, 2))
	h.waitFor("every item runs", func() bool { return len(h.engines[0].observedRuns())+len(h.engines[1].observedRuns()) == 4 })
	h.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 2})
	results := h.fetchAllResults(d, "job-1", 4)
	h.checkResults("job-1", results, 60, 1)
	for _, r := range results {
		must.Eq(t, []uint64{1}, r.Versions)
	}
	must.Eq(t, 4, len(h.engines[0].observedRuns())+len(h.engines[1].observedRuns()))
}

// hasResumedRun reports whether any run resumed a text after its first events.
func (h *harness) hasResumedRun() bool {
	for _, e := range h.engines {
		for _, r := range e.observedRuns() {
			if r.resumedAfter > 0 {
				return true
			}
		}
	}
	return false
}

// jobOwner returns the name of the host that owns a job according to the store, or
// "".
func (h *harness) jobOwner(id string) string {
	for _, r := range h.store.recordsUnder("flamingobeam/job/owner/" + id) {
		var record struct {
			Owner string `json:"owner"`
		}
		must.NoError(h.t, json.Unmarshal(r.Value, &record))
		name, _, _ := strings.Cut(record.Owner, ".")
		return name
	}
	return ""
}

// TestManaged_ResubmittedItemsResume ends a job before its texts are complete and
// submits the same items at another daemon. Their runs must resume from the texts
// of the first job.
func TestManaged_ResubmittedItemsResume(t *testing.T) {
	h := newStandardHarness(t, 100, 20*time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.waitFor("more than 60 events are sent", func() bool {
		made := 0
		for _, e := range h.engines {
			for _, r := range e.observedRuns() {
				made += r.eventsSent
			}
		}
		return made > 60
	})
	must.Eq(t, http.StatusOK, first.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	submitJob(h, second, "job-2", strings.ReplaceAll(jobBody("job-1", 1, 1, 2, 1), `"trainStep":0`, `"trainStep":1`))
	results := h.fetchAllResults(second, "job-2", 2)
	h.checkResults("job-1", results, 100, 1)
	must.True(t, h.hasResumedRun())
}

func TestManaged_StoreOutage(t *testing.T) {
	h := newStandardHarness(t, 100, 10*time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 2, 2))
	h.store.update(func(s *storeEmulator) { s.down = true })
	_, status := second.fetchResults("job-unknown", 0)
	must.Eq(t, http.StatusServiceUnavailable, status)
	response := second.call(http.MethodPost, "/train/job-2", "job-2", map[string]string{"Deadline-Ms": "500"}, jobBody("job-2", 1, 1, 1, 1))
	must.Eq(t, http.StatusServiceUnavailable, response.status)
	must.True(t, first.isReady())
	must.Eq(t, http.StatusOK, first.call(http.MethodPost, "/status/1", "look-1", nil, "").status)
	time.Sleep(2500 * time.Millisecond) // Longer than the lease of a session.
	h.store.update(func(s *storeEmulator) { s.down = false })
	h.checkResults("job-1", h.fetchAllResults(second, "job-1", 4), 100, 1)
	for _, e := range h.engines {
		for _, r := range e.observedRuns() {
			must.StrHasPrefix(t, "job-1", r.item)
		}
	}
}

func TestManaged_ConfigurationAfterSilentWatch(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	d := h.startDaemon("daemon-1")
	must.Eq(t, http.StatusNotFound, d.call(http.MethodPost, "/new/1", "look-1", nil, "").status)
	h.store.update(func(s *storeEmulator) { s.silentWatches = true })
	h.putConfiguration(5, routeConfig("/new/", "idempotent"))
	h.store.update(func(s *storeEmulator) { s.compactRevision, s.history = s.revision, nil })
	h.waitFor("the new route is served", func() bool {
		return d.call(http.MethodPost, "/new/1", "look-2", nil, "").status == http.StatusOK
	})
	h.store.update(func(s *storeEmulator) { s.silentWatches = false })
	h.putConfiguration(3)
	h.putConfiguration(6, routeConfig("/new/", "idempotent"), routeConfig("/newer/", "idempotent"))
	h.waitFor("the newest version is served", func() bool {
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/new/1", "look-3", nil, "").status)
		return d.call(http.MethodPost, "/newer/1", "look-4", nil, "").status == http.StatusOK
	})
}

func TestManaged_EndedJobStartsNoRun(t *testing.T) {
	h := newStandardHarness(t, 50, 20*time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 20, 2))
	must.Eq(t, http.StatusOK, second.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	var now time.Time
	h.waitFor("no run has started for 300 ms", func() bool {
		now = time.Now()
		for _, e := range h.engines {
			for _, r := range e.observedRuns() {
				if now.Sub(r.startedAt) < 300*time.Millisecond {
					return false
				}
			}
		}
		return true
	})
	submitJob(h, second, "job-1", jobBody("job-1", 0, 1, 20, 2))
	_, status := first.fetchResults("job-1", 0)
	must.Eq(t, http.StatusOK, status)
}

func TestManaged_DrainingServer(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	draining := h.addPlain("plain-2")
	d := h.startDaemon("daemon-1")
	h.putServerEntry("plain-2", plainService, draining.server.Listener.Addr().String(), "draining", nil, 0)
	streak := 0
	h.waitFor("twenty consecutive requests go to other servers", func() bool {
		before := len(draining.requests())
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", streak), nil, "").status)
		if streak++; len(draining.requests()) > before {
			streak = 0
		}
		return streak == 20
	})
}

func TestManaged_RemovedServer(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	removed := h.addPlain("plain-2")
	d := h.startDaemon("daemon-1")
	h.store.removeKey("servers/plain-2")
	streak := 0
	h.waitFor("twenty consecutive requests go to other servers", func() bool {
		before := len(removed.requests())
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", streak), nil, "").status)
		if streak++; len(removed.requests()) > before {
			streak = 0
		}
		return streak == 20
	})
}

func TestManaged_InvalidServerEntries(t *testing.T) {
	h := newStandardHarness(t, 1, time.Millisecond)
	h.store.put("servers/bad-1", map[string]any{"service": plainService, "address": 7, "state": "ready"})
	h.store.put("servers/bad-2", map[string]any{"service": plainService, "address": "127.0.0.1:1", "state": "new"})
	h.store.put("servers/bad-3", "text")
	d := h.startDaemon("daemon-1")
	for i := range 20 {
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", i), nil, "").status)
	}
}

// TestManaged_OddServerEntries lets another writer leave odd entries, one after the
// other, while a daemon follows the list. It must go on following it, and use a server
// that registers afterwards.
func TestManaged_OddServerEntries(t *testing.T) {
	const address = `"service":"portal","address":"127.0.0.1:1","state":"ready"`
	h := newStandardHarness(t, 1, time.Millisecond)
	d := h.startDaemon("daemon-1")
	depth := 200_000
	for name, entry := range map[string]string{
		"nested array":    strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested object":   `{` + address + `,"x":` + strings.Repeat(`{"a":`, depth) + `1` + strings.Repeat("}", depth) + `}`,
		"nested open":     strings.Repeat(`{"a":[`, depth),
		"large exponent":  `{` + address + `,"slots":1e999}`,
		"large integer":   `{` + address + `,"slots":99999999999999999999999,"born":1e400}`,
		"most slots":      `{` + address + `,"slots":9223372036854775807}`,
		"negative":        `{` + address + `,"slots":-9223372036854775808,"sequence":-1}`,
		"port":            `{"service":"portal","address":"127.0.0.1:99999","state":"ready","slots":1}`,
		"port of service": `{"service":"portal","address":"127.0.0.1:http","state":"ready","slots":1}`,
		"null":            `null`,
		"empty":           ``,
		"bytes":           "\xff\xfe\x00",
		"software":        `{` + address + `,"version":7}`,
		"null fields":     `{"service":null,"address":null,"state":null,"models":null}`,
		"models":          `{` + address + `,"models":[{"name":"model-a","version":18446744073709551615},null]}`,
	} {
		h.store.putBytes("servers/odd "+name, []byte(entry))
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", "look "+name, nil, "").status, must.Sprint(name))
	}
	added := h.addPlain("plain-2")
	h.waitFor("the new server is used", func() bool {
		d.call(http.MethodPost, "/status/1", fmt.Sprint("look ", time.Now().UnixNano()), nil, "")
		return len(added.requests()) > 0
	})
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 2, 2))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 4), 1, 1)
}

func TestManaged_PlannedStopJobHandover(t *testing.T) {
	h := newStandardHarness(t, 300, 20*time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 2, 1))
	h.waitFor("both items run", func() bool { return len(h.engines[0].observedRuns())+len(h.engines[1].observedRuns()) == 2 })
	must.NoError(t, first.kernel.Stop(context.Background()))
	h.checkResults("job-1", h.fetchAllResults(second, "job-1", 2), 300, 1)
	for _, e := range h.engines {
		for _, r := range e.observedRuns()[1:] {
			must.Greater(t, 100, r.resumedAfter, must.Sprint("the successor restarted a text"))
		}
	}
}

// runsWithPrefix returns the runs of items whose ID begins with a prefix.
func (e *engine) runsWithPrefix(prefix string) []engineRun {
	var runs []engineRun
	for _, r := range e.observedRuns() {
		if strings.HasPrefix(r.item, prefix) {
			runs = append(runs, r)
		}
	}
	return runs
}

// TestManaged_SharedEnginePace lets one daemon measure that one of two engines is
// slow. The items of the other daemon must go to the fast engine.
func TestManaged_SharedEnginePace(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addPlain("plain-1")
	slow := h.addEngine("engine-1", 40, 40*time.Millisecond)
	fast := h.addEngine("engine-2", 40, 10*time.Millisecond)
	first, second := h.startDaemon("daemon-1"), h.startDaemon("daemon-2")
	h.waitFor("both daemons are live", func() bool { return len(h.store.recordsUnder("flamingobeam/session/member/")) == 2 })
	submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 12, 1))
	h.fetchAllResults(first, "job-1", 12)
	must.SliceNotEmpty(t, slow.runsWithPrefix("job-1"))
	submitJob(h, second, "job-2", jobBody("job-2", 1, 1, 3, 1))
	h.checkResults("job-2", h.fetchAllResults(second, "job-2", 3), 40, 1)
	must.SliceEmpty(t, slow.runsWithPrefix("job-2"))
	must.Len(t, 3, fast.runsWithPrefix("job-2"))
}

// TestManaged_SlowRunMoves slows an engine down in the middle of a text. The run
// must move to the other engine and resume there.
func TestManaged_SlowRunMoves(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1)
	h.addPlain("plain-1")
	first := h.addEngine("engine-1", 120, 20*time.Millisecond)
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, 1, 1))
	h.waitFor("more than 10 events are sent", func() bool { return len(first.observedRuns()) > 0 && first.observedRuns()[0].eventsSent > 10 })
	second := h.addEngine("engine-2", 120, 20*time.Millisecond)
	first.setPace(200 * time.Millisecond)
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 1), 120, 1)
	must.Len(t, 1, second.observedRuns())
	must.Greater(t, 10, int(second.observedRuns()[0].resumedAfter))
	must.Less(t, 40, int(second.observedRuns()[0].resumedAfter))
}
