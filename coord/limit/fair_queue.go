package limit

import (
	"math"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// flow is the state of one workspace in one class. Its requests are ordered
// against those of other workspaces by start tags, as in start-time fair
// queueing: each request moves the next tag on by one over the share.
type flow struct {
	finish  float64
	share   float64
	waiting int
}

type flowKey struct {
	workspace structs.WorkspaceName
	class     structs.Class
}

func (g *AdmissionController[T]) flow(ask Request) *flow {
	key := flowKey{workspace: ask.Workspace, class: ask.Class}
	f, ok := g.flows[key]
	if !ok {
		f = &flow{}
		g.flows[key] = f
	}
	if f.waiting == 0 {
		f.share = ask.Share
	}
	return f
}

// bound refuses a request whose workspace fills its part of the queue.
func (g *AdmissionController[T]) bound(ask Request, f *flow) result.Code {
	l := &g.lanes[ask.Class]
	others := l.shares
	if f.waiting > 0 {
		others -= f.share
	}
	limit := float64(max(minQueue, g.capacity*queueFactor))
	part := max(1, math.Ceil(limit*f.share/(f.share+others)))
	if float64(f.waiting) < part {
		return result.OK
	}
	if len(l.heap) > f.waiting {
		return result.FairShareExceeded
	}
	return result.Overloaded
}

func (g *AdmissionController[T]) enqueue(now time.Time, ask Request, f *flow) *Waiter[T] {
	l := &g.lanes[ask.Class]
	if f.waiting == 0 {
		l.shares += f.share
	}
	f.waiting++
	g.number++
	w := &Waiter[T]{Request: ask, flow: f, since: now, number: g.number, tag: max(l.virtual, f.finish)}
	f.finish = w.tag + 1/f.share
	l.heap.push(w)
	return w
}
