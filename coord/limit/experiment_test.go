package limit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The experiments drive a gate with simulated time: streams of requests share
// its places, and each request holds one for its span.
const (
	places    = 32
	simulated = 120 * time.Second
)

// stream is a Poisson stream of requests.
type stream struct {
	ask   Ask
	every time.Duration
	span  time.Duration
	due   time.Duration
}

type arrival struct {
	at     time.Duration
	stream int
	end    time.Duration
}

type arrivals []arrival

func (h arrivals) Len() int           { return len(h) }
func (h arrivals) Less(i, j int) bool { return h[i].end < h[j].end }
func (h arrivals) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *arrivals) Push(x any)        { *h = append(*h, x.(arrival)) }
func (h *arrivals) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// served is what became of a stream.
type served struct {
	offered, inTime int
	latency         *hdrhistogram.Histogram
}

// offer makes the arrivals of all streams.
func offer(streams []stream) []arrival {
	var all []arrival
	for i, s := range streams {
		random := rand.New(rand.NewPCG(uint64(i), 3))
		for at := time.Duration(0); at < simulated; at += time.Duration(random.ExpFloat64() * float64(s.every)) {
			all = append(all, arrival{at: at, stream: i})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// drive runs the streams; flatten changes an ask to what the baseline sees.
func drive(streams []stream, flatten func(*Ask)) []served {
	g := NewGate[arrival](places)
	outcomes := make([]served, len(streams))
	for i := range outcomes {
		outcomes[i].latency = hdrhistogram.New(1, int64(time.Hour), 3)
	}
	var running arrivals
	begin := func(now time.Duration, a arrival) {
		a.end = now + streams[a.stream].span
		heap.Push(&running, a)
	}
	finish := func(until time.Duration) {
		for len(running) > 0 && running[0].end <= until {
			done := heap.Pop(&running).(arrival)
			s := streams[done.stream]
			took := done.end - done.at
			_ = outcomes[done.stream].latency.RecordValue(int64(took))
			if took <= s.due {
				outcomes[done.stream].inTime++
			}
			ask := s.ask
			flatten(&ask)
			g.Release(ask.Class, s.span)
			for w, runs := g.Next(epoch.Add(done.end)); w != nil; w, runs = g.Next(epoch.Add(done.end)) {
				if runs {
					begin(done.end, w.Value)
				}
			}
		}
	}
	for _, a := range offer(streams) {
		finish(a.at)
		s := streams[a.stream]
		ask := s.ask
		ask.Due = epoch.Add(a.at + s.due)
		flatten(&ask)
		outcomes[a.stream].offered++
		switch verdict := g.Admit(epoch.Add(a.at), ask); verdict.Action {
		case Run:
			begin(a.at, a)
		case Wait:
			verdict.Waiter.Value = a
		}
	}
	finish(2 * simulated)
	return outcomes
}

// BenchmarkExperimentClasses overloads a service with rollouts and looks at
// the look-ups among them, with and without the order of classes.
func BenchmarkExperimentClasses(b *testing.B) {
	streams := []stream{
		{ask: Ask{Workspace: "portal", Class: structs.ClassLookup}, every: 20 * time.Millisecond, span: 20 * time.Millisecond, due: 500 * time.Millisecond},
		{ask: Ask{Workspace: "portal", Class: structs.ClassRollout}, every: 10 * time.Millisecond, span: 800 * time.Millisecond, due: time.Minute},
	}
	for _, way := range []struct {
		name    string
		flatten func(*Ask)
	}{
		{"classes-and-due-times", func(*Ask) {}},
		{"due-times", func(ask *Ask) { ask.Class = structs.ClassRollout }},
		{"arrival", func(ask *Ask) { ask.Class, ask.Due = structs.ClassRollout, time.Time{} }},
	} {
		b.Run(way.name, func(b *testing.B) {
			flatten := way.flatten
			var got []served
			for b.Loop() {
				got = drive(streams, flatten)
			}
			b.ReportMetric(float64(got[0].latency.ValueAtPercentile(99))/1e6, "lookup-p99-ms")
			b.ReportMetric(100*float64(got[0].inTime)/float64(got[0].offered), "lookup-in-time-%")
			b.ReportMetric(100*float64(got[1].inTime)/float64(got[1].offered), "rollout-in-time-%")
		})
	}
}

// BenchmarkExperimentShares lets a large workspace offer twenty times what a
// small one does, over what the places carry.
func BenchmarkExperimentShares(b *testing.B) {
	streams := []stream{
		{ask: Ask{Workspace: "large", Class: structs.ClassDraft}, every: 10 * time.Millisecond, span: 500 * time.Millisecond, due: 3 * time.Second},
		{ask: Ask{Workspace: "small", Class: structs.ClassDraft}, every: 200 * time.Millisecond, span: 500 * time.Millisecond, due: 3 * time.Second},
	}
	for _, way := range []struct {
		name    string
		flatten func(*Ask)
	}{
		{"shares", func(*Ask) {}},
		{"arrival", func(ask *Ask) { ask.Workspace = "all" }},
	} {
		b.Run(way.name, func(b *testing.B) {
			flatten := way.flatten
			var got []served
			for b.Loop() {
				got = drive(streams, flatten)
			}
			b.ReportMetric(float64(got[1].latency.ValueAtPercentile(99))/1e6, "small-p99-ms")
			b.ReportMetric(100*float64(got[1].inTime)/float64(got[1].offered), "small-in-time-%")
			b.ReportMetric(100*float64(got[0].inTime)/float64(got[0].offered), "large-in-time-%")
		})
	}
}

// BenchmarkExperimentLimit keeps a server busy that runs twenty requests at
// once and, in the middle, only five: the adaptive limit against a fixed one.
func BenchmarkExperimentLimit(b *testing.B) {
	const (
		windows = 400
		span    = 10 * time.Millisecond
		fixed   = 256
	)
	for _, adaptive := range []bool{true, false} {
		name := map[bool]string{true: "adaptive", false: "fixed"}[adaptive]
		b.Run(name, func(b *testing.B) {
			var slow *hdrhistogram.Histogram
			answered := 0
			for b.Loop() {
				slow, answered = hdrhistogram.New(1, int64(time.Hour), 3), 0
				a := NewAdaptive()
				for window := range windows {
					room := 20
					if window >= windows/2 {
						room = 5
					}
					inFlight := fixed
					if adaptive {
						inFlight = a.Limit()
					}
					latency := span * time.Duration(max(room, inFlight)) / time.Duration(room)
					count := int(250 * time.Millisecond * time.Duration(inFlight) / latency)
					answered += count
					_ = slow.RecordValues(int64(latency), int64(count))
					a.Observe(Window{Finished: count, Latency: latency * time.Duration(count), Peak: inFlight})
				}
			}
			b.ReportMetric(float64(slow.ValueAtPercentile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(slow.ValueAtPercentile(99))/1e6, "p99-ms")
			b.ReportMetric(float64(answered), "answered")
		})
	}
}
