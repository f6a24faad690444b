package managed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The times of the duties in these tests.
const (
	testHolderLease = time.Second
	testUsageWindow = time.Second
)

// usageCall is a usage report that the platform has received.
type usageCall struct {
	at     time.Time
	holder string
	token  uint64
	window int64
	counts map[string]int64
}

// dutyPlatform takes the calls of duties. Its fault, if any, decides on the status of a
// call; zero closes the connection after the call has been executed.
type dutyPlatform struct {
	address string
	mu      sync.Mutex
	calls   []usageCall
	fault   func() int
}

func newDutyPlatform(t *testing.T) *dutyPlatform {
	p := &dutyPlatform{}
	server := httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

func (p *dutyPlatform) serve(w http.ResponseWriter, r *http.Request) {
	call := usageCall{at: time.Now(), holder: r.Header.Get("Duty-Holder")}
	call.token, _ = strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	var body struct {
		Window int64            `json:"windowId"`
		Counts map[string]int64 `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call.window, call.counts = body.Window, body.Counts
	p.mu.Lock()
	status := http.StatusOK
	if p.fault != nil {
		status = p.fault()
	}
	if status == http.StatusOK || status == 0 {
		p.calls = append(p.calls, call)
	}
	p.mu.Unlock()
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (p *dutyPlatform) setFault(fault func() int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *dutyPlatform) received() []usageCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]usageCall(nil), p.calls...)
}

// lastHolder returns the holder of the last call.
func (p *dutyPlatform) lastHolder() string {
	calls := p.received()
	if len(calls) == 0 {
		return ""
	}
	return calls[len(calls)-1].holder
}

// settings returns the lines of a host's settings file for the usage duty.
func (p *dutyPlatform) settings(checksFencing bool) []string {
	return []string{
		"cloudApi.address=" + p.address, "cloudApi.duties=usage_report", "cloudApi.dutyPerS=50",
		fmt.Sprintf("bounds.fencingRequired=%t", checksFencing), fmt.Sprintf("bounds.leaseMs=%d", testHolderLease.Milliseconds()),
		fmt.Sprintf("bounds.usageWindowS=%g", testUsageWindow.Seconds()), "bounds.usageLateS=10",
	}
}

// hasGap reports whether a window up to last, from the first that was reported, is missing.
func (p *dutyPlatform) hasGap(last int64) bool {
	reported, first := make(map[int64]bool), last
	for _, call := range p.received() {
		reported[call.window] = true
		first = min(first, call.window)
	}
	for window := first; window <= last; window++ {
		if !reported[window] {
			return true
		}
	}
	return false
}

// checkDuties waits until no window is left out, as windows that are in time are reported before
// overdue ones. Then it checks all calls: one holder for each token, no lower token after a
// higher one, no holder that acts again within the lease after another one, and one set of
// counts for each window. It returns the sum of the counts.
func (h *harness) checkDuties(p *dutyPlatform) map[string]int64 {
	t := h.t
	t.Helper()
	last := p.received()[0].window
	for _, call := range p.received() {
		last = max(last, call.window)
	}
	h.waitFor("all windows are reported", func() bool { return !p.hasGap(last) })
	calls := p.received()
	holders, counts := make(map[uint64]string), make(map[int64]map[string]int64)
	actedAt, otherSince := make(map[string]time.Time), make(map[string]bool)
	var highest uint64
	for _, call := range calls {
		must.GreaterEq(t, highest, call.token)
		highest = call.token
		if holder, ok := holders[call.token]; ok {
			must.Eq(t, holder, call.holder)
		}
		holders[call.token] = call.holder
		if otherSince[call.holder] {
			must.GreaterEq(t, testHolderLease, call.at.Sub(actedAt[call.holder]))
		}
		for holder := range actedAt {
			otherSince[holder] = holder != call.holder
		}
		actedAt[call.holder], otherSince[call.holder] = call.at, false
		if before, ok := counts[call.window]; ok {
			must.Eq(t, before, call.counts)
		}
		counts[call.window] = call.counts
	}
	sum := make(map[string]int64)
	for _, ofWindow := range counts {
		for workspace, count := range ofWindow {
			sum[workspace] += count
		}
	}
	return sum
}

// startDutyProcesses starts daemons with the usage duty and waits for the first report.
func startDutyProcesses(h *harness, p *dutyPlatform, checksFencing bool, names ...string) map[string]*process {
	processes := make(map[string]*process)
	for _, name := range names {
		processes[name] = h.startProcessOf(daemonBinary, name, p.settings(checksFencing)...)
	}
	h.waitFor("usage is reported", func() bool { return p.lastHolder() != "" })
	return processes
}

// TestDuties_FrozenHolder suspends the holder for longer than its lease and resumes it
// after another daemon has acted, under a platform that checks fencing tokens and one that
// does not. Replies of the platform are lost now and then.
func TestDuties_FrozenHolder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checksFencing), func(t *testing.T) {
			h, _ := newKeysHarness(t, 1, time.Millisecond)
			p := newDutyPlatform(t)
			answers := 0
			p.setFault(func() int {
				answers++
				return []int{http.StatusOK, 0, http.StatusOK, http.StatusTooManyRequests}[answers%4]
			})
			processes := startDutyProcesses(h, p, checksFencing, "daemon-1", "daemon-2", "daemon-3")
			frozen := p.lastHolder()
			must.NoError(t, processes[frozen].command.Process.Signal(syscall.SIGSTOP))
			h.waitFor("another daemon reports", func() bool { return p.lastHolder() != frozen })
			must.NoError(t, processes[frozen].command.Process.Signal(syscall.SIGCONT))
			second := p.lastHolder()
			reports := len(p.received())
			h.waitFor("reports follow", func() bool { return len(p.received()) > reports+3 })
			must.NoError(t, processes[second].command.Process.Signal(syscall.SIGTERM))
			h.waitFor("a third holder reports", func() bool { return p.lastHolder() != second })
			h.checkDuties(p)
		})
	}
}

// TestUsage_CountsOfAllDaemons counts the requests of two workspaces at several daemons, of
// which one is stopped. The sum of the reports must be what servers began to run.
func TestUsage_CountsOfAllDaemons(t *testing.T) {
	h, _ := newKeysHarness(t, 1, time.Millisecond)
	p := newDutyPlatform(t)
	processes := startDutyProcesses(h, p, true, "daemon-1", "daemon-2", "daemon-3")
	stopping := "daemon-1"
	if p.lastHolder() == stopping {
		stopping = "daemon-2"
	}
	send := func(name string, i int) {
		key := northKey
		if i%3 == 0 {
			key = southKey
		}
		must.Eq(t, http.StatusOK, processes[name].look(fmt.Sprintf("%s-%d", name, i), key).status)
	}
	for i := range 60 {
		for name := range processes {
			send(name, i)
		}
	}
	must.NoError(t, processes[stopping].command.Process.Signal(syscall.SIGTERM))
	must.NoError(t, processes[stopping].command.Wait())
	sum := make(map[string]int64)
	h.waitFor("all requests are reported", func() bool {
		sum = h.checkDuties(p)
		return sum["north"]+sum["south"] >= 180
	})
	must.Eq(t, map[string]int64{"north": 120, "south": 60}, sum)
}

// TestDuties_NoneConfigured checks that a daemon of a deployment without duties writes no
// record of them.
func TestDuties_NoneConfigured(t *testing.T) {
	h, _ := newKeysHarness(t, 1, time.Millisecond)
	p := newDutyPlatform(t)
	d := h.startProcessOf(daemonBinary, "daemon-1", "cloudApi.address="+p.address, "bounds.usageWindowS=1")
	for i := range 3 {
		must.Eq(t, http.StatusOK, d.look(fmt.Sprintf("look-%d", i), northKey).status)
	}
	time.Sleep(3 * testUsageWindow)
	must.SliceEmpty(t, p.received())
	must.SliceEmpty(t, h.store.recordsUnder("flamingobeam/usage/"))
}
