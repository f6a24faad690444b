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

// calm is a world with two plain servers and two engines.
func calm(t *testing.T, events int, pace time.Duration) *world {
	w := newWorld(t)
	w.configure(1, route("/status/", "idempotent"), route("/claims/", "non_idempotent"))
	w.addPlain("plain-1")
	w.addEngine("engine-1", events, pace)
	w.addEngine("engine-2", events, pace)
	return w
}

func submit(w *world, d *daemon, id, body string) {
	w.t.Helper()
	w.until("job "+id+" is accepted", func() bool {
		got := d.call(http.MethodPost, "/train/"+id, id, nil, body)
		return got.status == http.StatusAccepted
	})
}

func TestManaged_StepIsReadWholeWithItsScores(t *testing.T) {
	w := calm(t, 5, time.Millisecond)
	first, second := w.start("daemon-1"), w.start("daemon-2")
	got := first.call(http.MethodPost, "/status/7?x=%2F", "look-1", nil, "body")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "POST /status/7?x=%2F by look-1", got.body)
	must.Eq(t, stamp("look-1"), got.header.Get("Server-Stamp"))

	submit(w, first, "job-1", jobOf("job-1", 0, 1, 3, 2))
	results := w.whole(second, "job-1", 6)
	w.check("job-1", results, 5, 1)
	body := second.call(http.MethodGet, "/api/items/job-1?id=job-1-3", "", nil, "")
	must.Eq(t, "prompt of job-1-3", body.body)
	again, _ := first.results("job-1", 2)
	must.Eq(t, results[2:], again.Results)
	must.Eq(t, http.StatusOK, second.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	must.Eq(t, http.StatusOK, first.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	_, status := first.results("job-unknown", 0)
	must.Eq(t, http.StatusNotFound, status)
}

func TestManaged_SubmissionIsAcceptedOnceWhenTheAnswerIsLost(t *testing.T) {
	w := calm(t, 3, time.Millisecond)
	first, second := w.start("daemon-1"), w.start("daemon-2")
	w.store.set(func(s *store) { s.loseNext = 1 })
	submit(w, first, "job-1", jobOf("job-1", 0, 1, 2, 1))
	submit(w, second, "job-1", jobOf("job-1", 0, 1, 2, 1))
	w.check("job-1", w.whole(second, "job-1", 2), 3, 1)
	for _, e := range w.engines {
		for _, r := range e.seen() {
			must.Eq(t, 0, r.after)
		}
	}
}

func TestManaged_VersionIsOrderedAndNextStepIsFresh(t *testing.T) {
	w := calm(t, 4, time.Millisecond)
	d := w.start("daemon-1")
	submit(w, d, "job-1", jobOf("job-1", 0, 1, 2, 1))
	w.whole(d, "job-1", 2)
	w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 2})
	submit(w, d, "job-2", jobOf("job-2", 2, 2, 2, 2))
	w.check("job-2", w.whole(d, "job-2", 4), 4, 2)
}

func TestManaged_WeightsChangeWithinATextAndAreTold(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	w.addPlain("plain-1")
	e := w.addEngine("engine-1", 30, 10*time.Millisecond)
	d := w.start("daemon-1")
	submit(w, d, "job-1", jobOf("job-1", 0, 1, 1, 1))
	w.until("an event is made", func() bool { return len(e.seen()) > 0 && e.seen()[0].made > 0 })
	e.loaded(2)
	results := w.whole(d, "job-1", 1)
	w.check("job-1", results, 30, 1)
	must.Eq(t, []uint64{1, 2}, results[0].Versions)
}

// TestManaged_SingleVersionsWaitForTheirRuns names a version while items of a
// route run whose texts must have one version each.
func TestManaged_SingleVersionsWaitForTheirRuns(t *testing.T) {
	w := calm(t, 60, 20*time.Millisecond)
	single := route("/train/", "rollout")
	single["service"], single["singleVersion"], single["resultDeadlineMs"], single["itemTtlS"] = engineService, true, 20000, 60
	w.configure(2, single)
	d := w.start("daemon-1")
	submit(w, d, "job-1", jobOf("job-1", 0, 1, 2, 2))
	w.until("every item runs", func() bool { return len(w.engines[0].seen())+len(w.engines[1].seen()) == 4 })
	w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 2})
	results := w.whole(d, "job-1", 4)
	w.check("job-1", results, 60, 1)
	for _, r := range results {
		must.Eq(t, []uint64{1}, r.Versions)
	}
	must.Eq(t, 4, len(w.engines[0].seen())+len(w.engines[1].seen()))
}

// resumed reports whether a run went on after a text.
func (w *world) resumed() bool {
	for _, e := range w.engines {
		for _, r := range e.seen() {
			if r.after > 0 {
				return true
			}
		}
	}
	return false
}

// ownerOf is the host that the store names as the owner of a job.
func (w *world) ownerOf(id string) string {
	for _, r := range w.store.find("flamingobeam/job/owner/" + id) {
		var own struct {
			Owner string `json:"owner"`
		}
		must.NoError(w.t, json.Unmarshal(r.Value, &own))
		name, _, _ := strings.Cut(own.Owner, ".")
		return name
	}
	return ""
}

// TestManaged_ItemsThatComeAgainGoOnFromTheirTexts ends a job before its texts
// are whole and asks for the same items again at another daemon.
func TestManaged_ItemsThatComeAgainGoOnFromTheirTexts(t *testing.T) {
	w := calm(t, 100, 20*time.Millisecond)
	first, second := w.start("daemon-1"), w.start("daemon-2")
	w.until("both daemons are live", func() bool { return len(w.store.find("flamingobeam/session/member/")) == 2 })
	submit(w, first, "job-1", jobOf("job-1", 0, 1, 2, 1))
	w.until("texts have begun", func() bool {
		made := 0
		for _, e := range w.engines {
			for _, r := range e.seen() {
				made += r.made
			}
		}
		return made > 60
	})
	must.Eq(t, http.StatusOK, first.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	submit(w, second, "job-2", strings.ReplaceAll(jobOf("job-1", 1, 1, 2, 1), `"trainStep":0`, `"trainStep":1`))
	results := w.whole(second, "job-2", 2)
	w.check("job-1", results, 100, 1)
	must.True(t, w.resumed())
}

func TestManaged_StoreAwayForSeconds(t *testing.T) {
	w := calm(t, 100, 10*time.Millisecond)
	first, second := w.start("daemon-1"), w.start("daemon-2")
	submit(w, first, "job-1", jobOf("job-1", 0, 1, 2, 2))
	w.store.set(func(s *store) { s.down = true })
	_, status := second.results("job-unknown", 0)
	must.Eq(t, http.StatusServiceUnavailable, status)
	refused := second.call(http.MethodPost, "/train/job-2", "job-2", map[string]string{"Deadline-Ms": "500"}, jobOf("job-2", 1, 1, 1, 1))
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.True(t, first.isReady())
	must.Eq(t, http.StatusOK, first.call(http.MethodPost, "/status/1", "look-1", nil, "").status)
	time.Sleep(2500 * time.Millisecond) // Longer than a session's lease.
	w.store.set(func(s *store) { s.down = false })
	w.check("job-1", w.whole(second, "job-1", 4), 100, 1)
	for _, e := range w.engines {
		for _, r := range e.seen() {
			must.StrHasPrefix(t, "job-1", r.item)
		}
	}
}

func TestManaged_ConfigurationAfterAWatchThatHearsNothing(t *testing.T) {
	w := calm(t, 1, time.Millisecond)
	d := w.start("daemon-1")
	must.Eq(t, http.StatusNotFound, d.call(http.MethodPost, "/new/1", "look-1", nil, "").status)
	w.store.set(func(s *store) { s.deaf = true })
	w.configure(5, route("/new/", "idempotent"))
	w.store.set(func(s *store) { s.floor, s.history = s.revision, nil })
	w.until("the new route is served", func() bool {
		return d.call(http.MethodPost, "/new/1", "look-2", nil, "").status == http.StatusOK
	})
	w.store.set(func(s *store) { s.deaf = false })
	w.configure(3)
	w.configure(6, route("/new/", "idempotent"), route("/newer/", "idempotent"))
	w.until("the newest version is served", func() bool {
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/new/1", "look-3", nil, "").status)
		return d.call(http.MethodPost, "/newer/1", "look-4", nil, "").status == http.StatusOK
	})
}

func TestManaged_EndedJobStartsNothing(t *testing.T) {
	w := calm(t, 50, 20*time.Millisecond)
	first, second := w.start("daemon-1"), w.start("daemon-2")
	submit(w, first, "job-1", jobOf("job-1", 0, 1, 20, 2))
	must.Eq(t, http.StatusOK, second.call(http.MethodDelete, "/api/lots/job-1", "", nil, "").status)
	var ended time.Time
	w.until("no run is under way", func() bool {
		ended = time.Now()
		for _, e := range w.engines {
			for _, r := range e.seen() {
				if ended.Sub(r.at) < 300*time.Millisecond {
					return false
				}
			}
		}
		return true
	})
	submit(w, second, "job-1", jobOf("job-1", 0, 1, 20, 2))
	_, status := first.results("job-1", 0)
	must.Eq(t, http.StatusOK, status)
}

func TestManaged_LeavingServerGetsNoWork(t *testing.T) {
	w := calm(t, 1, time.Millisecond)
	leaving := w.addPlain("plain-2")
	d := w.start("daemon-1")
	w.list("plain-2", plainService, leaving.server.Listener.Addr().String(), "draining", nil)
	calm := 0
	w.until("twenty requests in a row pass it by", func() bool {
		before := len(leaving.requests())
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", calm), nil, "").status)
		if calm++; len(leaving.requests()) > before {
			calm = 0
		}
		return calm == 20
	})
}

func TestManaged_ServerWhoseEntryIsGoneGetsNoWork(t *testing.T) {
	w := calm(t, 1, time.Millisecond)
	gone := w.addPlain("plain-2")
	d := w.start("daemon-1")
	w.store.take("servers/plain-2")
	calm := 0
	w.until("twenty requests in a row pass it by", func() bool {
		before := len(gone.requests())
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", calm), nil, "").status)
		if calm++; len(gone.requests()) > before {
			calm = 0
		}
		return calm == 20
	})
}

func TestManaged_EntriesOfOtherWritersNameNoServer(t *testing.T) {
	w := calm(t, 1, time.Millisecond)
	w.store.put("servers/bad-1", map[string]any{"service": plainService, "address": 7, "state": "ready"})
	w.store.put("servers/bad-2", map[string]any{"service": plainService, "address": "127.0.0.1:1", "state": "new"})
	w.store.put("servers/bad-3", "text")
	d := w.start("daemon-1")
	for i := range 20 {
		must.Eq(t, http.StatusOK, d.call(http.MethodPost, "/status/1", fmt.Sprintf("look-%d", i), nil, "").status)
	}
}

func TestManaged_PlannedStopHandsTheJobOver(t *testing.T) {
	w := calm(t, 300, 20*time.Millisecond)
	first, second := w.start("daemon-1"), w.start("daemon-2")
	submit(w, first, "job-1", jobOf("job-1", 0, 1, 2, 1))
	w.until("a run is under way", func() bool { return len(w.engines[0].seen())+len(w.engines[1].seen()) == 2 })
	must.NoError(t, first.kernel.Stop(context.Background()))
	w.check("job-1", w.whole(second, "job-1", 2), 300, 1)
	for _, e := range w.engines {
		for _, r := range e.seen()[1:] {
			must.Greater(t, 100, r.after, must.Sprint("the heir began a text anew"))
		}
	}
}

// runsOf are the runs of items whose ID begins with a prefix, at one engine.
func (e *engine) runsOf(prefix string) []run {
	var runs []run
	for _, r := range e.seen() {
		if strings.HasPrefix(r.item, prefix) {
			runs = append(runs, r)
		}
	}
	return runs
}

// TestManaged_PaceOfAnEngineIsKnownToOtherDaemons lets one daemon find out which
// of two engines is slow; the items of another daemon then go to the fast one.
func TestManaged_PaceOfAnEngineIsKnownToOtherDaemons(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	w.addPlain("plain-1")
	slow := w.addEngine("engine-1", 40, 40*time.Millisecond)
	fast := w.addEngine("engine-2", 40, 10*time.Millisecond)
	first, second := w.start("daemon-1"), w.start("daemon-2")
	w.until("both daemons are live", func() bool { return len(w.store.find("flamingobeam/session/member/")) == 2 })
	submit(w, first, "job-1", jobOf("job-1", 0, 1, 12, 1))
	w.whole(first, "job-1", 12)
	must.SliceNotEmpty(t, slow.runsOf("job-1"))
	submit(w, second, "job-2", jobOf("job-2", 1, 1, 3, 1))
	w.check("job-2", w.whole(second, "job-2", 3), 40, 1)
	must.SliceEmpty(t, slow.runsOf("job-2"))
	must.Len(t, 3, fast.runsOf("job-2"))
}

// TestManaged_SlowRunGoesOnAtAnotherEngine slows an engine down in the middle of a
// text.
func TestManaged_SlowRunGoesOnAtAnotherEngine(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	w.addPlain("plain-1")
	first := w.addEngine("engine-1", 120, 20*time.Millisecond)
	d := w.start("daemon-1")
	submit(w, d, "job-1", jobOf("job-1", 0, 1, 1, 1))
	w.until("the text has begun", func() bool { return len(first.seen()) > 0 && first.seen()[0].made > 10 })
	second := w.addEngine("engine-2", 120, 20*time.Millisecond)
	first.setPace(200 * time.Millisecond)
	w.check("job-1", w.whole(d, "job-1", 1), 120, 1)
	must.Len(t, 1, second.seen())
	must.Greater(t, 10, int(second.seen()[0].after))
	must.Less(t, 40, int(second.seen()[0].after))
}
