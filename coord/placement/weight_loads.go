package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// newestShare is the fraction of the engines of a service that load the
	// newest versions, of all models together. The weight store serves less
	// than a quarter of the engines at a time, and a round of loads must end
	// well before the next version appears.
	newestShare = 0.6
	// paceExponent is the exponent of the relative pace of a slow engine in its
	// cost for new weights. It is above one because long texts suffer most from
	// a slow engine.
	paceExponent = 2
	// unusedPenalty is added to the cost of an engine that did not load one of the last
	// versions of the model, in models that the engine serves: the owner of the model's
	// jobs has connections to those that did. With reloadDistance, engines that load every
	// second version count as such.
	unusedPenalty  = 0.9
	reloadDistance = 2
	// awayPenalty is the cost, in models that the engine serves, of an engine with the lowest
	// rank for the model. HomeModel prefers those with high ranks, so that the items of a
	// model run where its weights are, and its owner has connections to few engines.
	awayPenalty = 0.5
)

// EngineWeights is the state of a model engine as the leader sees it when it
// plans loads.
type EngineWeights struct {
	Server catalog.Server
	// Versions are the weight versions that the engine runs, by model.
	Versions map[structs.ServiceName]structs.WeightVersion
	// Loading is the load in progress; its model is empty when there is none.
	Loading WeightLoad
	// Busy means that the engine cannot start a load now.
	Busy bool
	// Pace is the time between the events of a run; zero means unknown.
	Pace time.Duration
}

// WeightLoad is a weight swap of one engine: the version of the model to load.
type WeightLoad struct {
	// EngineIndex is the index of the engine in the slice given to
	// PlanWeightLoads.
	EngineIndex int
	Model       structs.ServiceName
	Version     structs.WeightVersion
}

// PlanWeightLoads returns the loads that may start now, at most maxLoads, in
// the order of their urgency.
//
// A step may use the newest version of its model and the previous one. A
// version is therefore loaded by a share of the engines that run neither, while
// those with the previous version continue; each engine then loads at most
// every second version. The number of engines of a model follows its demand,
// and the model that lacks the most engines goes first.
func PlanWeightLoads(models []structs.ServiceName, wanted map[structs.ServiceName]structs.WeightVersion, demand Demand, engines []EngineWeights, maxLoads int) []WeightLoad {
	p := &loadPlan{engines: engines, wanted: wanted, medianPace: medianPace(engines), assigned: make([]bool, len(engines))}
	for i, target := range demand.shares(models, newestShare*float64(len(engines))) {
		p.modelStates = append(p.modelStates, p.newModelState(models[i], target))
	}
	var loads []WeightLoad
	for len(loads) < maxLoads {
		load, ok := p.nextLoad()
		if !ok {
			break
		}
		loads = append(loads, load)
	}
	return loads
}

// loadPlan is the state of a plan under construction.
type loadPlan struct {
	engines     []EngineWeights
	wanted      map[structs.ServiceName]structs.WeightVersion
	medianPace  time.Duration
	modelStates []*modelState
	assigned    []bool
}

// modelState counts the engines of a model and lists the candidates for a load.
type modelState struct {
	model  structs.ServiceName
	newest structs.WeightVersion
	// target is how many engines should run the newest version.
	target int
	// newestCount engines run or load the newest version, previousCount run the
	// one before, and usableCount can run items of the newest step.
	newestCount, previousCount, usableCount int
	// stale and previous are the indexes of the engines that may load the
	// newest version, the best first: previous has those that run the version
	// before, stale all others.
	stale, previous []int
	isOrdered       bool
	isExhausted     bool
}

func (p *loadPlan) newModelState(model structs.ServiceName, target int) *modelState {
	m := &modelState{model: model, newest: p.wanted[model], target: min(target, len(p.engines))}
	for i := range p.engines {
		engine := &p.engines[i]
		version := engine.Versions[model]
		switch {
		case version >= m.newest || engine.Loading.Model == model && engine.Loading.Version >= m.newest:
			m.newestCount++
		case version+1 == m.newest:
			m.previousCount++
		}
		if version+1 >= m.newest {
			m.usableCount++
		}
	}
	return m
}

// readiness returns how close a model is to having enough engines for its
// current and next step, from 0 to 2.
func (m *modelState) readiness() float64 {
	target := float64(m.target)
	return min(1, float64(m.usableCount)/target) + min(1, float64(m.newestCount)/target)
}

// nextLoad adds the most urgent load to the plan and returns it. It returns
// false when no model needs another load or has an engine for it.
func (p *loadPlan) nextLoad() (WeightLoad, bool) {
	for {
		var neediest *modelState
		for _, m := range p.modelStates {
			if !m.isExhausted && m.newestCount < m.target && (neediest == nil || m.readiness() < neediest.readiness()) {
				neediest = m
			}
		}
		if neediest == nil {
			return WeightLoad{}, false
		}
		if index, ok := p.chooseEngine(neediest); ok {
			p.assigned[index] = true
			neediest.newestCount++
			return WeightLoad{EngineIndex: index, Model: neediest.model, Version: neediest.newest}, true
		}
		neediest.isExhausted = true
	}
}

// chooseEngine returns the engine that loads the newest version of a model
// next.
func (p *loadPlan) chooseEngine(m *modelState) (int, bool) {
	if !m.isOrdered {
		p.orderEngines(m)
	}
	for len(m.stale) > 0 {
		index := m.stale[0]
		m.stale = m.stale[1:]
		if !p.assigned[index] {
			return index, true
		}
	}
	// Engines with the previous version do not load unless there are more of
	// them than the target, or no engine has the newest version yet.
	for len(m.previous) > 0 && (m.previousCount > m.target || m.newestCount == 0) {
		index := m.previous[0]
		m.previous = m.previous[1:]
		if !p.assigned[index] {
			m.previousCount--
			return index, true
		}
	}
	return 0, false
}

// orderEngines lists the engines that may load the newest version of a model,
// the best first.
func (p *loadPlan) orderEngines(m *modelState) {
	m.isOrdered = true
	costs := make([]float64, len(p.engines))
	for i := range p.engines {
		engine := &p.engines[i]
		version := engine.Versions[m.model]
		if engine.Busy || version >= m.newest {
			continue
		}
		costs[i] = p.loadCost(engine, m.model, m.newest)
		if version+1 == m.newest {
			m.previous = append(m.previous, i)
		} else {
			m.stale = append(m.stale, i)
		}
	}
	byCost := func(a, b int) int { return cmp.Compare(costs[a], costs[b]) }
	slices.SortFunc(m.stale, byCost)
	slices.SortFunc(m.previous, byCost)
}

// loadCost returns the cost of loading a model on an engine: it is higher if
// the engine serves other models, is slow or is the home of other models.
func (p *loadPlan) loadCost(engine *EngineWeights, model structs.ServiceName, newest structs.WeightVersion) float64 {
	others := 0
	for _, m := range p.modelStates {
		if m.model != model && engine.Versions[m.model]+1 >= m.newest {
			others++
		}
	}
	ratio := 1.0
	if engine.Pace > p.medianPace {
		ratio = float64(engine.Pace) / float64(p.medianPace)
	}
	cost := float64(1 + others)
	if engine.Versions[model]+reloadDistance < newest {
		cost += unusedPenalty
	}
	for range paceExponent {
		cost *= ratio
	}
	return cost + awayPenalty*(1-fraction(rendezvousHash(engine.Server.ID, model)))
}

// medianPace returns the median of the known paces, or zero.
func medianPace(engines []EngineWeights) time.Duration {
	var paces []time.Duration
	for i := range engines {
		if engines[i].Pace > 0 {
			paces = append(paces, engines[i].Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
