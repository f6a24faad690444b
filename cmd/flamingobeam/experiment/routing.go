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

// The experiment on routing: engines with a cache of prompt prefixes and a bounded count
// of streams get a Poisson stream of prompts whose prefixes follow Zipf's law.
// A prefix that is not cached is computed first. The prompts come to eight
// daemons, each of which knows its own requests at once and those of the others
// from reports that lag. Time is simulated; the decisions are those of the
// package.
const (
	engines      = 40
	daemons      = 8
	streams      = 8
	cachedPrefix = 24
	prefixes     = 1500
	prompts      = 200_000
	decodeTime   = 400 * time.Millisecond
	prefillTime  = 600 * time.Millisecond
	// promptEvery loads the engines to about 0.9 when no prefix is cached.
	promptEvery = 3500 * time.Microsecond
	warmUp      = prompts / 10
	// reportEvery is the time between two load reports of an engine.
	reportEvery = time.Second
)

// knowledge is what one daemon knows of the loads.
type knowledge struct {
	table  *route.Table
	own    []int
	others []int
	// reportsOnly leaves the own requests since the report out.
	reportsOnly bool
	reported    []int
}

func (k *knowledge) Load(server int) int {
	if k.reportsOnly {
		return k.reported[server]
	}
	return k.own[server] + k.others[server]
}

func (k *knowledge) Full(server int) bool { return k.own[server] >= 4*streams }

func (k *knowledge) Mean(tier int) float64 {
	sum := 0
	for _, member := range k.table.Tiers()[tier].Members {
		sum += k.Load(int(member))
	}
	return float64(sum) / float64(len(k.own))
}

// report brings a daemon's knowledge of all engines up to date.
func (k *knowledge) report(total []int) {
	copy(k.reported, total)
	for i := range total {
		k.others[i] = total[i] - k.own[i]
	}
}

// engine is a server of the experiment.
type engine struct {
	free   []time.Duration
	cached map[uint64]*list.Element
	recent *list.List
}

// hit looks a prefix up and caches it, dropping the one used longest ago.
func (e *engine) hit(prefix uint64) bool {
	if at, ok := e.cached[prefix]; ok {
		e.recent.MoveToFront(at)
		return true
	}
	e.cached[prefix] = e.recent.PushFront(prefix)
	if e.recent.Len() > cachedPrefix {
		oldest := e.recent.Remove(e.recent.Back()).(uint64)
		delete(e.cached, oldest)
	}
	return false
}

// run places a request on the stream that is free first.
func (e *engine) run(now, span time.Duration) time.Duration {
	first := 0
	for i, free := range e.free {
		if free < e.free[first] {
			first = i
		}
	}
	e.free[first] = max(now, e.free[first]) + span
	return e.free[first]
}

type ending struct {
	at     time.Duration
	server int
	daemon int
}

func (e ending) before(other ending) bool { return e.at < other.at }

// engineTable holds the engines, all in one zone.
func engineTable() *route.Table {
	place := structs.Place{Zone: "ashanti-a", Region: "ashanti"}
	servers := make([]route.Server, engines)
	for i := range servers {
		servers[i] = route.Server{Name: structs.HostName(fmt.Sprint("engine-", i)), Place: place, Share: route.FullShare}
	}
	return route.NewTable(place, servers, route.Prices{})
}

// chooseFunc is one way of choosing a server.
type chooseFunc func(table *route.Table, loads *knowledge, prefix, number, random uint64) int

// fleet is the engines and daemons of one run.
type fleet struct {
	table   *route.Table
	servers []engine
	known   [daemons]*knowledge
	running *queue[ending]
	// total counts the requests on each engine.
	total    []int
	reported time.Duration

	latencies *hdrhistogram.Histogram
	hits      int
	counts    []int
}

func newFleet(reportsOnly bool) *fleet {
	f := &fleet{
		table:     engineTable(),
		servers:   make([]engine, engines),
		running:   &queue[ending]{},
		total:     make([]int, engines),
		latencies: hdrhistogram.New(1, int64(time.Hour), significantDigits),
		counts:    make([]int, engines),
	}
	for i := range f.servers {
		f.servers[i] = engine{free: make([]time.Duration, streams), cached: make(map[uint64]*list.Element), recent: list.New()}
	}
	for i := range f.known {
		f.known[i] = &knowledge{table: f.table, reportsOnly: reportsOnly,
			own: make([]int, engines), others: make([]int, engines), reported: make([]int, engines)}
	}
	return f
}

// advance ends the requests that are done and sends the reports that are due.
func (f *fleet) advance(now time.Duration) {
	for f.running.Len() > 0 && f.running.first().at <= now {
		done := heap.Pop(f.running).(ending)
		f.total[done.server]--
		f.known[done.daemon].own[done.server]--
	}
	if now-f.reported < reportEvery {
		return
	}
	f.reported = now
	for _, k := range f.known {
		k.report(f.total)
	}
}

// send runs a prompt on an engine and returns its latency.
func (f *fleet) send(now time.Duration, daemon, server int, prefix uint64) (latency time.Duration, hit bool) {
	span := decodeTime
	hit = f.servers[server].hit(prefix)
	if !hit {
		span += prefillTime
	}
	end := f.servers[server].run(now, span)
	f.total[server]++
	f.known[daemon].own[server]++
	heap.Push(f.running, ending{at: end, server: server, daemon: daemon})
	return end - now, hit
}

// record takes a prompt into the figures.
func (f *fleet) record(server int, latency time.Duration, hit bool) {
	f.counts[server]++
	_ = f.latencies.RecordValue(int64(latency))
	if hit {
		f.hits++
	}
}

func (f *fleet) figures() []Figure {
	const counted = prompts - warmUp
	return []Figure{
		{Name: "cache hits, %", Value: 100 * float64(f.hits) / counted},
		{Name: "p50, ms", Value: float64(f.latencies.ValueAtPercentile(50)) / nanosPerMilli},
		{Name: "p99, ms", Value: float64(f.latencies.ValueAtPercentile(99)) / nanosPerMilli},
		{Name: "busiest over mean", Value: float64(slices.Max(f.counts)) * engines / counted},
	}
}

// sendPrompts sends all prompts with one way of choosing.
func sendPrompts(choose chooseFunc, reportsOnly bool) []Figure {
	random := rand.New(rand.NewPCG(7, 7))
	zipf := rand.NewZipf(random, 1.1, 4, prefixes-1)
	f := newFleet(reportsOnly)
	now := time.Duration(0)
	for number := range uint64(prompts) {
		now += time.Duration(random.ExpFloat64() * float64(promptEvery))
		f.advance(now)
		prefix, daemon := zipf.Uint64(), random.IntN(daemons)
		server := choose(f.table, f.known[daemon], prefix+1, number, random.Uint64())
		latency, hit := f.send(now, daemon, server, prefix)
		if number >= warmUp {
			f.record(server, latency, hit)
		}
	}
	return f.figures()
}

func byAffinity(table *route.Table, loads *knowledge, prefix, _, random uint64) int {
	choice, _ := table.Pick(&route.Request{Affinity: prefix, Random: random}, loads)
	return choice.Server
}

func byHome(table *route.Table, _ *knowledge, prefix, _, _ uint64) int {
	return table.PickByAffinity(prefix)
}

func byTwoChoices(table *route.Table, loads *knowledge, _, _, random uint64) int {
	return table.PickTwoChoices(random, loads)
}

func byTurn(table *route.Table, _ *knowledge, _, number, _ uint64) int {
	return table.PickRoundRobin(number)
}

// Routing compares the ways of choosing a server.
func Routing() Result {
	return Result{Name: "routing", Ways: []Way{
		{Name: "affinity bounded by load", Figures: sendPrompts(byAffinity, false)},
		{Name: "the same from load reports alone", Figures: sendPrompts(byAffinity, true)},
		{Name: "affinity without a bound", Figures: sendPrompts(byHome, false)},
		{Name: "two random choices", Figures: sendPrompts(byTwoChoices, false)},
		{Name: "two random choices from load reports alone", Figures: sendPrompts(byTwoChoices, true)},
		{Name: "round robin", Figures: sendPrompts(byTurn, false)},
	}}
}
