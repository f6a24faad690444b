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

func keyOfFlow(request Request) flowKey {
	return flowKey{workspace: request.Workspace, queue: queueIndex(request)}
}

// flowOf returns the flow of a request with the share that it has from now on.
func (c *AdmissionController[T]) flowOf(request Request) flow {
	var next flow
	if f := c.flows[keyOfFlow(request)]; f != nil {
		next = *f
	}
	// What a workspace is due changes while its requests wait; a fixed share does not.
	if next.queued == 0 || request.ByDemand {
		next.share = request.Share
	}
	return next
}

// applyFlow stores the flow that flowOf returned for a request.
func (c *AdmissionController[T]) applyFlow(request Request, next flow) {
	key := keyOfFlow(request)
	f := c.flows[key]
	if f == nil {
		f = &flow{}
		c.flows[key] = f
	}
	if f.queued > 0 {
		c.queues[key.queue].activeShares += next.share - f.share
	}
	*f = next
}

// checkQueueBound refuses a request whose workspace uses up its part of the
// queue.
func (c *AdmissionController[T]) checkQueueBound(request Request, f flow) result.Code {
	q := &c.queues[queueIndex(request)]
	others := q.activeShares
	if stored := c.flows[keyOfFlow(request)]; stored != nil && stored.queued > 0 {
		others -= stored.share
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

func (c *AdmissionController[T]) enqueue(now time.Time, request Request, a *account) *Waiter[T] {
	q, f := &c.queues[queueIndex(request)], c.flows[keyOfFlow(request)]
	if f.queued == 0 {
		q.activeShares += f.share
	}
	f.queued++
	c.sequence++
	w := &Waiter[T]{Request: request, flow: f, account: a, enqueuedAt: now, sequence: c.sequence, startTag: q.startTagOf(*f)}
	cost := 1.0
	if a != nil {
		cost = a.places()
		a.queued++
	}
	f.finishTag = w.startTag + cost/f.share
	q.waiters.push(w)
	return w
}
