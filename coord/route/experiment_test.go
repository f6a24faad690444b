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
// A prefix that is not cached is computed first. Time is simulated; the
// decisions are those of the package.
const (
	engines      = 40
	streams      = 8
	cachedPrefix = 24
	prefixes     = 1500
	prompts      = 200_000
	decodeTime   = 400 * time.Millisecond
	prefillTime  = 600 * time.Millisecond
	// promptEvery loads the engines to about 0.9 when no prefix is cached.
	promptEvery = 3500 * time.Microsecond
	warmUp      = prompts / 10
)

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

// experiment sends all prompts with one way of choosing.
func experiment(choose func(table *Table, loads *fixedLoads, prefix, number, random uint64) int) outcome {
	random := rand.New(rand.NewPCG(7, 7))
	zipf := rand.NewZipf(random, 1.1, 4, prefixes-1)
	table, loads := tableOf(fleet(home, engines))
	loads.limit = 4 * streams
	servers := make([]engine, engines)
	for i := range servers {
		servers[i] = engine{free: make([]time.Duration, streams), cached: make(map[uint64]*list.Element), recent: list.New()}
	}
	latencies := hdrhistogram.New(1, int64(time.Hour), 3)
	var running endings
	now, hits := time.Duration(0), 0
	counts := make([]int, engines)
	for number := range uint64(prompts) {
		now += time.Duration(random.ExpFloat64() * float64(promptEvery))
		for len(running) > 0 && running[0].at <= now {
			loads.load[heap.Pop(&running).(ending).server]--
		}
		prefix := zipf.Uint64()
		server := choose(table, loads, mix(prefix)|1, number, random.Uint64())
		span := decodeTime
		hit := servers[server].hit(prefix)
		if !hit {
			span += prefillTime
		}
		end := servers[server].run(now, span)
		loads.load[server]++
		heap.Push(&running, ending{at: end, server: server})
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

// BenchmarkExperiment prints the outcomes of the ways of choosing.
func BenchmarkExperiment(b *testing.B) {
	for _, way := range []struct {
		name   string
		choose func(table *Table, loads *fixedLoads, prefix, number, random uint64) int
	}{
		{"affinity", func(table *Table, loads *fixedLoads, prefix, _, random uint64) int {
			choice, _ := table.Pick(&Request{Affinity: prefix, Random: random}, loads)
			return choice.Server
		}},
		{"affinity-without-bound", func(table *Table, _ *fixedLoads, prefix, _, _ uint64) int {
			return table.tiers[0].ring.home(prefix)
		}},
		{"two-choices", func(table *Table, loads *fixedLoads, _, _, random uint64) int {
			return table.TwoChoices(random, loads)
		}},
		{"round-robin", func(table *Table, _ *fixedLoads, _, number, _ uint64) int {
			return table.RoundRobin(number)
		}},
	} {
		b.Run(way.name, func(b *testing.B) {
			var got outcome
			for b.Loop() {
				got = experiment(way.choose)
			}
			b.ReportMetric(100*got.hits, "hit-%")
			b.ReportMetric(float64(got.p50.Milliseconds()), "p50-ms")
			b.ReportMetric(float64(got.p99.Milliseconds()), "p99-ms")
			b.ReportMetric(got.busiest, "busiest/mean")
		})
	}
}
