package limit

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// verdict is the decision on a request before it has taken effect.
type verdict struct {
	action Action
	// request has the share that it is judged by, and account is that of its workspace; nil
	// if it has none.
	request Request
	account *account
	// flow is that of the workspace after the request, if usesFlow is set.
	flow     flow
	usesFlow bool
	// wait is the estimated time until the request would run.
	wait       time.Duration
	code       result.Code
	retryAfter time.Duration
}

// judge decides on a request. It changes the given accounts, to which the request is added,
// and nothing else.
func (c *AdmissionController[T]) judge(now time.Time, request Request, as *accounts) verdict {
	v := verdict{request: request}
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		v.action, v.code = ActionRefuse, result.DueTimePassed
		return v
	}
	if request.Share <= 0 {
		v.request.Share = 1
	}
	if request.ByDemand {
		v.account = as.ask(now, request, c.capacity)
		v.request.Share = as.weightOf(v.account)
	}
	if c.running < c.capacityFor(request.Class) && c.queuedUpTo(queueIndex(request)) == 0 {
		v.action = ActionRun
		return v
	}
	v.wait = c.expectedWait(v.request, v.account, as)
	if !request.Deadline.IsZero() && now.Add(v.wait).After(request.Deadline) {
		v.refuse(result.Overloaded, v.wait-request.Deadline.Sub(now))
		return v
	}
	v.flow, v.usesFlow = c.flowOf(v.request), true
	if code := c.checkQueueBound(v.request, v.flow); code != result.OK {
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
	v := c.judge(now, request, &as)
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
func (q *classQueue[T]) startTagOf(f flow) float64 { return max(q.virtualTime, f.finishTag) }

func (as *accounts) clone() accounts {
	copied := *as
	copied.byName = make(map[structs.WorkspaceName]*account, len(as.byName))
	for name, a := range as.byName {
		next := *a
		copied.byName[name] = &next
	}
	return copied
}
