package experiment

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/route"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The experiment on routing sends a Poisson process of prompts to engines with a
// cache of prompt prefixes and a limited number of streams. The prefixes follow a
// Zipf distribution, and a prefix that is not cached is computed first. Eight
// daemons receive the prompts. Each of them has the current number of its own
// requests on every engine, and that of the others from delayed reports. Time is
// simulated; package route picks the engines.
const (
	engines          = 40
	daemons          = 8
	streamsPerEngine = 8
	cachedPrefixes   = 24
	prefixes         = 1500
	prompts          = 200_000
	decodeTime       = 400 * time.Millisecond
	prefillTime      = 600 * time.Millisecond
	// meanPromptInterval gives a utilization of about 0.9 if no prefix is cached.
	meanPromptInterval = 3500 * time.Microsecond
	warmUpPrompts      = prompts / 10
	// reportInterval is the interval of the engines' load reports.
	reportInterval = time.Second
)

// loadView is one daemon's view of the loads of the engines, in requests.
type loadView struct {
	table      *route.Table
	ownLoads   []int
	otherLoads []int
	// reportsOnly ignores the daemon's own requests since the last report.
	reportsOnly   bool
	reportedLoads []int
}

func (v *loadView) Load(server int) int {
	if v.reportsOnly {
		return v.reportedLoads[server]
	}
	return v.ownLoads[server] + v.otherLoads[server]
}

func (v *loadView) Full(server int) bool { return v.ownLoads[server] >= 4*streamsPerEngine }

func (v *loadView) Mean(tier int) float64 {
	sum := 0
	for _, member := range v.table.Tiers()[tier].Members {
		sum += v.Load(int(member))
	}
	return float64(sum) / float64(len(v.ownLoads))
}

// update applies the load reports of all engines.
func (v *loadView) update(totalLoads []int) {
	copy(v.reportedLoads, totalLoads)
	for i := range totalLoads {
		v.otherLoads[i] = totalLoads[i] - v.ownLoads[i]
	}
}

// engine is an engine with the time at which each of its streams is free, and an
// LRU cache of prefixes.
type engine struct {
	freeAt []time.Duration
	cached map[uint64]*list.Element
	lru    *list.List
}

// lookup reports whether a prefix is cached, and caches it otherwise, evicting the
// least recently used one.
func (e *engine) lookup(prefix uint64) bool {
	if at, ok := e.cached[prefix]; ok {
		e.lru.MoveToFront(at)
		return true
	}
	e.cached[prefix] = e.lru.PushFront(prefix)
	if e.lru.Len() > cachedPrefixes {
		oldest := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.cached, oldest)
	}
	return false
}

// schedule runs a request on the stream that is free first and returns the time at
// which it completes.
func (e *engine) schedule(now, serviceTime time.Duration) time.Duration {
	first := 0
	for i, freeAt := range e.freeAt {
		if freeAt < e.freeAt[first] {
			first = i
		}
	}
	e.freeAt[first] = max(now, e.freeAt[first]) + serviceTime
	return e.freeAt[first]
}

// completion is the end of a request.
type completion struct {
	at     time.Duration
	server int
	daemon int
}

func (c completion) before(other completion) bool { return c.at < other.at }

// engineTable returns a routing table of the engines, all in one zone.
func engineTable() *route.Table {
	place := structs.Place{Zone: "ashanti-a", Region: "ashanti"}
	servers := make([]route.Server, engines)
	for i := range servers {
		servers[i] = route.Server{Name: structs.HostName(fmt.Sprint("engine-", i)), Place: place, Share: route.FullShare}
	}
	return route.NewTable(place, servers, route.Prices{})
}

// pickFunc picks the engine of a prompt. The number is the prompt's position.
type pickFunc func(table *route.Table, loads *loadView, prefix, number, random uint64) int

// routingSimulation is the state of one run.
type routingSimulation struct {
	table   *route.Table
	servers []engine
	views   [daemons]*loadView
	running *eventQueue[completion]
	// totalLoads is the number of requests on each engine.
	totalLoads []int
	// lastReport is the time of the last load reports.
	lastReport time.Duration

	latencies *hdrhistogram.Histogram
	cacheHits int
	counts    []int
}

func newRoutingSimulation(reportsOnly bool) *routingSimulation {
	s := &routingSimulation{
		table:      engineTable(),
		servers:    make([]engine, engines),
		running:    &eventQueue[completion]{},
		totalLoads: make([]int, engines),
		latencies:  hdrhistogram.New(1, int64(time.Hour), significantDigits),
		counts:     make([]int, engines),
	}
	for i := range s.servers {
		s.servers[i] = engine{freeAt: make([]time.Duration, streamsPerEngine), cached: make(map[uint64]*list.Element), lru: list.New()}
	}
	for i := range s.views {
		s.views[i] = &loadView{table: s.table, reportsOnly: reportsOnly,
			ownLoads: make([]int, engines), otherLoads: make([]int, engines), reportedLoads: make([]int, engines)}
	}
	return s
}

// advance completes the requests that have ended, and updates the views once per
// report interval.
func (s *routingSimulation) advance(now time.Duration) {
	for s.running.Len() > 0 && s.running.first().at <= now {
		completed := heap.Pop(s.running).(completion)
		s.totalLoads[completed.server]--
		s.views[completed.daemon].ownLoads[completed.server]--
	}
	if now-s.lastReport < reportInterval {
		return
	}
	s.lastReport = now
	for _, v := range s.views {
		v.update(s.totalLoads)
	}
}

// send runs a prompt on an engine and returns its latency and whether its prefix
// was cached.
func (s *routingSimulation) send(now time.Duration, daemon, server int, prefix uint64) (latency time.Duration, hit bool) {
	serviceTime := decodeTime
	hit = s.servers[server].lookup(prefix)
	if !hit {
		serviceTime += prefillTime
	}
	end := s.servers[server].schedule(now, serviceTime)
	s.totalLoads[server]++
	s.views[daemon].ownLoads[server]++
	heap.Push(s.running, completion{at: end, server: server, daemon: daemon})
	return end - now, hit
}

// record adds a prompt to the statistics.
func (s *routingSimulation) record(server int, latency time.Duration, hit bool) {
	s.counts[server]++
	_ = s.latencies.RecordValue(int64(latency))
	if hit {
		s.cacheHits++
	}
}

func (s *routingSimulation) figures() []Figure {
	const counted = prompts - warmUpPrompts
	return []Figure{
		{Name: "cache hits, %", Value: 100 * float64(s.cacheHits) / counted},
		{Name: "p50, ms", Value: float64(s.latencies.ValueAtPercentile(50)) / nanosPerMilli},
		{Name: "p99, ms", Value: float64(s.latencies.ValueAtPercentile(99)) / nanosPerMilli},
		{Name: "busiest over mean", Value: float64(slices.Max(s.counts)) * engines / counted},
	}
}

// sendPrompts simulates all prompts with one algorithm and returns its figures.
func sendPrompts(pick pickFunc, reportsOnly bool) []Figure {
	random := rand.New(rand.NewPCG(7, 7))
	zipf := rand.NewZipf(random, 1.1, 4, prefixes-1)
	s := newRoutingSimulation(reportsOnly)
	now := time.Duration(0)
	for number := range uint64(prompts) {
		now += time.Duration(random.ExpFloat64() * float64(meanPromptInterval))
		s.advance(now)
		prefix, daemon := zipf.Uint64(), random.IntN(daemons)
		server := pick(s.table, s.views[daemon], prefix+1, number, random.Uint64())
		latency, hit := s.send(now, daemon, server, prefix)
		if number >= warmUpPrompts {
			s.record(server, latency, hit)
		}
	}
	return s.figures()
}

func pickBoundedAffinity(table *route.Table, loads *loadView, prefix, _, random uint64) int {
	choice, _ := table.Pick(&route.Request{Affinity: prefix, Random: random}, loads)
	return choice.Server
}

func pickUnboundedAffinity(table *route.Table, _ *loadView, prefix, _, _ uint64) int {
	return table.PickByAffinity(prefix)
}

func pickTwoChoices(table *route.Table, loads *loadView, _, _, random uint64) int {
	return table.PickTwoChoices(random, loads)
}

func pickRoundRobin(table *route.Table, _ *loadView, _, number, _ uint64) int {
	return table.PickRoundRobin(number)
}

// Routing compares algorithms that pick an engine.
func Routing() Result {
	return Result{Name: "routing", Ways: []Way{
		{Name: "affinity bounded by load", Figures: sendPrompts(pickBoundedAffinity, false)},
		{Name: "the same from load reports alone", Figures: sendPrompts(pickBoundedAffinity, true)},
		{Name: "affinity without a bound", Figures: sendPrompts(pickUnboundedAffinity, false)},
		{Name: "two random choices", Figures: sendPrompts(pickTwoChoices, false)},
		{Name: "two random choices from load reports alone", Figures: sendPrompts(pickTwoChoices, true)},
		{Name: "round robin", Figures: sendPrompts(pickRoundRobin, false)},
	}}
}
