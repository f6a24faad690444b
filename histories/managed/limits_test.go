package managed

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// limitWindow is the time over which a server's limit is judged, and limitSlack
	// the number of requests that it may get in that time beyond one and a half times
	// its limit. Both are the platform's.
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// mostArrivals returns the largest number of arrivals in a time of limitWindow that
// begins after the given time.
func mostArrivals(arrivals []time.Time, after time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for arrivals[first].Before(after) && first < i || at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		if at.After(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// allowedArrivals returns how many requests a server with a limit may get in
// limitWindow.
func allowedArrivals(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds()) + limitSlack
}

// TestManaged_LimitOfPlainServers lets all servers of a service name a limit that is
// far below what the callers of three daemons send. No server may get more than its
// limit allows, a refusal must say when to return, and each server must be
// used.
func TestManaged_LimitOfPlainServers(t *testing.T) {
	const limit = 2.0
	h := newHarness(t)
	h.putConfiguration(1, routeConfig("/status/", "idempotent"))
	servers := []*plainServer{h.addPlain("plain-1"), h.addPlain("plain-2")}
	var daemons []*daemon
	for i := range 3 {
		daemons = append(daemons, h.startDaemon(fmt.Sprintf("daemon-%d", i+1)))
	}
	for i, d := range daemons {
		h.waitFor("the daemon serves", func() bool {
			return d.call(http.MethodGet, "/status/7", fmt.Sprintf("first-%d", i), nil, "").status == http.StatusOK
		})
	}
	for _, p := range servers {
		p.announce("Server-Limit", strconv.FormatFloat(limit, 'f', 1, 64))
	}
	named := time.Now()
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i, d := range daemons {
		callers.Go(func() {
			for n := 0; time.Since(named) < 8*time.Second; n++ {
				response := d.call(http.MethodGet, "/status/7", fmt.Sprintf("look-%d-%d", i, n), nil, "")
				mu.Lock()
				statuses[response.status]++
				mu.Unlock()
				if response.status == http.StatusTooManyRequests || response.status == http.StatusServiceUnavailable {
					must.NotEq(t, "", response.header.Get("Retry-After"))
				}
				<-time.After(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	for _, p := range servers {
		arrivals := p.arrivalTimes()
		must.LessEq(t, allowedArrivals(limit), mostArrivals(arrivals, named.Add(500*time.Millisecond)))
		must.GreaterEq(t, int(0.5*limit*8), len(arrivals))
	}
	must.Eq(t, 0, statuses[http.StatusBadGateway]+statuses[http.StatusGatewayTimeout])

	for _, p := range servers {
		p.announce("Server-Limit", "")
	}
	h.waitFor("the limits no longer hold", func() bool {
		for n := range 20 {
			if daemons[0].call(http.MethodGet, "/status/7", fmt.Sprintf("after-%d-%d", time.Now().UnixNano(), n), nil, "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestManaged_LimitOfEngines lets one of two engines name a limit while a large job
// runs. It must get no more items than its limit allows; the job must finish.
func TestManaged_LimitOfEngines(t *testing.T) {
	const limit = 1.0
	h := newStandardHarness(t, 5, 20*time.Millisecond)
	d := h.startDaemon("daemon-1")
	limited := h.engines[0]
	limited.announce("Server-Limit", "1.0")
	submitJob(h, d, "job-0", jobBody("job-0", 0, 1, 3, 2))
	h.checkResults("job-0", h.fetchAllResults(d, "job-0", 6), 5, 1)
	named := time.Now()
	submitJob(h, d, "job-1", jobBody("job-1", 1, 1, 25, 8))
	h.checkResults("job-1", h.fetchAllResults(d, "job-1", 200), 5, 1)
	var arrivals []time.Time
	for _, run := range limited.observedRuns() {
		arrivals = append(arrivals, run.startedAt)
	}
	must.LessEq(t, allowedArrivals(limit), mostArrivals(arrivals, named))
}
