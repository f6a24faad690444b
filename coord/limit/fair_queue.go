package limit

import (
	"math"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

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
	class     structs.Class
}

func (c *AdmissionController[T]) flow(request Request) *flow {
	key := flowKey{workspace: request.Workspace, class: request.Class}
	f, ok := c.flows[key]
	if !ok {
		f = &flow{}
		c.flows[key] = f
	}
	if f.queued == 0 {
		f.share = request.Share
	}
	return f
}

// checkQueueBound refuses a request whose workspace uses up its part of the
// queue.
func (c *AdmissionController[T]) checkQueueBound(request Request, f *flow) result.Code {
	q := &c.queues[request.Class]
	others := q.activeShares
	if f.queued > 0 {
		others -= f.share
	}
	limit := float64(max(minQueueBound, c.capacity*queuedPerSlot))
	workspaceBound := max(1, math.Ceil(limit*f.share/(f.share+others)))
	if float64(f.queued) < workspaceBound {
		return result.OK
	}
	if len(q.waiters) > f.queued {
		return result.FairShareExceeded
	}
	return result.Overloaded
}

func (c *AdmissionController[T]) enqueue(now time.Time, request Request, f *flow) *Waiter[T] {
	q := &c.queues[request.Class]
	if f.queued == 0 {
		q.activeShares += f.share
	}
	f.queued++
	c.sequence++
	w := &Waiter[T]{Request: request, flow: f, enqueuedAt: now, sequence: c.sequence, startTag: max(q.virtualTime, f.finishTag)}
	f.finishTag = w.startTag + 1/f.share
	q.waiters.push(w)
	return w
}
