package limit

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// verdict is the decision on a request before it has taken effect.
type verdict struct {
	action Action
	code   result.Code
	// usesFlow is set if the request asks for a place in the queue. Its workspace then has
	// flowShare, and flow is its flow; nil if it has none yet.
	usesFlow  bool
	flow      *flow
	flowShare float64
	// account is that of the workspace; nil if it has none.
	account *account
	// wait is the estimated time until the request would run.
	wait       time.Duration
	retryAfter time.Duration
}

// judge decides on a request, and sets the share that it is judged by. It changes the given
// accounts, to which the request is added, and nothing else.
func (c *AdmissionController[T]) judge(now time.Time, request *Request, as *accounts) (v verdict) {
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		v.action, v.code = ActionRefuse, result.DueTimePassed
		return v
	}
	if request.Share <= 0 {
		request.Share = 1
	}
	if request.ByDemand {
		v.account = as.ask(now, *request, c.capacity)
		request.Share = as.weightOf(v.account)
	}
	if c.running < c.capacityFor(request.Class) && c.queuedUpTo(queueIndex(*request)) == 0 {
		return v
	}
	v.wait = c.expectedWait(*request, v.account, as)
	if !request.Deadline.IsZero() && now.Add(v.wait).After(request.Deadline) {
		v.refuse(result.Overloaded, v.wait-request.Deadline.Sub(now))
		return v
	}
	v.usesFlow, v.flow = true, c.flows[keyOfFlow(*request)]
	v.flowShare = v.flow.shareFor(request)
	if code := c.checkQueueBound(request, v.flow, v.flowShare); code != result.OK {
		v.refuse(code, v.wait)
		return v
	}
	v.action = ActionQueue
	return v
}

func (v *verdict) refuse(code result.Code, retryAfter time.Duration) {
	v.action, v.code, v.retryAfter = ActionRefuse, code, max(retryAfter, minRetryAfter)
}

// Forecast is what Admit would decide on a request.
type Forecast struct {
	Action Action
	// Code and RetryAfter are set if the request would be refused.
	Code       result.Code
	RetryAfter time.Duration
	// Place is the place that the request would take in the queue, from one, by the order
	// of the queue: each fourth slot goes to the workspace that has got least. Wait
	// estimates the time until it would run. Both are zero unless it would be queued.
	Place int
	Wait  time.Duration
	// Running and Places are the slots in use and those that the request's class may use.
	Running, Places int
	// Due is the part of what its workspace asks that it is due; zero without workspaces.
	Due float64
}

// Forecast returns what Admit would decide now. It changes nothing.
func (c *AdmissionController[T]) Forecast(now time.Time, request Request) Forecast {
	as := c.accounts.clone()
	v := c.judge(now, &request, &as)
	forecast := Forecast{
		Action: v.action, Code: v.code, RetryAfter: v.retryAfter, Running: c.running, Places: c.capacityFor(request.Class),
	}
	if v.account != nil {
		forecast.Due = v.account.due
	}
	if v.action == ActionQueue {
		index := queueIndex(request)
		q := &c.queues[index]
		forecast.Wait, forecast.Place = v.wait, 1+c.queuedUpTo(index)-len(q.waiters)
		tag := q.startTagOf(v.flow)
		for _, w := range q.waiters {
			if w.startTag <= tag {
				forecast.Place++
			}
		}
	}
	return forecast
}

// startTagOf returns the start tag of the next request of a flow.
func (q *classQueue[T]) startTagOf(f *flow) float64 {
	if f == nil {
		return q.virtualTime
	}
	return max(q.virtualTime, f.finishTag)
}

func (as *accounts) clone() accounts {
	copied := *as
	copied.byName = make(map[structs.WorkspaceName]*account, len(as.byName))
	for name, a := range as.byName {
		next := *a
		copied.byName[name] = &next
	}
	return copied
}
