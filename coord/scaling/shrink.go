package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// shrinkShare is the share of the servers that are taken away at once at most. The
	// next steps then show whether the others carry the work.
	shrinkShare = 0.25
	// surplusTolerance is the relative surplus of reclaimable servers that is kept, so
	// that small changes of the steps cause no orders.
	surplusTolerance = 0.1
)

// shrink takes away servers that no step needs: plain ones first, in the dearest zones,
// and then reclaimable ones where most are.
func (d *draft) shrink() {
	pause := cmp.Or(d.Demand.Period, d.planner.history.memory)
	if !d.IsComplete || d.Now.Sub(d.planner.shrunkAt) < pause || len(d.why) > 0 || d.hasUnavailable() {
		return
	}
	expected, serving := maps.Clone(d.counts), 0
	for key, count := range expected {
		// Only servers that are listed may stand in for those that leave.
		d.counts[key] = min(count, d.planner.Pool(key).serving(d.Now))
		serving += d.counts[key]
	}
	defer d.restore(expected)
	for removed := 0; removed < max(1, int(shrinkShare*float64(serving))); removed++ {
		left := serving - removed - 1
		if left < d.need.Servers || d.needsMoreAfter(left) || left*d.Bounds.Slots < d.Demand.Running {
			return
		}
		key, ok := d.removable(left)
		if !ok {
			return
		}
		d.counts[key]--
		d.why[key] = "no step needs them"
		d.planner.shrunkAt = d.Now
	}
}

// needsMoreAfter reports whether more servers are needed once only some go on serving,
// because these work off less of what is open. Others would then be ordered at once.
func (d *draft) needsMoreAfter(serving int) bool {
	return needOf(d.Demand, d.Bounds.Slots, serving, d.Bounds.BootTime).Servers > d.need.Servers
}

// restore sets the counts of the pools for which no order is planned.
func (d *draft) restore(expected map[PoolKey]int) {
	for key, count := range expected {
		if d.why[key] == "" {
			d.counts[key] = count
		}
	}
}

// hasUnavailable reports whether a zone lacks reclaimable servers at present, so that
// more may be needed elsewhere.
func (d *draft) hasUnavailable() bool {
	return slices.ContainsFunc(d.Bounds.Zones, func(zone Zone) bool {
		return d.planner.Pool(PoolKey{zone.Name, true}).isUnavailable(d.Now)
	})
}

// removable returns the pool that loses a server next, if one may.
func (d *draft) removable(left int) (PoolKey, bool) {
	surplus := float64(left+1) - float64(d.need.Servers)
	mayRemove := func(key PoolKey) bool {
		if d.counts[key] == 0 || d.zoneTotal(key.Zone) <= d.Bounds.Min || !d.planner.Pool(key).mayShrink(d.Now) {
			return false
		}
		if key.Reclaimable && (d.total(true) <= d.wanted || surplus <= math.Ceil(surplusTolerance*float64(d.need.Servers))) {
			return false
		}
		d.counts[key]--
		defer func() { d.counts[key]++ }()
		return d.survivors() >= d.need.Floor
	}
	for _, reclaimable := range []bool{false, true} {
		zones := slices.DeleteFunc(slices.Clone(d.Bounds.Zones), func(zone Zone) bool { return !mayRemove(PoolKey{zone.Name, reclaimable}) })
		if len(zones) == 0 {
			continue
		}
		size := func(zone Zone) int {
			if reclaimable {
				return d.counts[PoolKey{zone.Name, true}]
			}
			return 0
		}
		chosen := slices.MaxFunc(zones, func(a, b Zone) int {
			return cmp.Or(cmp.Compare(size(a), size(b)), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
		})
		return PoolKey{chosen.Name, reclaimable}, true
	}
	return PoolKey{}, false
}
