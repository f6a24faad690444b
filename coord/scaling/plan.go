package scaling

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Zone is a zone in which servers may be ordered.
type Zone struct {
	Name structs.ZoneName
	// Price is the price of a server second.
	Price float64
}

// Bounds holds the limits and prices of a service.
type Bounds struct {
	// Min and Max bound the servers of a zone, of both kinds together.
	Min, Max int
	// Slots is how many requests a server runs at once.
	Slots int
	// BootTime is the time from an order until a new server serves.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server relative to another one; zero
	// if none may be ordered.
	ReclaimablePrice float64
	Zones            []Zone
}

// Input is what a plan is made from.
type Input struct {
	Now    time.Time
	Bounds Bounds
	Demand Demand
	// IsComplete is set if all owners of jobs have been heard for long enough that no
	// work is unknown. Without it no server is taken away.
	IsComplete bool
}

// Order sets the number of servers of a pool.
type Order struct {
	PoolKey
	Count int
	// Why is the reason for the log.
	Why string
}

// Plan is the result of Planner.Plan.
type Plan struct {
	Need Need
	// Plain and Reclaimable are the servers that are expected after the orders.
	Plain, Reclaimable int
	Orders             []Order
}

// lowerPrice is the reason for orders that only lower the price.
const lowerPrice = "reclaimable servers carry the steps at a lower price"

// Planner decides the sizes of a service's pools.
//
// The load that it answers: trainers send steps at about equal intervals, each of which
// arrives at once and must be whole when it is due; steps grow, shrink or cease; servers
// take seconds to start; reclaimable ones leave all at once in a zone, which may then have
// none for a while. Growing is immediate and shrinking slow: the servers that the largest
// of the last steps needs are kept, a quarter of the rest leaves in each period
// of the steps, and reclaimable servers are spread so that the others carry the steps when
// a zone's leave. Prices choose among what serves the steps equally well.
type Planner struct {
	Pools map[PoolKey]*Pool

	history  needHistory
	shrunkAt time.Time
	// hadDemand is set once a step was known.
	hadDemand bool
}

// NewPlanner returns a planner that knows no servers.
func NewPlanner() *Planner { return &Planner{Pools: make(map[PoolKey]*Pool)} }

// Pool returns the pool of a key.
func (p *Planner) Pool(key PoolKey) *Pool {
	if p.Pools[key] == nil {
		p.Pools[key] = &Pool{}
	}
	return p.Pools[key]
}

// draft is a plan under construction.
type draft struct {
	Input
	planner *Planner
	need    Need
	// wanted is the number of reclaimable servers that carry the steps at least cost.
	wanted int
	counts map[PoolKey]int
	why    map[PoolKey]string
}

// Plan returns the orders that are due. The caller records them with Pool.Sent and
// Pool.Answered.
func (p *Planner) Plan(in Input) Plan {
	d := &draft{Input: in, planner: p, counts: make(map[PoolKey]int), why: make(map[PoolKey]string)}
	serving := 0
	for _, zone := range in.Bounds.Zones {
		for _, key := range keysOf(zone.Name) {
			pool := p.Pool(key)
			d.counts[key] = pool.expected(in.Now)
			serving += pool.serving(in.Now)
		}
	}
	d.need = p.history.add(needOf(in.Demand, in.Bounds.Slots, serving, in.Bounds.BootTime), in.Demand.Due, in.Now)
	d.wanted = d.wantedReclaimable()
	d.fillMinimum()
	p.hadDemand = p.hadDemand || in.Demand.Due > 0
	if p.hadDemand {
		d.grow()
		d.shrink()
	}
	plan := Plan{Need: d.need, Plain: d.total(false), Reclaimable: d.total(true)}
	for _, zone := range in.Bounds.Zones {
		for _, key := range keysOf(zone.Name) {
			if why := d.why[key]; why != "" {
				plan.Orders = append(plan.Orders, Order{PoolKey: key, Count: d.counts[key], Why: why})
			}
		}
	}
	return plan
}

func keysOf(zone structs.ZoneName) [2]PoolKey {
	return [2]PoolKey{{Zone: zone}, {Zone: zone, Reclaimable: true}}
}

// total returns the planned servers of a kind.
func (d *draft) total(reclaimable bool) int {
	sum := 0
	for key, count := range d.counts {
		if key.Reclaimable == reclaimable {
			sum += count
		}
	}
	return sum
}

func (d *draft) zoneTotal(zone structs.ZoneName) int {
	return d.counts[PoolKey{Zone: zone}] + d.counts[PoolKey{Zone: zone, Reclaimable: true}]
}

// largestLoss returns the most reclaimable servers that one zone has.
func (d *draft) largestLoss() int {
	most := 0
	for key, count := range d.counts {
		if key.Reclaimable {
			most = max(most, count)
		}
	}
	return most
}

// survivors returns the servers that are left after the largest loss.
func (d *draft) survivors() int { return d.total(false) + d.total(true) - d.largestLoss() }

// canGrow reports whether a server may be added to a pool.
func (d *draft) canGrow(key PoolKey) bool {
	return d.planner.Pool(key).mayGrow(d.Now) && d.zoneTotal(key.Zone) < d.Bounds.Max
}

// isLowered reports whether servers of a zone are being taken away. Only steps that lack
// servers get others there in the meantime, not lower prices.
func (d *draft) isLowered(zone structs.ZoneName) bool {
	return d.planner.Pool(PoolKey{Zone: zone}).isLowered || d.planner.Pool(PoolKey{Zone: zone, Reclaimable: true}).isLowered
}

func (d *draft) add(key PoolKey, why string) {
	d.counts[key]++
	d.why[key] = why
}

// fillMinimum orders the servers that each zone must have.
func (d *draft) fillMinimum() {
	for _, zone := range d.Bounds.Zones {
		for _, key := range keysOf(zone.Name) {
			if key.Reclaimable && d.Bounds.ReclaimablePrice <= 0 {
				continue
			}
			for d.zoneTotal(zone.Name) < d.Bounds.Min && d.canGrow(key) {
				d.add(key, "the zone has fewer than it must have")
			}
		}
	}
}

// wantedReclaimable returns the number of reclaimable servers that carry the steps at
// least cost, spread over the zones that have them.
func (d *draft) wantedReclaimable() int {
	zones := 0
	for _, zone := range d.Bounds.Zones {
		if !d.planner.Pool(PoolKey{Zone: zone.Name, Reclaimable: true}).isUnavailable(d.Now) {
			zones++
		}
	}
	if d.Bounds.ReclaimablePrice <= 0 || zones == 0 {
		return 0
	}
	if zones == 1 {
		return max(0, d.need.Servers-d.need.Floor)
	}
	wanted := d.need.Servers
	for wanted-(wanted+zones-1)/zones < d.need.Floor {
		wanted++
	}
	if float64(wanted)*d.Bounds.ReclaimablePrice >= float64(d.need.Servers) {
		return 0
	}
	return wanted
}

// grow adds the servers that the steps lack. Plain servers are replaced by reclaimable
// ones only while the demand is known.
func (d *draft) grow() {
	for {
		key, ok := d.smallestPool(true)
		if !ok || !d.lacksReclaimable(key) {
			break
		}
		d.add(key, d.reason(lowerPrice))
	}
	if d.wanted > 0 && d.IsComplete {
		d.replaceMinimum()
	}
	for d.isShort() {
		key, ok := d.smallestPool(false)
		if !ok {
			return
		}
		d.add(key, d.reason(""))
	}
}

// lacksReclaimable reports whether the smallest reclaimable pool gets another server: up
// to the wanted number, and beyond it while one zone has so many that the others could not
// take over. Plain servers in their place would be replaced by reclaimable ones at once.
func (d *draft) lacksReclaimable(smallest PoolKey) bool {
	if d.total(true) < d.wanted {
		return d.IsComplete || d.isShort()
	}
	return d.wanted > 0 && d.survivors() < d.need.Floor && d.counts[smallest] < d.largestLoss()
}

// replaceMinimum adds a reclaimable server to each zone whose only servers are plain ones,
// which can then be taken away.
func (d *draft) replaceMinimum() {
	for _, zone := range d.Bounds.Zones {
		key := PoolKey{Zone: zone.Name, Reclaimable: true}
		if d.counts[key] == 0 && d.counts[PoolKey{Zone: zone.Name}] > 0 && d.canGrow(key) && !d.isLowered(zone.Name) {
			d.add(key, lowerPrice)
		}
	}
}

// isShort reports whether the steps need more servers.
func (d *draft) isShort() bool {
	return d.total(false)+d.total(true) < d.need.Servers || d.survivors() < d.need.Floor
}

// reason returns why a server is added, or otherwise if the steps need none.
func (d *draft) reason(otherwise string) string {
	switch {
	case d.total(false)+d.total(true) < d.need.Servers:
		return "the steps need more servers"
	case d.survivors() < d.need.Floor:
		return "the others could not take over from a zone"
	}
	return otherwise
}

// smallestPool returns the pool of a kind to which a server is added next. Zones with
// fewer servers go first, so that the loss of one costs least, and then cheaper ones.
func (d *draft) smallestPool(reclaimable bool) (PoolKey, bool) {
	zones, isShort := slices.Clone(d.Bounds.Zones), d.isShort()
	zones = slices.DeleteFunc(zones, func(zone Zone) bool {
		return !d.canGrow(PoolKey{zone.Name, reclaimable}) || !isShort && d.isLowered(zone.Name)
	})
	if len(zones) == 0 {
		return PoolKey{}, false
	}
	size := func(zone Zone) int {
		if reclaimable {
			return d.counts[PoolKey{zone.Name, true}]
		}
		return d.zoneTotal(zone.Name)
	}
	smallest := slices.MinFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(size(a), size(b)), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	return PoolKey{smallest.Name, reclaimable}, true
}
