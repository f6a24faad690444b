package hedge_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// load is a load on servers that run one request at a time each, in simulated time.
type load struct {
	servers int
	// perSecond is the rate of requests by workspace.
	perSecond map[structs.WorkspaceName]float64
	// slowdown returns the factor on the work of a server at a time.
	slowdown func(server int, at time.Duration) float64
	share    float64
	seconds  int
}

// outcome is what callers and servers see of a load.
type outcome struct {
	latencies map[structs.WorkspaceName][]time.Duration
	requests  int
	hedges    map[structs.WorkspaceName]int
}

func (o outcome) quantile(workspace structs.WorkspaceName, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(o.latencies[workspace]))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (o outcome) hedgeCount() (sum int) {
	for _, count := range o.hedges {
		sum += count
	}
	return sum
}

// request is a request in simulated time. A copy that has not started is dropped once the
// other one is answered.
type request struct {
	workspace structs.WorkspaceName
	arrived   time.Duration
	server    int
	isDone    bool
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// play plays the load with the decisions of the package.
func (l load) play() outcome {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1, 0)
	result := outcome{latencies: make(map[structs.WorkspaceName][]time.Duration), hedges: make(map[structs.WorkspaceName]int)}
	account, delays := hedge.NewAccount(l.share), hedge.NewDelays(l.share)
	key := hedge.Key{Service: "desk", Target: 250 * time.Millisecond}
	var events eventHeap
	var now time.Duration
	at := func(t time.Duration, do func()) { heap.Push(&events, event{t, do}) }
	freeAt := make([]time.Duration, l.servers)
	send := func(r *request, server int) {
		begin := max(now, freeAt[server])
		work := time.Duration(float64(20*time.Millisecond) * (0.5 + random.Float64()) * l.slowdown(server, begin))
		freeAt[server] = begin + work
		at(begin+work, func() {
			if r.isDone {
				return
			}
			r.isDone = true
			delays.Observe(start.Add(now), key, now-r.arrived)
			result.latencies[r.workspace] = append(result.latencies[r.workspace], now-r.arrived)
		})
	}
	arrive := func(workspace structs.WorkspaceName) {
		result.requests++
		r := &request{workspace: workspace, arrived: now, server: random.IntN(l.servers)}
		account.Add(start.Add(now), key.Service, hedge.Tallies{workspace: {Requests: 1}})
		send(r, r.server)
		if delay, isKnown := delays.Delay(start.Add(now), key); isKnown && l.share > 0 {
			at(now+delay, func() {
				if r.isDone || account.Take(start.Add(now), key.Service, workspace, false) != hedge.Allowed {
					return
				}
				result.hedges[workspace]++
				send(r, (r.server+1+random.IntN(l.servers-1))%l.servers)
			})
		}
	}
	for _, workspace := range slices.Sorted(keys(l.perSecond)) {
		for t := 0.0; t < float64(l.seconds); t += random.ExpFloat64() / l.perSecond[workspace] {
			at(time.Duration(t*float64(time.Second)), func() { arrive(workspace) })
		}
	}
	for events.Len() > 0 {
		next := heap.Pop(&events).(event)
		now = next.at
		next.do()
	}
	return result
}

func keys(m map[structs.WorkspaceName]float64) func(func(structs.WorkspaceName) bool) {
	return func(yield func(structs.WorkspaceName) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

func steady(int, time.Duration) float64 { return 1 }

// TestLoad_OneSlowServer checks that one slow server in five costs callers much less with
// hedges, which stay within their limit.
func TestLoad_OneSlowServer(t *testing.T) {
	l := load{servers: 5, perSecond: map[structs.WorkspaceName]float64{"": 25}, seconds: 120, slowdown: func(server int, _ time.Duration) float64 {
		if server == 0 {
			return 8
		}
		return 1
	}}
	without := l.play()
	l.share = 0.2
	with := l.play()
	must.Less(t, without.quantile("", 0.95)/2, with.quantile("", 0.95))
	must.LessEq(t, int(0.2*float64(with.requests))+1, with.hedgeCount())
}

// TestLoad_AllSlow checks that hedges add no more than their share when all servers are
// slow, and that callers wait no longer for that.
func TestLoad_AllSlow(t *testing.T) {
	l := load{servers: 5, perSecond: map[structs.WorkspaceName]float64{"": 60}, seconds: 120, slowdown: func(_ int, at time.Duration) float64 {
		if at > 60*time.Second {
			return 3
		}
		return 1
	}}
	without := l.play()
	l.share = 0.05
	with := l.play()
	must.LessEq(t, int(0.05*float64(with.requests))+1, with.hedgeCount())
	must.LessEq(t, without.quantile("", 0.5)*11/10, with.quantile("", 0.5))
}

// TestLoad_Pause checks that callers whose server pauses are answered by another one.
func TestLoad_Pause(t *testing.T) {
	l := load{servers: 5, perSecond: map[structs.WorkspaceName]float64{"": 40}, seconds: 20, slowdown: func(server int, at time.Duration) float64 {
		if server == 0 && at > 10*time.Second && at < 10500*time.Millisecond {
			return 100
		}
		return 1
	}}
	without := l.play()
	l.share = 0.1
	with := l.play()
	must.Less(t, without.quantile("", 0.99), with.quantile("", 0.99))
}

// TestLoad_PressingWorkspace checks that a workspace that presses does not use up the
// hedges of another one.
func TestLoad_PressingWorkspace(t *testing.T) {
	l := load{servers: 5, share: 0.1, perSecond: map[structs.WorkspaceName]float64{"large": 60, "small": 6}, seconds: 120, slowdown: func(server int, _ time.Duration) float64 {
		if server == 0 {
			return 4
		}
		return 1
	}}
	with := l.play()
	must.Positive(t, with.hedges["small"])
	shareOf := func(w structs.WorkspaceName) float64 {
		return float64(with.hedges[w]) / float64(len(with.latencies[w]))
	}
	must.GreaterEq(t, shareOf("large")/4, shareOf("small"))
	must.LessEq(t, int(0.1*float64(with.requests))+1, with.hedgeCount())
}

// TestLoad_Calm checks that even servers with room get few hedges.
func TestLoad_Calm(t *testing.T) {
	l := load{servers: 5, share: 0.05, perSecond: map[structs.WorkspaceName]float64{"": 20}, seconds: 60, slowdown: steady}
	with := l.play()
	must.LessEq(t, int(0.05*float64(with.requests))+1, with.hedgeCount())
}
