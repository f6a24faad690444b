package limit

import (
	"math"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// minWorkspaceQueue is how many requests of a workspace may be queued in any case, so that
// one that asks little may ask for some things at once.
const minWorkspaceQueue = 4

// flow is the state of one workspace in one class. Start-time fair queueing
// orders its requests among those of other workspaces: each request advances
// the next start tag by the inverse of the share.
type flow struct {
	finishTag float64
	share     float64
	queued    int
}

type flowKey struct {
	workspace structs.WorkspaceName
	queue     int
}

func (c *AdmissionController[T]) flow(request Request) *flow {
	key := flowKey{workspace: request.Workspace, queue: queueIndex(request)}
	f, ok := c.flows[key]
	if !ok {
		f = &flow{}
		c.flows[key] = f
	}
	switch {
	case f.queued == 0:
		f.share = request.Share
	case request.ByDemand:
		// What a workspace is due changes while its requests wait.
		c.queues[key.queue].activeShares += request.Share - f.share
		f.share = request.Share
	}
	return f
}

// checkQueueBound refuses a request whose workspace uses up its part of the
// queue.
func (c *AdmissionController[T]) checkQueueBound(request Request, f *flow) result.Code {
	q := &c.queues[queueIndex(request)]
	others := q.activeShares
	if f.queued > 0 {
		others -= f.share
	}
	limit := float64(max(minQueueBound, c.capacity*queuedPerSlot))
	workspaceBound := max(1, math.Ceil(limit*f.share/(f.share+others)))
	if request.ByDemand {
		workspaceBound = max(minWorkspaceQueue, workspaceBound)
	}
	if float64(f.queued) < workspaceBound {
		return result.OK
	}
	if len(q.waiters) > f.queued {
		return result.FairShareExceeded
	}
	return result.Overloaded
}

func (c *AdmissionController[T]) enqueue(now time.Time, request Request, f *flow, a *account) *Waiter[T] {
	q := &c.queues[queueIndex(request)]
	if f.queued == 0 {
		q.activeShares += f.share
	}
	f.queued++
	c.sequence++
	w := &Waiter[T]{Request: request, flow: f, account: a, enqueuedAt: now, sequence: c.sequence, startTag: max(q.virtualTime, f.finishTag)}
	cost := 1.0
	if a != nil {
		cost = a.places()
		a.queued++
	}
	f.finishTag = w.startTag + cost/f.share
	q.waiters.push(w)
	return w
}
