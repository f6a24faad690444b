package experiment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The experiments on admission drive a gate with simulated time: streams of requests share
// its places, and each request holds one for its span.
const (
	places    = 32
	simulated = 120 * time.Second
)

// stream is a Poisson stream of requests.
type stream struct {
	ask   limit.Request
	every time.Duration
	span  time.Duration
	due   time.Duration
}

type arrival struct {
	at     time.Duration
	stream int
	end    time.Duration
}

func (a arrival) before(other arrival) bool { return a.end < other.end }

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

// drive is a gate under simulated time. flatten changes an ask to what the
// baseline sees.
type drive struct {
	streams  []stream
	flatten  func(*limit.Request)
	gate     *limit.AdmissionController[arrival]
	running  *queue[arrival]
	outcomes []served
}

// run drives a gate through the streams and returns what became of each.
func run(streams []stream, flatten func(*limit.Request)) []served {
	d := &drive{
		streams:  streams,
		flatten:  flatten,
		gate:     limit.NewAdmissionController[arrival](places),
		running:  &queue[arrival]{},
		outcomes: make([]served, len(streams)),
	}
	for i := range d.outcomes {
		d.outcomes[i].latency = hdrhistogram.New(1, int64(time.Hour), significantDigits)
	}
	for _, a := range offer(streams) {
		d.finish(a.at)
		d.arrive(a)
	}
	d.finish(2 * simulated)
	return d.outcomes
}

func (d *drive) ask(a arrival) limit.Request {
	ask := d.streams[a.stream].ask
	ask.Deadline = epoch.Add(a.at + d.streams[a.stream].due)
	d.flatten(&ask)
	return ask
}

func (d *drive) arrive(a arrival) {
	d.outcomes[a.stream].offered++
	switch verdict := d.gate.Admit(epoch.Add(a.at), d.ask(a)); verdict.Action {
	case limit.ActionRun:
		d.begin(a.at, a)
	case limit.ActionQueue:
		verdict.Waiter.Value = a
	}
}

func (d *drive) begin(now time.Duration, a arrival) {
	a.end = now + d.streams[a.stream].span
	heap.Push(d.running, a)
}

// finish ends the requests that are done by a time.
func (d *drive) finish(until time.Duration) {
	for d.running.Len() > 0 && d.running.first().end <= until {
		done := heap.Pop(d.running).(arrival)
		s, took := d.streams[done.stream], done.end-done.at
		_ = d.outcomes[done.stream].latency.RecordValue(int64(took))
		if took <= s.due {
			d.outcomes[done.stream].inTime++
		}
		now := epoch.Add(done.end)
		d.gate.Release(d.ask(done).Class, s.span)
		for w, runs := d.gate.Dequeue(now); w != nil; w, runs = d.gate.Dequeue(now) {
			if runs {
				d.begin(done.end, w.Value)
			}
		}
	}
}

// figures names the share in time and the tail of a stream.
func (s *served) figures(name string) []Figure {
	return []Figure{
		{Name: name + " in time, %", Value: 100 * float64(s.inTime) / float64(s.offered)},
		{Name: name + " p99, ms", Value: float64(s.latency.ValueAtPercentile(99)) / nanosPerMilli},
	}
}

// way runs the streams and reports on both.
func way(name string, streams []stream, names [2]string, flatten func(*limit.Request)) Way {
	got := run(streams, flatten)
	return Way{Name: name, Figures: append(got[0].figures(names[0]), got[1].figures(names[1])...)}
}

// Classes overloads a service with rollouts and looks at the look-ups among
// them, with and without the order of classes.
func Classes() Result {
	streams := []stream{
		{ask: limit.Request{Workspace: "portal", Class: structs.ClassLookup}, every: 20 * time.Millisecond, span: 20 * time.Millisecond, due: 500 * time.Millisecond},
		{ask: limit.Request{Workspace: "portal", Class: structs.ClassRollout}, every: 10 * time.Millisecond, span: 800 * time.Millisecond, due: time.Minute},
	}
	names := [2]string{"look-ups", "rollouts"}
	return Result{Name: "classes", Ways: []Way{
		way("classes and due times", streams, names, func(*limit.Request) {}),
		way("due times alone", streams, names, func(ask *limit.Request) { ask.Class = structs.ClassRollout }),
		way("arrival alone", streams, names, func(ask *limit.Request) { ask.Class, ask.Deadline = structs.ClassRollout, time.Time{} }),
	}}
}

// Shares lets a large workspace offer twenty times what a small one does, over
// what the places carry.
func Shares() Result {
	streams := []stream{
		{ask: limit.Request{Workspace: "small", Class: structs.ClassDraft}, every: 200 * time.Millisecond, span: 500 * time.Millisecond, due: 3 * time.Second},
		{ask: limit.Request{Workspace: "large", Class: structs.ClassDraft}, every: 10 * time.Millisecond, span: 500 * time.Millisecond, due: 3 * time.Second},
	}
	names := [2]string{"small", "large"}
	return Result{Name: "shares", Ways: []Way{
		way("fair shares", streams, names, func(*limit.Request) {}),
		way("arrival", streams, names, func(ask *limit.Request) { ask.Workspace = "all" }),
	}}
}
