package limit

import (
	"math"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// demandWindow is the time over which what a workspace asks is averaged. It is
	// longer than requests wait, and short enough to follow a burst.
	demandWindow = 5 * time.Second
	// divideInterval is how often the parts of workspaces are computed.
	divideInterval = 200 * time.Millisecond
	// usualWork is the assumed work of a request of which no duration is known.
	usualWork = 20 * time.Millisecond
	// guaranteeInterval is how often a free place goes to the workspace that has got
	// least of what it is due, so that none waits for ever behind higher priorities.
	guaranteeInterval = 1 / guaranteedPart
	// allDue is the part from which a workspace is due all that it asks, but for rounding.
	allDue = 1 - 1e-9
	// negligiblePlaces is the demand below which a workspace without a queue is forgotten.
	negligiblePlaces = 1e-4
)

// account is what a workspace has asked of a service and got, in places, as decaying
// averages.
type account struct {
	priority   int
	asked, got float64
	updatedAt  time.Time
	meanWork   time.Duration
	queued     int
	due        float64
}

// accounts are those of all workspaces. Requests without a workspace have none.
type accounts struct {
	byName map[structs.WorkspaceName]*account
	// division is this daemon's part by what all daemons report. Its zero value means that
	// it is not known.
	division  Division
	dividedAt time.Time
	// mostDue is the largest number of places that a workspace is due.
	mostDue float64
	picks   int
}

func (a *account) decay(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		a.asked, a.got, a.updatedAt = a.asked*factor, a.got*factor, now
	}
}

func (a *account) work() time.Duration {
	if a.meanWork == 0 {
		return usualWork
	}
	return a.meanWork
}

// places converts the work of a request into its part of the averages.
func (a *account) places() float64 { return a.work().Seconds() / demandWindow.Seconds() }

// fulfilment is what the workspace has got of what it is due; lower is served first.
func (a *account) fulfilment() float64 {
	return a.got / max(a.due*a.asked, math.SmallestNonzeroFloat64)
}

// weightOf returns the weight of a workspace's requests in a queue: the places that it is
// due. One that is due all that it asks does not wait behind those that are due more places.
func (as *accounts) weightOf(a *account) float64 {
	if a.due >= allDue {
		return max(a.asked, as.mostDue, negligiblePlaces)
	}
	return max(a.due*a.asked, negligiblePlaces)
}

// ask records that a workspace asks for a place, and returns its account.
func (as *accounts) ask(now time.Time, request Request, places int) *account {
	a := as.byName[request.Workspace]
	if a == nil {
		a = &account{updatedAt: now, due: 1}
		as.byName[request.Workspace] = a
	}
	a.decay(now)
	a.priority = request.Priority
	a.asked += a.places()
	if now.Sub(as.dividedAt) >= divideInterval {
		as.divide(now, places)
	}
	return a
}

// divide computes the parts that workspaces are due.
func (as *accounts) divide(now time.Time, places int) {
	as.dividedAt, as.mostDue = now, 0
	due := as.division.Due
	if due == nil {
		due = Divide(float64(places), as.demands(now))
	}
	for name, a := range as.byName {
		a.due = 1
		if part, ok := due[name]; ok {
			a.due = min(1, part)
		}
		as.mostDue = max(as.mostDue, a.due*a.asked)
	}
}

// demands returns what workspaces ask at present, and forgets those that ask nothing.
func (as *accounts) demands(now time.Time) []Demand {
	demands := make([]Demand, 0, len(as.byName))
	for name, a := range as.byName {
		a.decay(now)
		if a.queued == 0 && a.asked < negligiblePlaces {
			delete(as.byName, name)
			continue
		}
		demands = append(demands, Demand{Workspace: name, Priority: a.priority, Places: a.asked})
	}
	return demands
}

// takesGuarantee reports whether the next free place goes to the workspace that has got
// least of what it is due, which needs two that wait.
func (as *accounts) takesGuarantee() bool {
	waiting := 0
	for _, a := range as.byName {
		if a.queued > 0 {
			waiting++
		}
	}
	return waiting > 1 && (as.picks+1)%guaranteeInterval == 0
}

// Demands returns what workspaces ask of the service at this daemon.
func (c *AdmissionController[T]) Demands(now time.Time) []Demand { return c.accounts.demands(now) }

// SetDivision sets this daemon's part by what all daemons report. With the zero value it
// goes by what it sees itself. Call Dequeue afterwards.
func (c *AdmissionController[T]) SetDivision(now time.Time, division Division) {
	c.accounts.division = division
	c.accounts.divide(now, c.capacity)
}

// bound returns how many of some slots may be used in this daemon's part of the service.
func (as *accounts) bound(slots int) int {
	if as.division.Places <= 0 {
		return slots
	}
	return min(slots, max(1, int(math.Round(as.division.Places))))
}

// RecordWork records how long a request of a workspace took.
func (c *AdmissionController[T]) RecordWork(workspace structs.WorkspaceName, duration time.Duration) {
	a := c.accounts.byName[workspace]
	if a == nil || duration <= 0 {
		return
	}
	a.meanWork = a.work() + time.Duration(serviceTimeSmoothing*float64(duration-a.work()))
}

// leastServed returns the waiting request of the workspace that has got least of what it is
// due, among those that may run.
func (c *AdmissionController[T]) leastServed(now time.Time) *Waiter[T] {
	var best *Waiter[T]
	for i := range c.queues {
		for _, w := range c.queues[i].waiters {
			if w.account == nil || c.running >= c.capacityFor(w.Request.Class) {
				continue
			}
			w.account.decay(now)
			if best == nil || precedes(w, best) {
				best = w
			}
		}
	}
	return best
}

func precedes[T any](w, other *Waiter[T]) bool {
	if w.account != other.account {
		return w.account.fulfilment() < other.account.fulfilment()
	}
	if w.Request.Class != other.Request.Class {
		return w.Request.Class < other.Request.Class
	}
	return w.sequence < other.sequence
}
