package weights

import (
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Planner is what a collector knows and means to do in one term. It is not safe
// for concurrent use.
type Planner struct {
	limits  Limits
	term    structs.Term
	targets map[structs.ServiceName]structs.WeightVersion
	members map[structs.HostName]*member
	orders  bucket
	reads   bucket
}

// member is what is known of an engine.
type member struct {
	Engine
	present bool
	// running is the version that the engine last said it runs, if known.
	running structs.WeightVersion
	known   bool
	// installed says that an order of this term was carried out.
	installed bool
	// unsure says that an order without an answer may yet be carried out.
	unsure bool
	// refused says that the engine follows a newer term.
	refused bool
	// busy is the kind of the call under way, or zero.
	busy    ActionKind
	ordered structs.WeightVersion
	// failures counts failed calls in a row; no call begins before resume.
	failures int
	resume   time.Time
	// readAt is when to read back next, and gap the time since the last.
	readAt time.Time
	gap    time.Duration
}

// NewPlanner returns the plan of a collector in a term.
func NewPlanner(limits Limits, term structs.Term, now time.Time) *Planner {
	return &Planner{
		limits:  limits,
		term:    term,
		targets: make(map[structs.ServiceName]structs.WeightVersion),
		members: make(map[structs.HostName]*member),
		orders:  newBucket(limits.OrdersPerSecond, now),
		reads:   newBucket(limits.ReadsPerSecond, now),
	}
}

// Term returns the term of the plan.
func (p *Planner) Term() structs.Term { return p.term }

// SetTarget makes a version of a model the one to run, unless a newer one is.
func (p *Planner) SetTarget(model structs.ServiceName, version structs.WeightVersion) {
	p.targets[model] = max(p.targets[model], version)
}

// SetEngines replaces the list of engines. One that comes back is taken for
// unknown, because it may have restarted with other weights.
func (p *Planner) SetEngines(engines []Engine) {
	for _, known := range p.members {
		known.present = false
	}
	for _, engine := range engines {
		known := p.members[engine.Name]
		if known == nil || known.Engine != engine {
			known = &member{Engine: engine}
			p.members[engine.Name] = known
		}
		known.present = true
	}
	for name, known := range p.members {
		if !known.present && known.busy == 0 {
			delete(p.members, name)
		}
	}
}

// Progress returns how far a model's newest version has come.
func (p *Planner) Progress(model structs.ServiceName) Progress {
	var progress Progress
	for _, m := range p.members {
		if !m.present || m.Model != model {
			continue
		}
		progress.Engines++
		if m.known && m.running >= p.targets[model] {
			progress.Current++
		}
	}
	return progress
}

// TakeDueActions returns the calls to begin now and counts them as under way.
func (p *Planner) TakeDueActions(now time.Time) []Action {
	var actions []Action
	free := p.limits.MaxConcurrentOrders - p.underWay(ActionOrder)
	for _, m := range p.candidates(now, p.orderAt) {
		if free == 0 || !p.orders.take(now) {
			break
		}
		free--
		m.busy, m.ordered = ActionOrder, p.targets[m.Model]
		actions = append(actions, Action{Kind: ActionOrder, Engine: m.Name, Model: m.Model, Version: m.ordered, Term: p.term})
	}
	free = p.limits.MaxConcurrentReads - p.underWay(ActionRead)
	for _, m := range p.candidates(now, p.readDue) {
		if free == 0 || !p.reads.take(now) {
			break
		}
		free--
		m.busy = ActionRead
		actions = append(actions, Action{Kind: ActionRead, Engine: m.Name, Model: m.Model, Term: p.term})
	}
	return actions
}

// NextDue returns when TakeDueActions must be called if nothing happens before, and false
// when it need not be.
func (p *Planner) NextDue(now time.Time) (time.Time, bool) {
	order, anyOrder := p.earliest(p.orderAt, ActionOrder, p.limits.MaxConcurrentOrders)
	if anyOrder {
		order = latest(order, p.orders.next(now))
	}
	read, anyRead := p.earliest(p.readDue, ActionRead, p.limits.MaxConcurrentReads)
	if anyRead {
		read = latest(read, p.reads.next(now))
	}
	if anyOrder && (!anyRead || order.Before(read)) {
		return order, true
	}
	return read, anyRead
}

// earliest returns when the first call of a kind is due, or false while none
// is or as many as may be are under way.
func (p *Planner) earliest(dueAt func(*member) (time.Time, bool), kind ActionKind, limit int) (time.Time, bool) {
	var first time.Time
	found := false
	for _, m := range p.members {
		due, ok := dueAt(m)
		if ok && (!found || due.Before(first)) {
			first, found = due, true
		}
	}
	return first, found && p.underWay(kind) < limit
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Planner) underWay(kind ActionKind) int {
	count := 0
	for _, m := range p.members {
		if m.busy == kind {
			count++
		}
	}
	return count
}

// candidates lists the engines that are due for a call, those with the oldest
// weights first.
func (p *Planner) candidates(now time.Time, dueAt func(*member) (time.Time, bool)) []*member {
	var due []*member
	for _, m := range p.members {
		if at, ok := dueAt(m); ok && !at.After(now) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		if a.running != b.running {
			return int(a.running) - int(b.running)
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return due
}

// orderAt returns when an engine is due for an order, if it is.
func (p *Planner) orderAt(m *member) (time.Time, bool) {
	target := p.targets[m.Model]
	if target == 0 || m.busy != 0 || !m.present || m.refused {
		return time.Time{}, false
	}
	install := m.EnforcesFencing && !m.installed
	behind := m.known && m.running < target
	return m.resume, install || behind
}

// readDue returns when an engine is due for a read-back, if it is. One that is
// due for an order need not be read.
func (p *Planner) readDue(m *member) (time.Time, bool) {
	if _, ordered := p.orderAt(m); ordered || m.busy != 0 || !m.present {
		return time.Time{}, false
	}
	if !m.known {
		return m.resume, true
	}
	return latest(m.readAt, m.resume), true
}
