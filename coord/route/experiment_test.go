package route

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The experiment: engines with a cache of prompt prefixes and a bounded count
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
	table  *Table
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
	for _, member := range k.table.tiers[tier].Members {
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

type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// outcome is what the experiment measures.
type outcome struct {
	hits    float64
	p50     time.Duration
	p99     time.Duration
	busiest float64
}

// chooseFunc is one way of choosing a server.
type chooseFunc func(table *Table, loads *knowledge, prefix, number, random uint64) int

// experiment sends all prompts with one way of choosing.
func experiment(choose chooseFunc, reportsOnly bool) outcome {
	random := rand.New(rand.NewPCG(7, 7))
	zipf := rand.NewZipf(random, 1.1, 4, prefixes-1)
	table, _ := tableOf(fleet(home, engines))
	servers := make([]engine, engines)
	for i := range servers {
		servers[i] = engine{free: make([]time.Duration, streams), cached: make(map[uint64]*list.Element), recent: list.New()}
	}
	var known [daemons]*knowledge
	for i := range known {
		known[i] = &knowledge{table: table, reportsOnly: reportsOnly,
			own: make([]int, engines), others: make([]int, engines), reported: make([]int, engines)}
	}
	latencies := hdrhistogram.New(1, int64(time.Hour), 3)
	var running endings
	now, hits, reported := time.Duration(0), 0, time.Duration(0)
	counts, total := make([]int, engines), make([]int, engines)
	for number := range uint64(prompts) {
		now += time.Duration(random.ExpFloat64() * float64(promptEvery))
		for len(running) > 0 && running[0].at <= now {
			done := heap.Pop(&running).(ending)
			total[done.server]--
			known[done.daemon].own[done.server]--
		}
		if now-reported >= reportEvery {
			reported = now
			for _, k := range known {
				k.report(total)
			}
		}
		prefix, daemon := zipf.Uint64(), random.IntN(daemons)
		server := choose(table, known[daemon], mix(prefix)|1, number, random.Uint64())
		span := decodeTime
		hit := servers[server].hit(prefix)
		if !hit {
			span += prefillTime
		}
		end := servers[server].run(now, span)
		total[server]++
		known[daemon].own[server]++
		heap.Push(&running, ending{at: end, server: server, daemon: daemon})
		if number < warmUp {
			continue
		}
		counts[server]++
		_ = latencies.RecordValue(int64(end - now))
		if hit {
			hits++
		}
	}
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return outcome{
		hits:    float64(hits) / (prompts - warmUp),
		p50:     time.Duration(latencies.ValueAtPercentile(50)),
		p99:     time.Duration(latencies.ValueAtPercentile(99)),
		busiest: float64(most) * engines / (prompts - warmUp),
	}
}

func byAffinity(table *Table, loads *knowledge, prefix, _, random uint64) int {
	choice, _ := table.Pick(&Request{Affinity: prefix, Random: random}, loads)
	return choice.Server
}

func byHome(table *Table, _ *knowledge, prefix, _, _ uint64) int {
	return table.tiers[0].ring.home(prefix)
}

func byTwoChoices(table *Table, loads *knowledge, _, _, random uint64) int {
	return table.TwoChoices(random, loads)
}

func byTurn(table *Table, _ *knowledge, _, number, _ uint64) int { return table.RoundRobin(number) }

// BenchmarkExperiment prints the outcomes of the ways of choosing.
func BenchmarkExperiment(b *testing.B) {
	for _, way := range []struct {
		name        string
		choose      chooseFunc
		reportsOnly bool
	}{
		{"affinity", byAffinity, false},
		{"affinity-reports-only", byAffinity, true},
		{"affinity-without-bound", byHome, false},
		{"two-choices", byTwoChoices, false},
		{"two-choices-reports-only", byTwoChoices, true},
		{"round-robin", byTurn, false},
	} {
		b.Run(way.name, func(b *testing.B) {
			var got outcome
			for b.Loop() {
				got = experiment(way.choose, way.reportsOnly)
			}
			b.ReportMetric(100*got.hits, "hit-%")
			b.ReportMetric(float64(got.p50.Milliseconds()), "p50-ms")
			b.ReportMetric(float64(got.p99.Milliseconds()), "p99-ms")
			b.ReportMetric(got.busiest, "busiest/mean")
		})
	}
}
