package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func fleet(count int) []catalog.Server {
	servers := make([]catalog.Server, count)
	for i := range servers {
		servers[i] = catalog.Server{ID: structs.HostName(fmt.Sprintf("engine-%d", i)), Slots: 8}
	}
	return servers
}

// versions are the weights that an engine runs, by model.
type versions = map[structs.ServiceName]structs.WeightVersion

// runners are engines that run version 1 of every model.
func runners(count int, models ...structs.ServiceName) []EngineWeights {
	all := make([]EngineWeights, count)
	for i, server := range fleet(count) {
		all[i] = EngineWeights{Server: server, Versions: versions{}}
		for _, model := range models {
			all[i].Versions[model] = 1
		}
	}
	return all
}

func carryOut(engines []EngineWeights, loads []WeightLoad) {
	for _, load := range loads {
		engines[load.EngineIndex].Versions[load.Model] = load.Version
	}
}

func usable(engines []EngineWeights, model structs.ServiceName, oldest structs.WeightVersion) int {
	count := 0
	for i := range engines {
		if engines[i].Versions[model] >= oldest {
			count++
		}
	}
	return count
}

// TestLoads_AShareLoadsEachVersionWhileTheOneBeforeGoesOn names twenty versions
// in turn and holds what a step needs at every moment of it.
func TestLoads_AShareLoadsEachVersionWhileTheOneBeforeGoesOn(t *testing.T) {
	models := []structs.ServiceName{"a", "b", "c"}
	for _, count := range []int{1, 2, 3, 9, 30, 44} {
		engines := runners(count, models...)
		wanted := versions{"a": 1, "b": 1, "c": 1}
		for version := structs.WeightVersion(2); version <= 20; version++ {
			for _, model := range models {
				wanted[model] = version
				before := usable(engines, model, version-1)
				loads := PlanWeightLoads(models, wanted, nil, engines, count)
				must.LessEq(t, max(1, count/3), len(loads), must.Sprintf("%d engines", count))
				carryOut(engines, loads)
				must.Positive(t, before)
				must.Positive(t, usable(engines, model, version))
				if count > 2 {
					must.GreaterEq(t, before, usable(engines, model, version-1), must.Sprintf("%d engines, version %d", count, version))
				}
			}
		}
		must.SliceEmpty(t, PlanWeightLoads(models, wanted, nil, engines, count))
	}
}

func TestLoads_NoMoreThanMayBegin(t *testing.T) {
	models := []structs.ServiceName{"a"}
	engines := runners(30, "a")
	must.Len(t, 4, PlanWeightLoads(models, versions{"a": 2}, nil, engines, 4))
	must.SliceEmpty(t, PlanWeightLoads(models, versions{"a": 2}, nil, engines, 0))
	must.SliceEmpty(t, PlanWeightLoads(models, versions{"a": 2}, nil, engines, -1))
}

func TestLoads_WhatIsUnderWayCounts(t *testing.T) {
	models := []structs.ServiceName{"a"}
	engines := runners(5, "a")
	first := PlanWeightLoads(models, versions{"a": 3}, nil, engines, 1)
	must.Len(t, 1, first)
	engines[first[0].EngineIndex].Loading, engines[first[0].EngineIndex].Busy = first[0], true
	rest := PlanWeightLoads(models, versions{"a": 3}, nil, engines, 5)
	must.Len(t, 2, rest)
	for _, load := range rest {
		must.NotEq(t, first[0].EngineIndex, load.EngineIndex)
	}
}

// TestLoads_TheModelThatLacksMostGoesFirst holds that a model whose next step
// has no engine comes before one whose next step has some.
func TestLoads_TheModelThatLacksMostGoesFirst(t *testing.T) {
	engines := runners(9, "a", "b")
	engines[0].Versions["a"], engines[1].Versions["a"] = 4, 4
	loads := PlanWeightLoads([]structs.ServiceName{"a", "b"}, versions{"a": 5, "b": 5}, nil, engines, 2)
	must.Len(t, 2, loads)
	must.Eq(t, "b", loads[0].Model)
}

func TestLoads_FollowDemand(t *testing.T) {
	demand := Demand{}
	demand.Observe("a", 100)
	demand.Observe("b", 300)
	counts := map[structs.ServiceName]int{}
	for _, load := range PlanWeightLoads([]structs.ServiceName{"a", "b"}, versions{"a": 2, "b": 2}, demand, runners(20, "a", "b"), 20) {
		counts[load.Model]++
	}
	must.Eq(t, map[structs.ServiceName]int{"a": 3, "b": 9}, counts)
	demand.Observe("b", 0)
	must.Eq(t, 210, demand["b"])
}

func TestLoads_SlowEnginesComeLast(t *testing.T) {
	engines := runners(6, "a")
	for i := range engines {
		engines[i].Pace = 40 * time.Millisecond
	}
	engines[1].Pace, engines[4].Pace = 52*time.Millisecond, 130*time.Millisecond
	loads := PlanWeightLoads([]structs.ServiceName{"a"}, versions{"a": 3}, nil, engines, 6)
	must.Len(t, 4, loads)
	for _, load := range loads {
		must.NotEq(t, 1, load.EngineIndex)
		must.NotEq(t, 4, load.EngineIndex)
	}
}

func TestLoads_SkippedVersionsAreNotLoaded(t *testing.T) {
	engines := runners(3, "a")
	for _, load := range PlanWeightLoads([]structs.ServiceName{"a"}, versions{"a": 7}, nil, engines, 3) {
		must.Eq(t, 7, load.Version)
	}
}

// BenchmarkLoads10000 is a plan for nine models on ten thousand engines, of which
// 2,200 may load at once.
func BenchmarkLoads10000(b *testing.B) {
	var models []structs.ServiceName
	wanted := versions{}
	for i := range 9 {
		model := structs.ServiceName(fmt.Sprintf("model-%d", i))
		models = append(models, model)
		wanted[model] = 2
	}
	engines := runners(10000, models...)
	b.ReportAllocs()
	for b.Loop() {
		PlanWeightLoads(models, wanted, nil, engines, 2200)
	}
}
