// Package placement decides which model engines run which weight versions and
// which of them gets the next item. Values go in and come out; who asks the
// engines, and how, is not its matter.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Home is the part of a model's home servers that takes every version of one
// parity, so that each server loads every second version and one half is warm
// whenever the other loads.
type Home struct {
	Server catalog.Server
	// Parity is 0 for even versions and 1 for odd ones.
	Parity uint64
}

// Demand is what the steps of each model ask for, in any unit; a model that is
// not there counts as the mean of the others.
type Demand map[structs.ServiceName]float64

// shares divides a count over models by their demand.
func (d Demand) shares(models []structs.ServiceName, count int) []int {
	sum, known := 0.0, 0
	for _, model := range models {
		if d[model] > 0 {
			sum += d[model]
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	total := sum + mean*float64(len(models)-known)
	shares := make([]int, len(models))
	for i, model := range models {
		part := d[model]
		if part <= 0 {
			part = mean
		}
		shares[i] = int(float64(count) * part / total)
	}
	return shares
}

// Homes gives each model its home servers among those of a service: two shares
// of the servers for each model, one for each parity, divided by demand.
func Homes(models []structs.ServiceName, servers []catalog.Server, demand Demand) map[structs.ServiceName][]Home {
	homes := make(map[structs.ServiceName][]Home, len(models))
	if len(models) == 0 || len(servers) == 0 {
		return homes
	}
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b catalog.Server) int { return cmp.Compare(weight(a.ID), weight(b.ID)) })
	ordered := slices.Clone(models)
	slices.Sort(ordered)
	first := 0
	for i, share := range demand.shares(ordered, len(sorted)) {
		count := min(2*max(1, share), len(sorted))
		for j := range count {
			server := sorted[(first+j)%len(sorted)]
			homes[ordered[i]] = append(homes[ordered[i]], Home{Server: server, Parity: uint64(j/max(1, (count+1)/2)) % 2})
		}
		first += count
	}
	return homes
}

// weight spreads servers over the order in which homes are given, so that
// neighbours by name do not share a fate.
func weight(id structs.HostName) uint64 { return xxhash.Sum64String(string(id)) }

// Wanted returns the version that a home server should run when a version is
// the newest: the newest one of its parity.
func (h Home) Wanted(newest structs.WeightVersion) structs.WeightVersion {
	if newest > 1 && uint64(newest)%2 != h.Parity {
		return newest - 1
	}
	return newest
}

// Engine is what a daemon knows of a model engine when it places an item.
type Engine struct {
	Server catalog.Server
	// Version is the newest version of the item's model that the engine is
	// known to run.
	Version structs.WeightVersion
	// Own counts the items that this daemon runs there.
	Own int
	// Pace is the time between events; zero is unknown.
	Pace time.Duration
	// Distance is the round trip to the engine.
	Distance time.Duration
	// Blocked engines refused an item a moment ago.
	Blocked bool
}

const (
	// DefaultPace is the time between events of an engine that has run nothing
	// yet: 71 tokens at half a millisecond each.
	DefaultPace = 40 * time.Millisecond
	// crowding is the part by which a run takes longer in the reckoning for a
	// full engine, so that items spread over engines of equal pace.
	crowding = 0.5
)

// Place chooses the engine on which an item of so many events ends soonest, and
// false when none can take it now.
func Place(engines []Engine, oldest structs.WeightVersion, events int, avoid []structs.HostName) (int, bool) {
	best, bestCost := -1, time.Duration(0)
	for i := range engines {
		engine := &engines[i]
		if engine.Blocked || engine.Own >= engine.Server.Slots || engine.Version < oldest ||
			slices.Contains(avoid, engine.Server.ID) {
			continue
		}
		if cost := engine.cost(events); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

func (e *Engine) cost(events int) time.Duration {
	pace := e.Pace
	if pace == 0 {
		pace = DefaultPace
	}
	full := float64(e.Own) / float64(e.Server.Slots)
	return time.Duration(float64(pace)*float64(max(1, events))*(1+crowding*full)) + e.Distance
}

const (
	// worthMoving is the time that a move must save: the run starts anew and
	// reads its prompt again.
	worthMoving = 400 * time.Millisecond
	// slowFactor is how many times the pace elsewhere a run must take before
	// it is moved.
	slowFactor = 1.6
	// EnoughEvents is how many events tell a run's pace.
	EnoughEvents = 8
)

// ShouldMove reports whether a run with so many events left should go on at an
// engine of another pace.
func ShouldMove(left int, pace, elsewhere time.Duration) bool {
	if float64(pace) < slowFactor*float64(elsewhere) {
		return false
	}
	return time.Duration(left)*(pace-elsewhere) > worthMoving
}

// The urgency of an item at its engine, from 0, the first, to 9.
const (
	urgencyLate  = 1
	urgencyTight = 3
	urgencyUsual = 5
	// mostRank bounds what the rank of a route adds.
	mostRank = 1
	// tightSlack and lateSlack are the times to spare before the results are
	// due, below which an item goes before others.
	tightSlack = 3 * time.Second
	lateSlack  = time.Second
)

// Urgency ranks an item by the time to spare when so many events are left, and
// among items alike by the rank of their route, of which zero is the first.
func Urgency(left int, due time.Duration, rank int) int {
	slack := due - time.Duration(left)*DefaultPace
	urgency := urgencyUsual
	switch {
	case slack < lateSlack:
		urgency = urgencyLate
	case slack < tightSlack:
		urgency = urgencyTight
	}
	return urgency + min(max(0, rank), mostRank)
}

const (
	// paceSmoothing is the weight of a new run in the pace of an engine.
	paceSmoothing = 0.4
	// demandSmoothing is the weight of a new step in the demand for a model.
	demandSmoothing = 0.3
)

// Add takes in the size of one more step of a model.
func (d Demand) Add(model structs.ServiceName, size float64) {
	if old, ok := d[model]; ok {
		size = old + demandSmoothing*(size-old)
	}
	d[model] = size
}

// Smooth adds the pace of one more run to that of an engine.
func Smooth(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return old + time.Duration(paceSmoothing*float64(seen-old))
}
