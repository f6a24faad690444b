package managed

import (
	"net/http"
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

// TestManaged_JobOutlivesItsRoute guards against batch jobs that cannot be read or ended
// once the configuration has no route for their host, or an ordinary route that takes
// all paths. The routes of the jobs are removed, or only such a route is added.
func TestManaged_JobOutlivesItsRoute(t *testing.T) {
	elsewhere := routeConfig("/status/", "idempotent")
	elsewhere["hostname"] = "elsewhere.example"
	all := routeConfig("/", "idempotent")
	batch := routeConfig("/train/", "rollout")
	batch["service"], batch["itemTtlS"] = engineService, 60
	for name, routes := range map[string][]map[string]any{
		"no route of the host":          {elsewhere},
		"an ordinary route of the host": {all},
		"the batch route and another":   {all, batch, routeConfig("/judge/", "idempotent")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStandardHarness(t, 5, time.Millisecond)
			first, second := h.startTwoDaemons()
			submitJob(h, first, "job-1", jobBody("job-1", 0, 1, 3, 1))
			results := h.fetchAllResults(second, "job-1", 3)
			for _, e := range h.engines {
				e.setPace(time.Minute)
			}
			submitJob(h, first, "job-2", jobBody("job-2", 1, 1, 1, 1))
			h.putRoutes(2, routes)
			for _, d := range h.daemons {
				// The plain server answers for a route that takes all paths.
				want := http.StatusNotFound
				if routes[0]["pathPrefix"] == "/" {
					want = http.StatusOK
				}
				// The first configuration answers the last of these in another way than the
				// others.
				h.waitFor("the configuration is in force", func() bool {
					return d.call(http.MethodPost, "/claims/1", "probe", nil, "").status == want &&
						d.call(http.MethodPost, "/status/1", "probe", nil, "").status == want &&
						d.call(http.MethodPost, "/elsewhere/1", "probe", nil, "").status == want
				})
				page, status := d.fetchResults("job-1", 0)
				must.Eq(t, http.StatusOK, status)
				must.Eq(t, results, page.Results)
				body := d.call(http.MethodGet, "/api/items/job-2?id=job-2-0", "", nil, "")
				must.Eq(t, http.StatusOK, body.status)
				must.Eq(t, "prompt of job-2-0", body.body)
				must.Eq(t, want, d.call(http.MethodGet, "/api/lots/unknown", "read-1", nil, "").status)
			}
			must.Eq(t, http.StatusOK, second.call(http.MethodDelete, "/api/lots/job-2", "", nil, "").status)
			must.StrContains(t, string(h.store.recordsUnder("flamingobeam/job/owner/job-2")[0].Value), `"ended":true`)
		})
	}
}
