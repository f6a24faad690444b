package scaling

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var start = time.Unix(1_800_000_000, 0)

func TestDeparture(t *testing.T) {
	const pace = 50 * time.Millisecond
	departure := Departure{}.Update(1, 2*time.Second, start)
	must.True(t, departure.Finishes(30, pace, start))
	must.False(t, departure.Finishes(31, pace, start))
	must.False(t, departure.Finishes(30, pace, start.Add(time.Millisecond)))
	must.Eq(t, start.Add(time.Second), Departure{}.Update(0, time.Second, start).At)
	// A later notice may be an older one, unless the server restarted.
	must.Eq(t, departure, departure.Update(1, 2*time.Second, start.Add(time.Second)))
	must.Eq(t, start.Add(time.Second), departure.Update(1, time.Second, start).At)
	must.Eq(t, start.Add(3*time.Second), departure.Update(2, 2*time.Second, start.Add(time.Second)).At)
}

func TestObserver_OwnersChange(t *testing.T) {
	var o Observer
	step := Step{Model: "m", Number: 3, Work: time.Minute, SubmittedAt: start, Due: playedDue}
	o.Observe("a", Load{Open: time.Second, Running: 2, Steps: []Step{step}}, start)
	o.Observe("b", Load{Open: time.Second, Steps: []Step{step}}, start)
	demand := o.Demand(start)
	must.Eq(t, time.Minute, demand.StepWork)
	must.Eq(t, 2*time.Second, demand.Open)
	must.Eq(t, playedDue, demand.Period)
	must.False(t, o.HasSilentOwner(start.Add(3*time.Second), 3*time.Second))
	must.True(t, o.HasSilentOwner(start.Add(4*time.Second), 3*time.Second))
	later := start.Add(silentOwnerTimeout)
	must.Zero(t, o.Demand(later).Open)
	must.False(t, o.HasSilentOwner(later, 3*time.Second))
	must.Zero(t, o.Demand(start.Add(MemoryOf(playedDue)+1)).StepWork)
}

// TestPool_Reclaimed tells servers that an order took away from reclaimed ones.
func TestPool_Reclaimed(t *testing.T) {
	var p Pool
	p.List(4, 0, start)
	p.Sent(2)
	p.Answered(OrderAccepted, 4*time.Second, start)
	must.Eq(t, 2, p.serving(start))
	later := start.Add(time.Minute)
	p.List(2, 2, later)
	must.False(t, p.isUnavailable(later))
	p.List(2, 0, later)
	p.List(0, 2, later)
	must.True(t, p.isUnavailable(later))
	must.False(t, p.mayGrow(later))
}

func TestPool_Refused(t *testing.T) {
	var p Pool
	p.Sent(3)
	p.Answered(OrderUnavailable, 4*time.Second, start)
	must.Zero(t, p.expected(start))
	must.False(t, p.mayGrow(start.Add(minUnavailable-1)))
	must.True(t, p.mayGrow(start.Add(minUnavailable)))
	p.Sent(3)
	p.Answered(OrderUnavailable, 4*time.Second, start)
	must.False(t, p.mayGrow(start.Add(minUnavailable)))
}

// drawInput draws a demand, bounds and a server list.
func drawInput(t *rapid.T) (*Planner, Input) {
	planner := NewPlanner()
	in := Input{Now: start, IsComplete: rapid.Bool().Draw(t, "complete")}
	in.Bounds = Bounds{
		Min: rapid.IntRange(0, 3).Draw(t, "min"), Slots: rapid.IntRange(1, 8).Draw(t, "slots"), BootTime: 4 * time.Second,
		ReclaimablePrice: rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "price"),
	}
	in.Bounds.Max = in.Bounds.Min + rapid.IntRange(0, 20).Draw(t, "more")
	in.Demand = Demand{
		Due: playedDue, Period: playedPeriod, StepWork: time.Duration(rapid.IntRange(0, 2000).Draw(t, "work")) * time.Second,
		Open: time.Duration(rapid.IntRange(0, 4000).Draw(t, "open")) * time.Second, Running: rapid.IntRange(0, 300).Draw(t, "running"),
	}
	in.Demand.Rate = float64(in.Demand.StepWork) / float64(playedPeriod)
	for i := range rapid.IntRange(1, 8).Draw(t, "zones") {
		zone := Zone{Name: structs.ZoneName(rune('a' + i)), Price: rapid.Float64Range(0.5, 2).Draw(t, "zone price")}
		in.Bounds.Zones = append(in.Bounds.Zones, zone)
		left := in.Bounds.Max
		for _, key := range keysOf(zone.Name) {
			present := rapid.IntRange(0, left).Draw(t, "present")
			left -= present
			planner.Pool(key).List(present, rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "draining"), start)
		}
	}
	return planner, in
}

func TestPlan_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner, in := drawInput(t)
		before := make(map[PoolKey]int)
		for key, pool := range planner.Pools {
			before[key] = pool.Present
		}
		plan := planner.Plan(in)
		after, total, grows := make(map[PoolKey]int), 0, false
		for key, count := range before {
			after[key] = count
		}
		for _, order := range plan.Orders {
			must.NotEq(t, before[order.PoolKey], order.Count)
			must.NotEq(t, "", order.Why)
			after[order.PoolKey] = order.Count
			if order.Count < before[order.PoolKey] {
				must.True(t, in.IsComplete)
			} else {
				grows = true
				must.True(t, !order.Reclaimable || in.Bounds.ReclaimablePrice > 0)
				must.False(t, planner.Pool(order.PoolKey).isReclaimed)
			}
		}
		largestLoss, capacity := 0, 0
		for _, zone := range in.Bounds.Zones {
			sum := after[PoolKey{zone.Name, false}] + after[PoolKey{zone.Name, true}]
			must.LessEq(t, in.Bounds.Max, sum)
			total, capacity = total+sum, capacity+in.Bounds.Max
			largestLoss = max(largestLoss, after[PoolKey{zone.Name, true}])
		}
		shrinks := len(plan.Orders) > 0 && !grows
		if shrinks {
			// What is left carries the next step, what runs, and the loss of a zone.
			must.GreaterEq(t, plan.Need.Servers, total)
			must.GreaterEq(t, in.Demand.Running, total*in.Bounds.Slots)
			must.GreaterEq(t, plan.Need.Floor, total-largestLoss)
		}
		isBlocked := false
		for _, pool := range planner.Pools {
			isBlocked = isBlocked || pool.isReclaimed
		}
		if !isBlocked && capacity >= plan.Need.Servers {
			must.GreaterEq(t, plan.Need.Servers, total)
		}
	})
}

// TestPlan_Idempotent plans again after the orders were executed.
func TestPlan_Idempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner, in := drawInput(t)
		for _, order := range planner.Plan(in).Orders {
			pool := planner.Pool(order.PoolKey)
			pool.Sent(order.Count)
			pool.Answered(OrderAccepted, in.Bounds.BootTime, in.Now)
		}
		for _, order := range planner.Plan(in).Orders {
			must.Less(t, planner.Pool(order.PoolKey).Present, order.Count)
		}
	})
}

// TestPlan_TakesNothingBack guards against orders that the next plan takes back or
// replaces: the other zones lack reclaimable servers, a smaller service works off less of
// what is open, and a zone at its limit gets room for reclaimable servers.
func TestPlan_TakesNothingBack(t *testing.T) {
	for name, c := range map[string]struct {
		price              float64
		most, slots        int
		work, open         time.Duration
		plain, reclaimable []int
	}{
		"uneven zones":           {0.2, 2, 1, time.Second, 0, []int{0, 0}, []int{0, 2}},
		"open work, plain":       {0, 15, 8, 0, 769 * time.Second, []int{0, 0}, []int{0, 15}},
		"open work, reclaimable": {0.9, 13, 6, 18 * time.Second, 350 * time.Second, []int{13}, []int{0}},
		"plain at the limit":     {0.2, 1, 1, time.Second, 0, []int{1, 1}, []int{0, 0}},
		"few reclaimable":        {0.2, 3, 2, 16 * time.Second, 0, []int{2, 0}, []int{1, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			planner := NewPlanner()
			in := Input{Now: start, IsComplete: true, Bounds: Bounds{Max: c.most, Slots: c.slots, BootTime: 4 * time.Second, ReclaimablePrice: c.price}}
			in.Demand = Demand{Due: playedDue, Period: playedPeriod, StepWork: c.work, Open: c.open, Rate: float64(c.work) / float64(playedPeriod)}
			for i := range c.plain {
				zone := Zone{Name: structs.ZoneName(rune('a' + i)), Price: 1}
				in.Bounds.Zones = append(in.Bounds.Zones, zone)
				planner.Pool(PoolKey{Zone: zone.Name}).List(c.plain[i], 0, start)
				planner.Pool(PoolKey{Zone: zone.Name, Reclaimable: true}).List(c.reclaimable[i], 0, start)
			}
			for _, order := range planner.Plan(in).Orders {
				planner.Pool(order.PoolKey).Sent(order.Count)
				planner.Pool(order.PoolKey).Answered(OrderAccepted, in.Bounds.BootTime, in.Now)
			}
			for _, order := range planner.Plan(in).Orders {
				must.Less(t, planner.Pool(order.PoolKey).Present, order.Count)
			}
		})
	}
}
