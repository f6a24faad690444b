package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// freshShare is the part of a service's engines that load the newest versions
	// of all models together. The weight store serves less than a quarter of the
	// engines at a time, and a round has to be over well before the next one.
	freshShare = 0.6
	// paceWeight says by how much more than its pace a slow engine is passed over
	// for new weights: the longest texts suffer most from it.
	paceWeight = 2
)

// EngineWeights is what the leader knows of a model engine when it plans loads.
type EngineWeights struct {
	Server catalog.Server
	// Versions are the weights that the engine runs, by model.
	Versions map[structs.ServiceName]structs.WeightVersion
	// Loading is the order that the engine carries out; its model is empty when
	// there is none.
	Loading WeightLoad
	// Busy engines take no order now.
	Busy bool
	// Pace is the time between the events of a run; zero is unknown.
	Pace time.Duration
}

// WeightLoad is a change of weights of one engine.
type WeightLoad struct {
	// EngineIndex is the index of the engine among those that were given.
	EngineIndex int
	Model       structs.ServiceName
	Version     structs.WeightVersion
}

// PlanWeightLoads returns the loads that are missing, the most urgent first, as many as may
// begin now.
//
// A step may use the newest version of its model and the one before. So a version
// is loaded by a share of the engines that run neither, while those that run the
// version before go on; each engine then loads every second version at most. The
// engines of a model follow its demand, and the model that has the fewest goes
// first.
func PlanWeightLoads(models []structs.ServiceName, wanted map[structs.ServiceName]structs.WeightVersion, demand Demand, runners []EngineWeights, most int) []WeightLoad {
	p := &loadPlan{runners: runners, wanted: wanted, usual: usualPace(runners), taken: make([]bool, len(runners))}
	for i, share := range demand.shares(models, freshShare*float64(len(runners))) {
		p.tallies = append(p.tallies, p.tally(models[i], share))
	}
	var loads []WeightLoad
	for len(loads) < most {
		load, ok := p.next()
		if !ok {
			break
		}
		loads = append(loads, load)
	}
	return loads
}

// loadPlan is a plan in the making.
type loadPlan struct {
	runners []EngineWeights
	wanted  map[structs.ServiceName]structs.WeightVersion
	usual   time.Duration
	tallies []*tally
	taken   []bool
}

// tally counts the engines of a model.
type tally struct {
	model  structs.ServiceName
	newest structs.WeightVersion
	// share is how many engines should run the newest version.
	share int
	// fresh run or load the newest version, warm run the one before, and usable
	// may take the items of the newest step.
	fresh, warm, usable int
	// stale are the engines that may load, the best first, and spared those that
	// run the version before.
	stale, spared []int
	isSorted      bool
	isDone        bool
}

func (p *loadPlan) tally(model structs.ServiceName, share int) *tally {
	t := &tally{model: model, newest: p.wanted[model], share: min(share, len(p.runners))}
	for i := range p.runners {
		runner := &p.runners[i]
		version := runner.Versions[model]
		switch {
		case version >= t.newest || runner.Loading.Model == model && runner.Loading.Version >= t.newest:
			t.fresh++
		case version+1 == t.newest:
			t.warm++
		}
		if version+1 >= t.newest {
			t.usable++
		}
	}
	return t
}

// readiness is how far a model has what its next steps need, from 0 to 2.
func (t *tally) readiness() float64 {
	share := float64(t.share)
	return min(1, float64(t.usable)/share) + min(1, float64(t.fresh)/share)
}

// next adds the most urgent load to the plan.
func (p *loadPlan) next() (WeightLoad, bool) {
	for {
		var first *tally
		for _, t := range p.tallies {
			if !t.isDone && t.fresh < t.share && (first == nil || t.readiness() < first.readiness()) {
				first = t
			}
		}
		if first == nil {
			return WeightLoad{}, false
		}
		if index, ok := p.choose(first); ok {
			p.taken[index] = true
			first.fresh++
			return WeightLoad{EngineIndex: index, Model: first.model, Version: first.newest}, true
		}
		first.isDone = true
	}
}

// choose picks the engine that loads the newest version of a model next.
func (p *loadPlan) choose(t *tally) (int, bool) {
	if !t.isSorted {
		p.sort(t)
	}
	for len(t.stale) > 0 {
		index := t.stale[0]
		t.stale = t.stale[1:]
		if !p.taken[index] {
			return index, true
		}
	}
	// Engines that run the version before are spared unless there are more than
	// enough of them, or none has the newest yet.
	for len(t.spared) > 0 && (t.warm > t.share || t.fresh == 0) {
		index := t.spared[0]
		t.spared = t.spared[1:]
		if !p.taken[index] {
			t.warm--
			return index, true
		}
	}
	return 0, false
}

// sort lists the engines that may load the newest version of a model, the best
// first.
func (p *loadPlan) sort(t *tally) {
	t.isSorted = true
	costs := make([]float64, len(p.runners))
	for i := range p.runners {
		runner := &p.runners[i]
		version := runner.Versions[t.model]
		if runner.Busy || version >= t.newest {
			continue
		}
		costs[i] = p.cost(runner, t.model)
		if version+1 == t.newest {
			t.spared = append(t.spared, i)
		} else {
			t.stale = append(t.stale, i)
		}
	}
	byCost := func(a, b int) int { return cmp.Compare(costs[a], costs[b]) }
	slices.SortFunc(t.stale, byCost)
	slices.SortFunc(t.spared, byCost)
}

// cost is what an engine lacks for new weights of a model: it serves other models
// or is slow. Engines alike are told apart by their names.
func (p *loadPlan) cost(runner *EngineWeights, model structs.ServiceName) float64 {
	others := 0
	for _, t := range p.tallies {
		if t.model != model && runner.Versions[t.model]+1 >= t.newest {
			others++
		}
	}
	ratio := 1.0
	if runner.Pace > p.usual {
		ratio = float64(runner.Pace) / float64(p.usual)
	}
	cost := float64(1 + others)
	for range paceWeight {
		cost *= ratio
	}
	return cost + salting*fraction(xxhash.Sum64String(string(runner.Server.ID)+string(model)))
}

// usualPace is the median of the known paces, or zero.
func usualPace(runners []EngineWeights) time.Duration {
	var paces []time.Duration
	for i := range runners {
		if runners[i].Pace > 0 {
			paces = append(paces, runners[i].Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
