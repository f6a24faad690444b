// Package scaling decides how many servers of a service run in each zone, of which kind,
// from the work of the trainers' steps. It only computes decisions from the values that
// it is given.
package scaling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Step is a trainer's step as its owner reports it.
type Step struct {
	Model structs.ServiceName
	// Number is the number of the step. The steps of a model come at about equal
	// intervals.
	Number uint64
	// Work is the time for which the whole step occupies one slot of a server.
	Work time.Duration
	// SubmittedAt is when the step came, and Due the time from then until its results are
	// due.
	SubmittedAt time.Time
	Due         time.Duration
}

// Load is the work of a service at one owner of jobs.
type Load struct {
	// Open is the time for which the unfinished items will still occupy one slot.
	Open time.Duration
	// Running is the number of items that are running.
	Running int
	Steps   []Step
}

// Demand is the work of a service at all owners of jobs.
type Demand struct {
	Open    time.Duration
	Running int
	// StepWork is the work of one step of every model together, because steps of
	// several models may come at the same time: the mean, or the last step if that is
	// larger.
	StepWork time.Duration
	// Rate is the mean number of slots that the steps occupy.
	Rate float64
	// Due is the shortest time until results are due; zero while no step is known.
	Due time.Duration
	// Period is the longest time between two steps of a model.
	Period time.Duration
}

const (
	// memoryDues is how long a step counts for the demand, in times of its due time, and
	// minMemory the shortest such time. It spans several steps of a trainer, also while
	// weights or results are late.
	memoryDues = 4
	minMemory  = 30 * time.Second
	// maxSteps bounds the steps that are kept for each model.
	maxSteps = 16
	// silentOwnerTimeout is how long the open work of an owner counts that no longer
	// reports. By then another daemon has taken over its jobs.
	silentOwnerTimeout = 10 * time.Second
)

// MemoryOf returns how long a step counts whose results are due after a time.
func MemoryOf(due time.Duration) time.Duration { return max(minMemory, memoryDues*due) }

// Observer combines the reports of the owners of jobs.
type Observer struct {
	owners map[string]ownerLoad
	steps  map[structs.ServiceName][]Step
	// since is when the first report came.
	since time.Time
}

type ownerLoad struct {
	load Load
	at   time.Time
}

// Observe takes the report of an owner. A step that several owners report, or one
// several times, counts once.
func (o *Observer) Observe(owner string, load Load, now time.Time) {
	if o.owners == nil {
		o.owners, o.steps = make(map[string]ownerLoad), make(map[structs.ServiceName][]Step)
	}
	if o.since.IsZero() {
		o.since = now
	}
	o.owners[owner] = ownerLoad{load: load, at: now}
	for _, step := range load.Steps {
		o.addStep(step)
	}
}

func (o *Observer) addStep(step Step) {
	steps := o.steps[step.Model]
	at, known := slices.BinarySearchFunc(steps, step.Number, func(s Step, number uint64) int { return cmp.Compare(s.Number, number) })
	if known {
		return
	}
	steps = slices.Insert(steps, at, step)
	o.steps[step.Model] = steps[max(0, len(steps)-maxSteps):]
}

// HeardFor returns the time since the first report.
func (o *Observer) HeardFor(now time.Time) time.Duration {
	if o.since.IsZero() {
		return 0
	}
	return now.Sub(o.since)
}

// HasSilentOwner reports whether an owner with open work has not reported for longer
// than a time. Its work is then unknown.
func (o *Observer) HasSilentOwner(now time.Time, longest time.Duration) bool {
	for _, owner := range o.owners {
		if silent := now.Sub(owner.at); owner.load.Open > 0 && silent > longest && silent < silentOwnerTimeout {
			return true
		}
	}
	return false
}

// Demand returns the demand now and forgets what is too old.
func (o *Observer) Demand(now time.Time) Demand {
	var demand Demand
	maps.DeleteFunc(o.owners, func(_ string, owner ownerLoad) bool { return now.Sub(owner.at) >= silentOwnerTimeout })
	for _, owner := range o.owners {
		demand.Open += owner.load.Open
		demand.Running += owner.load.Running
	}
	for model, steps := range o.steps {
		steps = slices.DeleteFunc(steps, func(step Step) bool { return now.Sub(step.SubmittedAt) > MemoryOf(step.Due) })
		if len(steps) == 0 {
			delete(o.steps, model)
			continue
		}
		o.steps[model] = steps
		demand.add(steps)
	}
	return demand
}

// add adds a model's recent steps, of which the last one shows a change of the demand
// first.
func (d *Demand) add(steps []Step) {
	sum, due := time.Duration(0), time.Duration(0)
	for _, step := range steps {
		sum += step.Work
		if step.Due > 0 && (due == 0 || step.Due < due) {
			due = step.Due
		}
	}
	mean := sum / time.Duration(len(steps))
	period := periodOf(steps)
	if period <= 0 {
		period = due
	}
	d.StepWork += max(mean, steps[len(steps)-1].Work)
	if period > 0 {
		d.Rate += float64(mean) / float64(period)
	}
	d.Period = max(d.Period, period)
	if due > 0 && (d.Due == 0 || due < d.Due) {
		d.Due = due
	}
}

// periodOf returns the mean time between the steps of a model, or zero if it is unknown.
// Steps are ordered by their numbers.
func periodOf(steps []Step) time.Duration {
	first, last := steps[0], steps[len(steps)-1]
	if first.Number == last.Number {
		return 0
	}
	return last.SubmittedAt.Sub(first.SubmittedAt) / time.Duration(last.Number-first.Number)
}
