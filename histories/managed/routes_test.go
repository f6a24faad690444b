package managed

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// configApplyTime is how long after its acknowledgement a configuration must be in
// force: the shortest limit of a deployment.
const configApplyTime = 3 * time.Second

// TestManaged_RouteOfJobRemoved removes the route of a job of which most items wait. No
// item may start later than the configuration must be in force, and those that never
// started must be listed as given up.
func TestManaged_RouteOfJobRemoved(t *testing.T) {
	const items = 60
	h := newStandardHarness(t, 20, 100*time.Millisecond)
	d := h.startDaemon("daemon-1")
	submitJob(h, d, "job-1", jobBody("job-1", 0, 1, items, 1))
	h.waitFor("items run", func() bool { return len(h.engines[0].observedRuns()) > 0 })
	h.putRoutes(2, []map[string]any{routeConfig("/judge/", "idempotent")})
	inForce := time.Now().Add(configApplyTime)
	results := h.fetchAllResults(d, "job-1", items)
	dead := 0
	for _, result := range results {
		if result.State == "dead" {
			dead++
		}
	}
	must.Between(t, 1, dead, items-1)
	for _, e := range h.engines {
		for _, run := range e.observedRuns() {
			must.True(t, run.startedAt.Before(inForce))
		}
	}
}
