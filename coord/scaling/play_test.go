package scaling

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// play is a fleet whose servers start, drain and leave as a platform's do.
type play struct {
	t        *testing.T
	now      time.Time
	bounds   Bounds
	planner  *Planner
	observer Observer
	servers  []*playedServer
	// dryUntil is until when no zone has reclaimable servers.
	dryUntil time.Time
	// late are orders that the platform executes later.
	late       []lateOrder
	loseAnswer func() bool
	changes    []int
	open       time.Duration
	steps      uint64
}

type playedServer struct {
	key            PoolKey
	startsAt, ends time.Time
}

type lateOrder struct {
	order Order
	at    time.Time
}

const (
	playedDue    = 7500 * time.Millisecond
	playedPeriod = 4 * time.Second
	playedSlots  = 6
)

func newPlay(t *testing.T, plainEach int) *play {
	p := &play{t: t, now: time.Unix(1_800_000_000, 0), planner: NewPlanner(), loseAnswer: func() bool { return false }}
	p.bounds = Bounds{Min: 1, Max: 16, Slots: playedSlots, BootTime: 4 * time.Second, ReclaimablePrice: 0.22}
	for i, name := range []structs.ZoneName{"east-a", "east-b", "north-a", "north-b", "west-a", "west-b"} {
		p.bounds.Zones = append(p.bounds.Zones, Zone{Name: name, Price: []float64{0.85, 1.2, 1, 1.1}[i%4]})
		for range plainEach {
			p.servers = append(p.servers, &playedServer{key: PoolKey{Zone: name}, startsAt: p.now})
		}
	}
	return p
}

// list returns the servers of a pool that serve, and those that are draining.
func (p *play) list(key PoolKey) (present, draining int) {
	for _, server := range p.servers {
		switch {
		case server.key != key || server.startsAt.After(p.now):
		case server.ends.IsZero():
			present++
		default:
			draining++
		}
	}
	return present, draining
}

func (p *play) total() (plain, reclaimable int) {
	for _, zone := range p.bounds.Zones {
		a, _ := p.list(PoolKey{Zone: zone.Name})
		b, _ := p.list(PoolKey{Zone: zone.Name, Reclaimable: true})
		plain, reclaimable = plain+a, reclaimable+b
	}
	return plain, reclaimable
}

// execute sets the number of a pool's servers as the platform does.
func (p *play) execute(order Order) Outcome {
	var kept []*playedServer
	zoneTotal := 0
	for _, server := range p.servers {
		if server.key.Zone == order.Zone && server.ends.IsZero() {
			zoneTotal++
			if server.key == order.PoolKey {
				kept = append(kept, server)
			}
		}
	}
	after := zoneTotal - len(kept) + order.Count
	must.Between(p.t, 0, after, p.bounds.Max)
	if order.Reclaimable && order.Count > len(kept) && p.now.Before(p.dryUntil) {
		return OrderUnavailable
	}
	for range order.Count - len(kept) {
		p.servers = append(p.servers, &playedServer{key: order.PoolKey, startsAt: p.now.Add(p.bounds.BootTime)})
	}
	for len(kept) > order.Count {
		kept[len(kept)-1].ends = p.now.Add(2 * time.Second)
		kept = kept[:len(kept)-1]
	}
	return OrderAccepted
}

// reclaim takes all reclaimable servers of a zone back.
func (p *play) reclaim(zone structs.ZoneName, dryFor time.Duration) {
	for _, server := range p.servers {
		if server.key == (PoolKey{Zone: zone, Reclaimable: true}) {
			server.ends = p.now.Add(2 * time.Second)
		}
	}
	p.dryUntil = p.now.Add(dryFor)
}

// second plays a second, in which the servers generate what is open.
func (p *play) second(isComplete bool) {
	p.now = p.now.Add(time.Second)
	p.servers = slices.DeleteFunc(p.servers, func(s *playedServer) bool { return !s.ends.IsZero() && !s.ends.After(p.now) })
	for _, late := range p.late {
		if !late.at.After(p.now) {
			p.execute(late.order)
		}
	}
	p.late = slices.DeleteFunc(p.late, func(late lateOrder) bool { return !late.at.After(p.now) })
	plain, reclaimable := p.total()
	p.open = max(0, p.open-time.Duration((plain+reclaimable)*playedSlots)*time.Second)
	for _, zone := range p.bounds.Zones {
		for _, key := range keysOf(zone.Name) {
			present, draining := p.list(key)
			p.planner.Pool(key).List(present, draining, p.now)
		}
	}
	p.observer.Observe("owner", Load{Open: p.open}, p.now)
	plan := p.planner.Plan(Input{Now: p.now, Bounds: p.bounds, Demand: p.observer.Demand(p.now), IsComplete: isComplete})
	for _, order := range plan.Orders {
		p.planner.Pool(order.PoolKey).Sent(order.Count)
		outcome := OrderUnknown
		if p.loseAnswer() {
			p.late = append(p.late, lateOrder{order, p.now.Add(3 * time.Second)})
		} else {
			outcome = p.execute(order)
		}
		p.planner.Pool(order.PoolKey).Answered(outcome, p.bounds.BootTime, p.now)
	}
	p.changes = append(p.changes, len(plan.Orders))
}

// step submits a step that occupies slots for a time, plays until the next one and
// returns how long the servers needed for it.
func (p *play) step(work time.Duration, isComplete bool) time.Duration {
	p.steps++
	p.open += work
	p.observer.Observe("owner", Load{Open: p.open, Steps: []Step{{Model: "m", Number: p.steps, Work: work, SubmittedAt: p.now, Due: playedDue}}}, p.now)
	took := time.Duration(0)
	for range playedPeriod / time.Second {
		p.second(isComplete)
		if p.open > 0 {
			took += time.Second
		}
	}
	return took + time.Second
}

// ordersSince returns the number of orders from an index of the seconds on.
func (p *play) ordersSince(from int) int {
	sum := 0
	for _, count := range p.changes[from:] {
		sum += count
	}
	return sum
}

const steadyWork = 400 * time.Second

func TestPlay_SteadySteps(t *testing.T) {
	p := newPlay(t, 8)
	for range 20 {
		must.LessEq(t, playedDue, p.step(steadyWork, true))
	}
	settled := len(p.changes)
	plain, reclaimable := p.total()
	must.Zero(t, plain)
	must.Between(t, 22, reclaimable, 30)
	for range 30 {
		must.LessEq(t, playedDue, p.step(steadyWork, true))
	}
	must.Zero(t, p.ordersSince(settled))
}

// TestPlay_UnevenSteps varies the steps by a fifth, which must not be followed.
func TestPlay_UnevenSteps(t *testing.T) {
	p := newPlay(t, 8)
	for i := range 60 {
		must.LessEq(t, playedDue, p.step(steadyWork+time.Duration(i%3-1)*steadyWork/5, true))
	}
	must.LessEq(t, 4, p.ordersSince(len(p.changes)/2))
}

func TestPlay_DemandDoubles(t *testing.T) {
	p := newPlay(t, 8)
	for range 15 {
		p.step(steadyWork, true)
	}
	p.step(2*steadyWork, true)
	for range 10 {
		must.LessEq(t, playedDue, p.step(2*steadyWork, true))
	}
	plain, reclaimable := p.total()
	must.Between(t, 44, plain+reclaimable, 60)
}

func TestPlay_DemandFalls(t *testing.T) {
	p := newPlay(t, 8)
	for range 10 {
		p.step(steadyWork, true)
	}
	before := len(p.changes)
	// A lull that is shorter than the memory takes nothing away.
	for range 4 {
		must.LessEq(t, playedDue, p.step(steadyWork/8, true))
	}
	must.Zero(t, p.ordersSince(before))
	for range 40 {
		must.LessEq(t, playedDue, p.step(steadyWork/8, true))
	}
	plain, reclaimable := p.total()
	must.Between(t, 6, plain+reclaimable, 10)
}

func TestPlay_ZoneReclaimed(t *testing.T) {
	for _, dry := range []time.Duration{0, 10 * time.Second} {
		p := newPlay(t, 8)
		for range 15 {
			p.step(steadyWork, true)
		}
		p.reclaim("east-a", dry)
		for range 10 {
			must.LessEq(t, playedDue, p.step(steadyWork, true))
		}
		settled := len(p.changes)
		for range 20 {
			p.step(steadyWork, true)
		}
		must.LessEq(t, 6, p.ordersSince(settled))
		plain, reclaimable := p.total()
		must.Zero(t, plain)
		must.Between(t, 22, reclaimable, 30)
	}
}

// TestPlay_NoneAvailable has no zone with reclaimable servers, so that plain ones serve.
func TestPlay_NoneAvailable(t *testing.T) {
	p := newPlay(t, 2)
	p.dryUntil = p.now.Add(time.Hour)
	p.step(steadyWork, true)
	for range 10 {
		must.LessEq(t, playedDue, p.step(steadyWork, true))
	}
	plain, reclaimable := p.total()
	must.Zero(t, reclaimable)
	must.Between(t, 22, plain, 30)
}

// TestPlay_LostAnswers executes orders late and without an answer.
func TestPlay_LostAnswers(t *testing.T) {
	p := newPlay(t, 8)
	count := 0
	p.loseAnswer = func() bool { count++; return count%3 == 0 }
	for range 60 {
		must.LessEq(t, playedDue, p.step(steadyWork, true))
	}
	_, reclaimable := p.total()
	must.Between(t, 22, reclaimable, 33)
}

// TestPlay_NewHolder knows nothing of the demand at first and must take nothing away.
func TestPlay_NewHolder(t *testing.T) {
	p := newPlay(t, 8)
	for range 10 {
		p.step(steadyWork, false)
	}
	plain, reclaimable := p.total()
	must.Eq(t, 48, plain)
	must.Zero(t, reclaimable)
}
