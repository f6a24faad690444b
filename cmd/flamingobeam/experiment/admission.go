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

// The experiments on admission drive an admission controller in simulated time.
// Streams of requests share its slots, and each request holds one slot for its
// service time.
const (
	slots         = 32
	simulatedTime = 120 * time.Second
)

// stream is a Poisson process of requests with the same properties.
type stream struct {
	request limit.Request
	// meanInterval is the mean time between two requests.
	meanInterval time.Duration
	serviceTime  time.Duration
	// timeout is the time from the arrival of a request to its deadline.
	timeout time.Duration
}

// arrival is a request of a stream.
type arrival struct {
	at     time.Duration
	stream int
	end    time.Duration
}

func (a arrival) before(other arrival) bool { return a.end < other.end }

// streamStats holds the number of requests of a stream, the number of those that
// completed within their timeout, and the latencies.
type streamStats struct {
	offered, onTime int
	latency         *hdrhistogram.Histogram
}

// generateArrivals returns the arrivals of all streams in order of time.
func generateArrivals(streams []stream) []arrival {
	var arrivals []arrival
	for i, s := range streams {
		random := rand.New(rand.NewPCG(uint64(i), 3))
		for at := time.Duration(0); at < simulatedTime; at += time.Duration(random.ExpFloat64() * float64(s.meanInterval)) {
			arrivals = append(arrivals, arrival{at: at, stream: i})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// admissionSimulation drives an admission controller in simulated time. simplify
// removes from a request the properties that a variant ignores.
type admissionSimulation struct {
	streams    []stream
	simplify   func(*limit.Request)
	controller *limit.AdmissionController[arrival]
	running    *eventQueue[arrival]
	stats      []streamStats
}

// simulate runs the streams through an admission controller and returns the
// statistics of each.
func simulate(streams []stream, simplify func(*limit.Request)) []streamStats {
	s := &admissionSimulation{
		streams:    streams,
		simplify:   simplify,
		controller: limit.NewAdmissionController[arrival](slots),
		running:    &eventQueue[arrival]{},
		stats:      make([]streamStats, len(streams)),
	}
	for i := range s.stats {
		s.stats[i].latency = hdrhistogram.New(1, int64(time.Hour), significantDigits)
	}
	for _, a := range generateArrivals(streams) {
		s.completeUntil(a.at)
		s.arrive(a)
	}
	s.completeUntil(2 * simulatedTime)
	return s.stats
}

func (s *admissionSimulation) request(a arrival) limit.Request {
	request := s.streams[a.stream].request
	request.Deadline = epoch.Add(a.at + s.streams[a.stream].timeout)
	s.simplify(&request)
	return request
}

func (s *admissionSimulation) arrive(a arrival) {
	s.stats[a.stream].offered++
	switch verdict := s.controller.Admit(epoch.Add(a.at), s.request(a)); verdict.Action {
	case limit.ActionRun:
		s.start(a.at, a)
	case limit.ActionQueue:
		verdict.Waiter.Value = a
	}
}

func (s *admissionSimulation) start(now time.Duration, a arrival) {
	a.end = now + s.streams[a.stream].serviceTime
	heap.Push(s.running, a)
}

// completeUntil completes the requests that end by a time and starts queued ones
// in their slots.
func (s *admissionSimulation) completeUntil(until time.Duration) {
	for s.running.Len() > 0 && s.running.first().end <= until {
		completed := heap.Pop(s.running).(arrival)
		source, latency := s.streams[completed.stream], completed.end-completed.at
		_ = s.stats[completed.stream].latency.RecordValue(int64(latency))
		if latency <= source.timeout {
			s.stats[completed.stream].onTime++
		}
		now := epoch.Add(completed.end)
		s.controller.Release(s.request(completed).Class, source.serviceTime)
		for w, runs := s.controller.Dequeue(now); w != nil; w, runs = s.controller.Dequeue(now) {
			if runs {
				s.start(completed.end, w.Value)
			}
		}
	}
}

// figures returns the percentage of requests completed in time and the 99th
// percentile of the latency.
func (s *streamStats) figures(name string) []Figure {
	return []Figure{
		{Name: name + " in time, %", Value: 100 * float64(s.onTime) / float64(s.offered)},
		{Name: name + " p99, ms", Value: float64(s.latency.ValueAtPercentile(99)) / nanosPerMilli},
	}
}

// runVariant simulates two streams and returns the figures of both.
func runVariant(name string, streams []stream, names [2]string, simplify func(*limit.Request)) Way {
	stats := simulate(streams, simplify)
	return Way{Name: name, Figures: append(stats[0].figures(names[0]), stats[1].figures(names[1])...)}
}

// Classes overloads a service with rollouts and measures the lookups among them,
// with and without priority by class.
func Classes() Result {
	streams := []stream{
		{request: limit.Request{Workspace: "portal", Class: structs.ClassLookup}, meanInterval: 20 * time.Millisecond, serviceTime: 20 * time.Millisecond, timeout: 500 * time.Millisecond},
		{request: limit.Request{Workspace: "portal", Class: structs.ClassRollout}, meanInterval: 10 * time.Millisecond, serviceTime: 800 * time.Millisecond, timeout: time.Minute},
	}
	names := [2]string{"look-ups", "rollouts"}
	return Result{Name: "classes", Ways: []Way{
		runVariant("classes and due times", streams, names, func(*limit.Request) {}),
		runVariant("due times alone", streams, names, func(request *limit.Request) { request.Class = structs.ClassRollout }),
		runVariant("arrival alone", streams, names, func(request *limit.Request) { request.Class, request.Deadline = structs.ClassRollout, time.Time{} }),
	}}
}

// Shares lets a large workspace send twenty times the requests of a small one,
// which together exceed the capacity of the slots.
func Shares() Result {
	streams := []stream{
		{request: limit.Request{Workspace: "small", Class: structs.ClassDraft}, meanInterval: 200 * time.Millisecond, serviceTime: 500 * time.Millisecond, timeout: 3 * time.Second},
		{request: limit.Request{Workspace: "large", Class: structs.ClassDraft}, meanInterval: 10 * time.Millisecond, serviceTime: 500 * time.Millisecond, timeout: 3 * time.Second},
	}
	names := [2]string{"small", "large"}
	return Result{Name: "shares", Ways: []Way{
		runVariant("fair shares", streams, names, func(*limit.Request) {}),
		runVariant("arrival", streams, names, func(request *limit.Request) { request.Workspace = "all" }),
	}}
}
