package weights

import (
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/tokenbucket"
)

// Planner schedules the orders and reads of a collector in one term. It is not
// safe for concurrent use.
type Planner struct {
	limits      Limits
	term        structs.Term
	targets     map[structs.ServiceName]structs.WeightVersion
	engines     map[structs.HostName]*engineState
	orderBucket tokenbucket.Bucket
	readBucket  tokenbucket.Bucket
}

// engineState is the state of an engine, as far as it is known.
type engineState struct {
	Engine
	listed bool
	// runningVersion is the version that the engine last reported, if versionKnown.
	runningVersion structs.WeightVersion
	versionKnown   bool
	// orderedInTerm reports that an order of this term was carried out.
	orderedInTerm bool
	// lateOrderPossible reports that an order without a response may still be
	// carried out.
	lateOrderPossible bool
	// followsNewerTerm reports that the engine refused this term for a newer one.
	followsNewerTerm bool
	// inFlight is the kind of the call in flight, or zero; orderedVersion is the
	// version of the last order.
	inFlight       ActionKind
	orderedVersion structs.WeightVersion
	// consecutiveFailures delays the next call; none begins before notBefore.
	consecutiveFailures int
	notBefore           time.Time
	// readBackAt is when to read back next, and readBackInterval the time from the
	// previous order or read-back to it.
	readBackAt       time.Time
	readBackInterval time.Duration
}

// NewPlanner returns the planner of a collector in a term.
func NewPlanner(limits Limits, term structs.Term, now time.Time) *Planner {
	return &Planner{
		limits:      limits,
		term:        term,
		targets:     make(map[structs.ServiceName]structs.WeightVersion),
		engines:     make(map[structs.HostName]*engineState),
		orderBucket: newBucket(now, limits.OrdersPerSecond),
		readBucket:  newBucket(now, limits.ReadsPerSecond),
	}
}

// burstDuration is the time in which the rate would allow the calls of a burst.
const burstDuration = 250 * time.Millisecond

func newBucket(now time.Time, perSecond float64) tokenbucket.Bucket {
	return tokenbucket.NewFull(now, perSecond, tokenbucket.Capacity(perSecond, burstDuration, 1))
}

// tryTake reports whether a call may begin now, and takes a token if so.
func tryTake(bucket *tokenbucket.Bucket, now time.Time) bool {
	_, ok := bucket.Take(now, 0)
	return ok
}

// Term returns the term of the planner.
func (p *Planner) Term() structs.Term { return p.term }

// SetTarget sets the version that a model should run, unless a newer one is set.
func (p *Planner) SetTarget(model structs.ServiceName, version structs.WeightVersion) {
	p.targets[model] = max(p.targets[model], version)
}

// SetEngines replaces the list of engines. The state of an engine that was
// removed or changed starts anew when it is listed again, because it may have
// restarted with other weights.
func (p *Planner) SetEngines(engines []Engine) {
	for _, state := range p.engines {
		state.listed = false
	}
	for _, engine := range engines {
		state := p.engines[engine.Name]
		if state == nil || state.Engine != engine {
			state = &engineState{Engine: engine}
			p.engines[engine.Name] = state
		}
		state.listed = true
	}
	for name, state := range p.engines {
		if !state.listed && state.inFlight == 0 {
			delete(p.engines, name)
		}
	}
}

// Progress returns how many engines of a model run its target version.
func (p *Planner) Progress(model structs.ServiceName) Progress {
	var progress Progress
	for _, state := range p.engines {
		if !state.listed || state.Model != model {
			continue
		}
		progress.Engines++
		if state.versionKnown && state.runningVersion >= p.targets[model] {
			progress.Current++
		}
	}
	return progress
}

// TakeDueActions returns the calls to begin now and marks them as in flight.
func (p *Planner) TakeDueActions(now time.Time) []Action {
	var actions []Action
	available := p.limits.MaxConcurrentOrders - p.inFlightCount(ActionOrder)
	for _, state := range p.dueEngines(now, p.orderDue) {
		if available == 0 || !tryTake(&p.orderBucket, now) {
			break
		}
		available--
		state.inFlight, state.orderedVersion = ActionOrder, p.targets[state.Model]
		actions = append(actions, Action{Kind: ActionOrder, Engine: state.Name, Model: state.Model, Version: state.orderedVersion, Term: p.term})
	}
	available = p.limits.MaxConcurrentReads - p.inFlightCount(ActionRead)
	for _, state := range p.dueEngines(now, p.readDue) {
		if available == 0 || !tryTake(&p.readBucket, now) {
			break
		}
		available--
		state.inFlight = ActionRead
		actions = append(actions, Action{Kind: ActionRead, Engine: state.Name, Model: state.Model, Term: p.term})
	}
	return actions
}

// NextDue returns when TakeDueActions must be called next if the state does not
// change before, or false if no call is due at any time.
func (p *Planner) NextDue(now time.Time) (time.Time, bool) {
	orderAt, hasOrder := p.earliestDue(p.orderDue, ActionOrder, p.limits.MaxConcurrentOrders)
	if hasOrder {
		orderAt = laterOf(orderAt, now.Add(p.orderBucket.Wait(now)))
	}
	readAt, hasRead := p.earliestDue(p.readDue, ActionRead, p.limits.MaxConcurrentReads)
	if hasRead {
		readAt = laterOf(readAt, now.Add(p.readBucket.Wait(now)))
	}
	if hasOrder && (!hasRead || orderAt.Before(readAt)) {
		return orderAt, true
	}
	return readAt, hasRead
}

// earliestDue returns when the first call of a kind is due. It returns false if
// none is due, or if the limit of calls in flight is reached.
func (p *Planner) earliestDue(dueAt func(*engineState) (time.Time, bool), kind ActionKind, limit int) (time.Time, bool) {
	var first time.Time
	found := false
	for _, state := range p.engines {
		due, ok := dueAt(state)
		if ok && (!found || due.Before(first)) {
			first, found = due, true
		}
	}
	return first, found && p.inFlightCount(kind) < limit
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// inFlightCount returns the number of calls of a kind in flight.
func (p *Planner) inFlightCount(kind ActionKind) int {
	count := 0
	for _, state := range p.engines {
		if state.inFlight == kind {
			count++
		}
	}
	return count
}

// dueEngines returns the engines that are due for a call, those with the oldest
// weights first.
func (p *Planner) dueEngines(now time.Time, dueAt func(*engineState) (time.Time, bool)) []*engineState {
	var due []*engineState
	for _, state := range p.engines {
		if at, ok := dueAt(state); ok && !at.After(now) {
			due = append(due, state)
		}
	}
	slices.SortFunc(due, func(a, b *engineState) int {
		if a.runningVersion != b.runningVersion {
			return int(a.runningVersion) - int(b.runningVersion)
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return due
}

// orderDue returns when an engine is due for an order, or false if it is not.
func (p *Planner) orderDue(state *engineState) (time.Time, bool) {
	target := p.targets[state.Model]
	if target == 0 || state.inFlight != 0 || !state.listed || state.followsNewerTerm {
		return time.Time{}, false
	}
	needsTermOrder := state.EnforcesFencing && !state.orderedInTerm
	behind := state.versionKnown && state.runningVersion < target
	return state.notBefore, needsTermOrder || behind
}

// readDue returns when an engine is due for a read-back, or false if it is not.
// An engine that is due for an order is not read.
func (p *Planner) readDue(state *engineState) (time.Time, bool) {
	if _, ordered := p.orderDue(state); ordered || state.inFlight != 0 || !state.listed {
		return time.Time{}, false
	}
	if !state.versionKnown {
		return state.notBefore, true
	}
	return laterOf(state.readBackAt, state.notBefore), true
}
