package managed

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// queuedRequests is how many requests a full server keeps waiting.
const queuedRequests = 3

// addFullServer adds a plain server that runs some requests at once, keeps a few waiting and
// refuses the others.
func (h *harness) addFullServer(id string, slots int64, work time.Duration) {
	p := &plainServer{id: id}
	var present atomic.Int64
	running := make(chan struct{}, slots)
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer present.Add(-1)
		if present.Add(1) > slots+queuedRequests {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		running <- struct{}{}
		time.Sleep(work)
		<-running
		p.ServeHTTP(w, r)
	}))
	h.t.Cleanup(p.server.Close)
	entry := serverEntry(plainService, p.server.Listener.Addr().String(), "ready", nil, 0)
	entry["slots"] = slots
	h.store.put("servers/"+id, entry)
}

// TestShares_SmallWorkspaceAcrossDaemons lets a large workspace press full servers through
// two daemons and a small one ask through one of them. The daemons must agree on the
// division, and the small workspace be served at least a quarter as often as all.
func TestShares_SmallWorkspaceAcrossDaemons(t *testing.T) {
	h := newHarness(t)
	logs := &syncBuffer{}
	h.logs = logs
	h.putWorkspaces(1, workspace("north", northKey), workspace("south", southKey))
	h.addFullServer("plain-1", 4, 40*time.Millisecond)
	h.addFullServer("plain-2", 4, 40*time.Millisecond)
	daemons := []*daemon{h.startDaemon("daemon-1"), h.startDaemon("daemon-2")}
	h.awaitMembers(2)

	var asked, served [2]atomic.Int64
	ends := time.Now().Add(8 * time.Second)
	var callers sync.WaitGroup
	press := func(workspace int, key string, d *daemon, number int, pause time.Duration) {
		callers.Go(func() {
			for i := 0; time.Now().Before(ends); i++ {
				id := fmt.Sprintf("look-%d-%d-%d", workspace, number, i)
				header := map[string]string{"X-Api-Key": key, "Deadline-Ms": "500"}
				asked[workspace].Add(1)
				if d.call(http.MethodPost, "/status/1", id, header, "").status == http.StatusOK {
					served[workspace].Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	for i := range 60 {
		press(0, northKey, daemons[i%2], i, 10*time.Millisecond)
	}
	press(1, southKey, daemons[0], 0, 200*time.Millisecond)
	callers.Wait()
	part := func(workspace int) float64 {
		return float64(served[workspace].Load()) / float64(asked[workspace].Load())
	}
	all := float64(served[0].Load()+served[1].Load()) / float64(asked[0].Load()+asked[1].Load())
	t.Logf("large %.2f of %d, small %.2f of %d", part(0), asked[0].Load(), part(1), asked[1].Load())
	must.Less(t, 0.9, all, must.Sprint("the servers are not full"))
	must.GreaterEq(t, all/4, part(1))
	must.StrContains(t, logs.String(), "A full service is divided among workspaces.")
}
