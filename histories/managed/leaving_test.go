package managed

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// drainTime is how long after a server's first notice that it leaves requests may
// still be sent to it: the shortest limit of a deployment.
const drainTime = 3 * time.Second

// TestManaged_LeavingPlainServer lets a server announce in its responses, but not in
// its entry, that it leaves. It must get no further requests, and callers must not
// notice.
func TestManaged_LeavingPlainServer(t *testing.T) {
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"))
	leaving, staying := h.addPlain("plain-1"), h.addPlain("plain-2")
	d := h.startDaemon("daemon-1")
	leaving.announce("Server-Leaving", "1")
	next := 0
	lookUp := func() {
		next++
		response := d.call(http.MethodGet, "/status/7", fmt.Sprintf("look-%d", next), nil, "")
		must.Eq(t, http.StatusOK, response.status)
	}
	h.waitFor("the leaving server is used", func() bool {
		lookUp()
		return len(leaving.requests()) > 0
	})
	<-time.After(drainTime / 3)
	before := len(leaving.requests())
	for range 100 {
		lookUp()
	}
	must.Eq(t, before, len(leaving.requests()))
	must.GreaterEq(t, 100, len(staying.requests()))
}

// TestManaged_LeavingEngine lets an engine announce in its responses that it leaves.
// It must get no further items until it has restarted.
func TestManaged_LeavingEngine(t *testing.T) {
	h := newStandardHarness(t, 5, time.Millisecond)
	d := h.startDaemon("daemon-1")
	leaving := h.engines[0]
	leaving.announce("Server-Leaving", "1")
	jobs := 0
	runJob := func() {
		jobs++
		id := fmt.Sprintf("job-%d", jobs)
		submitJob(h, d, id, jobBody(id, jobs, 1, 3, 2))
		h.checkResults(id, h.fetchAllResults(d, id, 6), 5, 1)
	}
	h.waitFor("the leaving engine is used", func() bool {
		runJob()
		return len(leaving.observedRuns()) > 0
	})
	<-time.After(drainTime / 3)
	before := len(leaving.observedRuns())
	runJob()
	must.Eq(t, before, len(leaving.observedRuns()))
	leaving.restart()
	h.waitFor("the engine is used after its restart", func() bool {
		runJob()
		return len(leaving.observedRuns()) > before
	})
}
