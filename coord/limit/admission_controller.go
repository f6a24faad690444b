package limit

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Request is a request for a slot.
type Request struct {
	Workspace structs.WorkspaceName
	Class     structs.Class
	// Share is the weight of the workspace; zero counts as one.
	Share float64
	// ByDemand is set where the weight of a workspace follows from what all workspaces
	// ask, in work, and not from Share.
	ByDemand bool
	// Priority is that of the workspace, which precedes the class; zero is the highest.
	// It needs ByDemand.
	Priority int
	// Deadline is when the response must be complete; zero means none.
	Deadline time.Time
}

// Action is what the caller must do with a request.
type Action uint8

// Actions of a decision.
const (
	// ActionRun means that the request has a slot.
	ActionRun Action = iota
	// ActionQueue means that the request is queued for a slot.
	ActionQueue
	// ActionRefuse means that the request is refused.
	ActionRefuse
)

// Decision is the result of Admit.
type Decision[T any] struct {
	Action Action
	// Waiter is set when the request is queued.
	Waiter *Waiter[T]
	// Code and RetryAfter are set when the request is refused.
	Code       result.Code
	RetryAfter time.Duration
}

// Waiter is a queued request.
type Waiter[T any] struct {
	Request Request
	// Value is data of the caller.
	Value T

	flow       *flow
	account    *account
	enqueuedAt time.Time
	startTag   float64
	sequence   uint64
	index      int
}

const notQueued = -1

// priorityLevels is the number of priorities of workspaces that are told apart.
const priorityLevels = 3

// queueIndex returns the index of the queue of a request. The queues are in order of the
// workspaces' priorities, and for each by class.
func queueIndex(request Request) int {
	level := 0
	if request.ByDemand {
		level = min(max(0, request.Priority), priorityLevels-1)
	}
	return level*structs.ClassCount + int(request.Class)
}

// classQueue is the queue of one class.
type classQueue[T any] struct {
	waiters waiterHeap[T]
	// virtualTime is the start tag of the request that was dequeued last.
	virtualTime float64
	// activeShares is the sum of the shares of the workspaces with queued
	// requests.
	activeShares float64
	// meanServiceTime is the mean time for which a request holds its slot.
	meanServiceTime time.Duration
}

// capacityFraction is the fraction of the slots up to which a class may fill
// them. The rest stays free for the classes with a higher priority.
var capacityFraction = [structs.ClassCount]float64{
	structs.ClassLookup:     1,
	structs.ClassSubmission: 1,
	structs.ClassDossier:    0.95,
	structs.ClassDraft:      0.9,
	structs.ClassRollout:    0.8,
	structs.ClassInternal:   0.6,
}

const (
	// queuedPerSlot is the bound of the queue of a class, in requests for each
	// slot.
	queuedPerSlot = 4
	// minQueueBound is the lowest bound of the queue of a class, in requests.
	minQueueBound = 16
	// agingInterval prevents starvation: of the classes below submissions,
	// every agingInterval-th dequeued request is the one that has waited
	// longest.
	agingInterval = 8
	// serviceTimeSmoothing is the weight of a new service time in the mean.
	serviceTimeSmoothing = 0.05
	// minRetryAfter is the shortest delay before a retry that a refusal names.
	minRetryAfter = time.Second
)

// AdmissionController admits requests to a bounded number of slots. T is the
// type of the data that the caller attaches to each queued request.
type AdmissionController[T any] struct {
	capacity      int
	localCapacity int
	running       int
	queues        [priorityLevels * structs.ClassCount]classQueue[T]
	accounts      accounts
	flows         map[flowKey]*flow
	sequence      uint64
	lowClassPicks int
}

// NewAdmissionController returns a controller with a number of slots.
func NewAdmissionController[T any](capacity int) *AdmissionController[T] {
	return &AdmissionController[T]{capacity: capacity, localCapacity: capacity, flows: make(map[flowKey]*flow), accounts: accounts{byName: make(map[structs.WorkspaceName]*account)}}
}

// SetCapacity changes the number of slots, and how many of them are in the
// local region, to which rollouts and internal checks are confined. Call
// Dequeue afterwards.
func (c *AdmissionController[T]) SetCapacity(capacity, localCapacity int) {
	c.capacity, c.localCapacity = capacity, localCapacity
}

// Running returns the number of slots in use.
func (c *AdmissionController[T]) Running() int { return c.running }

// QueueLength returns the number of queued requests of a class.
func (c *AdmissionController[T]) QueueLength(class structs.Class) int {
	count := 0
	for i := int(class); i < len(c.queues); i += structs.ClassCount {
		count += len(c.queues[i].waiters)
	}
	return count
}

// Admit decides whether a request runs, is queued or is refused.
func (c *AdmissionController[T]) Admit(now time.Time, request Request) Decision[T] {
	v := c.judge(now, &request, &c.accounts)
	if v.usesFlow {
		v.flow = c.applyShare(request, v.flow, v.flowShare)
	}
	switch v.action {
	case ActionRun:
		c.run(v.account)
		return Decision[T]{Action: ActionRun}
	case ActionRefuse:
		return Decision[T]{Action: ActionRefuse, Code: v.code, RetryAfter: v.retryAfter}
	}
	return Decision[T]{Action: ActionQueue, Waiter: c.enqueue(now, request, v.flow, v.account)}
}

// run takes a slot for a request with an account, which is nil if it has none.
func (c *AdmissionController[T]) run(a *account) {
	c.running++
	if a != nil {
		a.got += a.places()
	}
}

// capacityFor returns the number of slots in use below which a class may take
// another one.
func (c *AdmissionController[T]) capacityFor(class structs.Class) int {
	slots := c.capacity
	if class >= structs.ClassRollout {
		slots = c.localCapacity
	}
	slots = c.accounts.bound(slots)
	if slots == 0 {
		return 0
	}
	return max(1, int(float64(slots)*capacityFraction[class]))
}

// queuedUpTo returns the number of requests in a queue and in those before it.
func (c *AdmissionController[T]) queuedUpTo(index int) int {
	count := 0
	for i := range c.queues[:index+1] {
		count += len(c.queues[i].waiters)
	}
	return count
}

// expectedWait estimates the time until a new request would run. That of a workspace
// does not wait longer than its own requests before it take in the places that it is due.
func (c *AdmissionController[T]) expectedWait(request Request, a *account, as *accounts) time.Duration {
	var work time.Duration
	for i := range c.queues[:queueIndex(request)+1] {
		work += time.Duration(len(c.queues[i].waiters)) * c.queues[i].meanServiceTime
	}
	wait := work / time.Duration(max(1, c.capacityFor(request.Class)))
	if a == nil {
		return wait
	}
	own := float64(a.queued) * float64(a.work()) / as.weightOf(a)
	return time.Duration(min(float64(wait), own))
}

// Release frees a slot. The duration is how long the request ran; zero means
// that it did not run.
func (c *AdmissionController[T]) Release(class structs.Class, duration time.Duration) {
	c.running--
	if duration <= 0 {
		return
	}
	c.recordServiceTime(&c.queues[class], duration)
	for i := int(class) + structs.ClassCount; i < len(c.queues); i += structs.ClassCount {
		c.recordServiceTime(&c.queues[i], duration)
	}
}

func (c *AdmissionController[T]) recordServiceTime(q *classQueue[T], duration time.Duration) {
	if q.meanServiceTime == 0 {
		q.meanServiceTime = duration
		return
	}
	q.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(duration-q.meanServiceTime))
}

// Cancel removes a request from the queue. It returns false when the request
// was dequeued before.
func (c *AdmissionController[T]) Cancel(w *Waiter[T]) bool {
	if w.index == notQueued {
		return false
	}
	c.removeWaiter(w)
	return true
}

// Dequeue removes the next request from the queue and reports whether it runs
// or has passed its deadline. It returns nil when no request can run now. After
// Release, Cancel and SetCapacity, call it until it returns nil.
func (c *AdmissionController[T]) Dequeue(now time.Time) (w *Waiter[T], runs bool) {
	if c.queuedUpTo(len(c.queues)-1) == 0 {
		return nil, false
	}
	w = c.nextWaiter(now)
	if w == nil {
		return nil, false
	}
	c.removeWaiter(w)
	if !w.Request.Deadline.IsZero() && !now.Before(w.Request.Deadline) {
		return w, false
	}
	c.queues[queueIndex(w.Request)].virtualTime = w.startTag
	c.run(w.account)
	c.accounts.picks++
	return w, true
}

// nextWaiter returns the next request of the highest priority of workspaces that has one,
// or at times the one of the workspace that has got least, see guaranteeInterval.
func (c *AdmissionController[T]) nextWaiter(now time.Time) *Waiter[T] {
	if c.accounts.takesGuarantee() {
		if w := c.leastServed(now); w != nil {
			return w
		}
	}
	for level := range priorityLevels {
		if w := c.nextOfLevel(c.queues[level*structs.ClassCount:][:structs.ClassCount]); w != nil {
			return w
		}
	}
	return nil
}

// nextOfLevel returns the next request of the first class that has one. Among
// the classes below submissions it returns at times the request that has waited
// longest, see agingInterval.
func (c *AdmissionController[T]) nextOfLevel(queues []classQueue[T]) *Waiter[T] {
	for class := structs.ClassLookup; class <= structs.ClassSubmission; class++ {
		if w := c.runnableHead(queues, class); w != nil {
			return w
		}
	}
	var first, oldest *Waiter[T]
	for class := structs.ClassDossier; int(class) < structs.ClassCount; class++ {
		w := c.runnableHead(queues, class)
		if w == nil {
			continue
		}
		if first == nil {
			first = w
		}
		if oldest == nil || w.enqueuedAt.Before(oldest.enqueuedAt) {
			oldest = w
		}
	}
	if first == nil {
		return nil
	}
	if c.lowClassPicks++; c.lowClassPicks%agingInterval == 0 {
		return oldest
	}
	return first
}

// runnableHead returns the next request of a class, or nil when none is queued
// or the class has no slot left.
func (c *AdmissionController[T]) runnableHead(queues []classQueue[T], class structs.Class) *Waiter[T] {
	waiters := queues[class].waiters
	if len(waiters) == 0 || c.running >= c.capacityFor(class) {
		return nil
	}
	return waiters[0]
}

// removeWaiter removes a waiter from the queue of its class.
func (c *AdmissionController[T]) removeWaiter(w *Waiter[T]) {
	q := &c.queues[queueIndex(w.Request)]
	q.waiters.remove(w.index)
	if w.account != nil {
		w.account.queued--
	}
	w.flow.queued--
	if w.flow.queued == 0 {
		q.activeShares -= w.flow.share
	}
}
