package limit

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Request is a request that wants a place.
type Request struct {
	Workspace structs.WorkspaceName
	Class     structs.Class
	// Share is the workspace's weight; zero counts as one.
	Share float64
	// Deadline is when the answer must be there; zero means never.
	Deadline time.Time
}

// Action says what becomes of an ask.
type Action uint8

// The actions.
const (
	// ActionRun means that the request has its place.
	ActionRun Action = iota
	// ActionQueue means that it waits for one.
	ActionQueue
	// ActionRefuse means that it gets none.
	ActionRefuse
)

// Decision is the decision about an ask.
type Decision[T any] struct {
	Action Action
	// Waiter is set when the request waits.
	Waiter *Waiter[T]
	// Code and RetryAfter are set when it is refused.
	Code       result.Code
	RetryAfter time.Duration
}

// Waiter is a request in the queue.
type Waiter[T any] struct {
	Request Request
	// Value is the caller's own.
	Value T

	flow   *flow
	since  time.Time
	tag    float64
	number uint64
	index  int
}

const notWaiting = -1

// lane is the queue of one class.
type lane[T any] struct {
	heap waiterHeap[T]
	// virtual is the tag of the request served last.
	virtual float64
	// shares sums the shares of the workspaces that wait.
	shares float64
	// service is the mean time that a request takes.
	service time.Duration
}

// headroom is the part of the places that a class may fill. What it leaves
// free is there at once for the classes before it.
var headroom = [structs.ClassCount]float64{
	structs.ClassLookup:     1,
	structs.ClassSubmission: 1,
	structs.ClassDossier:    0.95,
	structs.ClassDraft:      0.9,
	structs.ClassRollout:    0.8,
	structs.ClassInternal:   0.6,
}

const (
	// queueFactor is the bound of a class's queue, in places.
	queueFactor = 4
	// minQueue is the least bound of a class's queue, in requests.
	minQueue = 16
	// agingTurn gives every so-manieth place of the classes after submissions
	// to the request that waits longest, so that none waits forever.
	agingTurn = 8
	// serviceWeight is the weight of a new service time in the mean.
	serviceWeight = 0.05
	// minRetryAfter is the shortest time after which to try again.
	minRetryAfter = time.Second
)

// AdmissionController admits requests to a bounded count of places. T is what the caller
// keeps with each waiting request.
type AdmissionController[T any] struct {
	capacity int
	local    int
	running  int
	lanes    [structs.ClassCount]lane[T]
	flows    map[flowKey]*flow
	number   uint64
	turn     int
}

// NewAdmissionController returns a gate with a count of places.
func NewAdmissionController[T any](capacity int) *AdmissionController[T] {
	return &AdmissionController[T]{capacity: capacity, local: capacity, flows: make(map[flowKey]*flow)}
}

// SetCapacity changes the count of places, and how many of them are in the own
// region, where rollouts and internal checks stay; see Dequeue.
func (g *AdmissionController[T]) SetCapacity(capacity, local int) {
	g.capacity, g.local = capacity, local
}

// Running returns the count of places taken.
func (g *AdmissionController[T]) Running() int { return g.running }

// QueueLength returns the length of a class's queue.
func (g *AdmissionController[T]) QueueLength(class structs.Class) int {
	return len(g.lanes[class].heap)
}

// Admit decides about a request.
func (g *AdmissionController[T]) Admit(now time.Time, ask Request) Decision[T] {
	if !ask.Deadline.IsZero() && !now.Before(ask.Deadline) {
		return Decision[T]{Action: ActionRefuse, Code: result.DueTimePassed}
	}
	if ask.Share <= 0 {
		ask.Share = 1
	}
	if g.running < g.room(ask.Class) && g.waitingUpTo(ask.Class) == 0 {
		g.running++
		return Decision[T]{Action: ActionRun}
	}
	wait := g.expectedWait(ask.Class)
	if !ask.Deadline.IsZero() && now.Add(wait).After(ask.Deadline) {
		return refusal[T](result.Overloaded, wait-ask.Deadline.Sub(now))
	}
	f := g.flow(ask)
	if code := g.bound(ask, f); code != result.OK {
		return refusal[T](code, wait)
	}
	return Decision[T]{Action: ActionQueue, Waiter: g.enqueue(now, ask, f)}
}

func refusal[T any](code result.Code, after time.Duration) Decision[T] {
	return Decision[T]{Action: ActionRefuse, Code: code, RetryAfter: max(after, minRetryAfter)}
}

// room is the count of places that a class may see taken and still get one.
func (g *AdmissionController[T]) room(class structs.Class) int {
	places := g.capacity
	if class >= structs.ClassRollout {
		places = g.local
	}
	if places == 0 {
		return 0
	}
	return max(1, int(float64(places)*headroom[class]))
}

// waitingUpTo counts the requests that wait in a class and those before it.
func (g *AdmissionController[T]) waitingUpTo(class structs.Class) int {
	count := 0
	for i := range g.lanes[:class+1] {
		count += len(g.lanes[i].heap)
	}
	return count
}

// expectedWait estimates the time until a new request of a class would run.
func (g *AdmissionController[T]) expectedWait(class structs.Class) time.Duration {
	var work time.Duration
	for i := range g.lanes[:class+1] {
		work += time.Duration(len(g.lanes[i].heap)) * g.lanes[i].service
	}
	return work / time.Duration(max(1, g.room(class)))
}

// Release gives a place back. The span is how long the request ran, or zero
// when it did not.
func (g *AdmissionController[T]) Release(class structs.Class, span time.Duration) {
	g.running--
	if span <= 0 {
		return
	}
	l := &g.lanes[class]
	if l.service == 0 {
		l.service = span
		return
	}
	l.service += time.Duration(serviceWeight * float64(span-l.service))
}

// Cancel takes a request out of the queue, and reports false when it has its
// place or its refusal already.
func (g *AdmissionController[T]) Cancel(w *Waiter[T]) bool {
	if w.index == notWaiting {
		return false
	}
	g.take(w)
	return true
}

// Dequeue takes the next request out of the queue and reports whether it runs;
// one that does not was due too soon. It returns nil when none can be served
// now. Call it until then after Release, Cancel and SetCapacity.
func (g *AdmissionController[T]) Dequeue(now time.Time) (w *Waiter[T], runs bool) {
	w = g.choose()
	if w == nil {
		return nil, false
	}
	g.take(w)
	if !w.Request.Deadline.IsZero() && !now.Before(w.Request.Deadline) {
		return w, false
	}
	g.lanes[w.Request.Class].virtual = w.tag
	g.running++
	return w, true
}

// choose returns the request whose turn it is: the first class that waits,
// but now and then the longest wait among the classes after submissions.
func (g *AdmissionController[T]) choose() *Waiter[T] {
	for class := structs.ClassLookup; class <= structs.ClassSubmission; class++ {
		if w := g.head(class); w != nil {
			return w
		}
	}
	var first, oldest *Waiter[T]
	for class := structs.ClassDossier; int(class) < structs.ClassCount; class++ {
		w := g.head(class)
		if w == nil {
			continue
		}
		if first == nil {
			first = w
		}
		if oldest == nil || w.since.Before(oldest.since) {
			oldest = w
		}
	}
	if first == nil {
		return nil
	}
	if g.turn++; g.turn%agingTurn == 0 {
		return oldest
	}
	return first
}

// head returns the next request of a class, or nil when it may not run now.
func (g *AdmissionController[T]) head(class structs.Class) *Waiter[T] {
	heap := g.lanes[class].heap
	if len(heap) == 0 || g.running >= g.room(class) {
		return nil
	}
	return heap[0]
}

// take removes a waiter from its queue.
func (g *AdmissionController[T]) take(w *Waiter[T]) {
	l := &g.lanes[w.Request.Class]
	l.heap.remove(w.index)
	w.flow.waiting--
	if w.flow.waiting == 0 {
		l.shares -= w.flow.share
	}
}
