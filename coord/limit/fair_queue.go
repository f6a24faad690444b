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

// shareFor returns the share of a flow, which may be nil, from a request on. What a
// workspace is due changes while its requests wait; a fixed share does not.
func (f *flow) shareFor(request *Request) float64 {
	if f == nil || f.queued == 0 || request.ByDemand {
		return request.Share
	}
	return f.share
}

// applyShare gives a flow, which is created if it is nil, its share from a request on.
func (c *AdmissionController[T]) applyShare(request Request, f *flow, share float64) *flow {
	key := keyOfFlow(request)
	if f == nil {
		f = &flow{}
		c.flows[key] = f
	}
	if f.queued > 0 {
		c.queues[key.queue].activeShares += share - f.share
	}
	f.share = share
	return f
}

// checkQueueBound refuses a request whose workspace uses up its part of the
// queue. Its flow is nil if it has none yet.
func (c *AdmissionController[T]) checkQueueBound(request *Request, f *flow, share float64) result.Code {
	q := &c.queues[queueIndex(*request)]
	others, queued := q.activeShares, 0
	if f != nil && f.queued > 0 {
		others -= f.share
		queued = f.queued
	}
	limit := float64(max(minQueueBound, c.capacity*queuedPerSlot))
	workspaceBound := max(1, math.Ceil(limit*share/(share+others)))
	if request.ByDemand {
		workspaceBound = max(minWorkspaceQueue, workspaceBound)
	}
	if float64(queued) < workspaceBound {
		return result.OK
	}
	if len(q.waiters) > queued {
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
	w := &Waiter[T]{Request: request, flow: f, account: a, enqueuedAt: now, sequence: c.sequence, startTag: q.startTagOf(f)}
	cost := 1.0
	if a != nil {
		cost = a.places()
		a.queued++
	}
	f.finishTag = w.startTag + cost/f.share
	q.waiters.push(w)
	return w
}
