package balance

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.Admissions = (*service)(nil)

// admissionRequest returns the request for a slot of a request for a server.
func (s *service) admissionRequest(request contract.PickRequest) limit.Request {
	admission := limit.Request{Workspace: request.Workspace, Class: request.Class, Deadline: request.Deadline}
	if request.ByDemand {
		admission.ByDemand, admission.Priority = true, request.WorkspacePriority
	} else {
		admission.Share = s.share(request.Workspace)
	}
	return admission
}

// TakePressed implements contract.Admissions.
func (s *service) TakePressed() map[structs.ServiceName][]limit.Demand {
	pressed := make(map[structs.ServiceName][]limit.Demand)
	for name, view := range s.snapshot.Load().services {
		if !view.admission.isPressed.Swap(false) {
			continue
		}
		if demands := view.admission.demands(s.clock.Now()); len(demands) > 0 {
			pressed[name] = demands
		}
	}
	return pressed
}

// SetDivision implements contract.Admissions.
func (s *service) SetDivision(service structs.ServiceName, division limit.Division) {
	if view := s.snapshot.Load().services[service]; view != nil {
		view.admission.setDivision(s.clock.Now(), division)
	}
}

// fullAnswerAge is how recently a server that refuses a request as full must have answered
// another one, unless the whole service is known to be full.
const fullAnswerAge = time.Second

// refusedPlaceHold is how long a place is kept after a server has refused the request as
// full. Without it the waiting requests would be refused one after the other, and the next
// free place of the server would go to the daemon that asks most often.
const refusedPlaceHold = 20 * time.Millisecond

// releasePlace releases the place of a request that has ended with an error or nil.
func (t *ticket) releasePlace(now time.Time, err error) {
	admission, duration := t.view.admission, now.Sub(t.started)
	if err == nil {
		// A refusal takes no time and says nothing about the work.
		admission.recordWork(t.admission, duration)
	}
	if !t.admission.ByDemand || result.CodeOf(err) != result.BackendBusy {
		admission.release(now, t.admission, duration)
		return
	}
	admission.isPressed.Store(true)
	t.service.clock.AfterFunc(refusedPlaceHold, func() { admission.release(t.service.clock.Now(), t.admission, 0) })
}

// isFullServer reports whether the error of a request shows a server that is full because
// of what workspaces ask together. It is not failing: if it were ejected, its places would
// be lost just when all are needed.
func (t *ticket) isFullServer(err error) bool {
	if !t.admission.ByDemand || result.CodeOf(err) != result.BackendBusy {
		return false
	}
	return t.view.admission.isDivided.Load() || t.service.clock.Now().UnixNano()-t.counters.answeredAt.Load() < int64(fullAnswerAge)
}

func (q *admissionQueue) demands(now time.Time) []limit.Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Demands(now)
}

// recordWork records how long an answered request took.
func (q *admissionQueue) recordWork(request limit.Request, duration time.Duration) {
	if !request.ByDemand {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.RecordWork(request.Workspace, duration)
}

func (q *admissionQueue) setDivision(now time.Time, division limit.Division) {
	q.isDivided.Store(division.Places > 0)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.SetDivision(now, division)
	q.dequeue(now)
}
