package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func newServers(count int) []catalog.Server {
	servers := make([]catalog.Server, count)
	for i := range servers {
		servers[i] = catalog.Server{ID: structs.HostName(fmt.Sprintf("engine-%d", i)), Slots: 8}
	}
	return servers
}

// versions are the weight versions that an engine runs, by model.
type versions = map[structs.ServiceName]structs.WeightVersion

// newEngines returns engines that run version 1 of every model.
func newEngines(count int, models ...structs.ServiceName) []EngineWeights {
	all := make([]EngineWeights, count)
	for i, server := range newServers(count) {
		all[i] = EngineWeights{Server: server, Versions: versions{}}
		for _, model := range models {
			all[i].Versions[model] = 1
		}
	}
	return all
}

func applyLoads(engines []EngineWeights, loads []WeightLoad) {
	for _, load := range loads {
		engines[load.EngineIndex].Versions[load.Model] = load.Version
	}
}

func countUsable(engines []EngineWeights, model structs.ServiceName, oldest structs.WeightVersion) int {
	count := 0
	for i := range engines {
		if engines[i].Versions[model] >= oldest {
			count++
		}
	}
	return count
}

// TestPlanWeightLoads_VersionTurnover publishes twenty versions in turn. It
// guards against a plan that leaves a step without engines: the previous
// version must stay in use while a share of the engines loads the newest.
func TestPlanWeightLoads_VersionTurnover(t *testing.T) {
	models := []structs.ServiceName{"a", "b", "c"}
	for _, count := range []int{1, 2, 3, 9, 30, 44} {
		engines := newEngines(count, models...)
		wanted := versions{"a": 1, "b": 1, "c": 1}
		for version := structs.WeightVersion(2); version <= 20; version++ {
			for _, model := range models {
				wanted[model] = version
				before := countUsable(engines, model, version-1)
				loads := PlanWeightLoads(models, wanted, nil, engines, count)
				must.LessEq(t, max(1, count/3), len(loads), must.Sprintf("%d engines", count))
				applyLoads(engines, loads)
				must.Positive(t, before)
				must.Positive(t, countUsable(engines, model, version))
				if count > 2 {
					must.GreaterEq(t, before, countUsable(engines, model, version-1), must.Sprintf("%d engines, version %d", count, version))
				}
			}
		}
		must.SliceEmpty(t, PlanWeightLoads(models, wanted, nil, engines, count))
	}
}

func TestPlanWeightLoads_MaxLoads(t *testing.T) {
	models := []structs.ServiceName{"a"}
	engines := newEngines(30, "a")
	must.Len(t, 4, PlanWeightLoads(models, versions{"a": 2}, nil, engines, 4))
	must.SliceEmpty(t, PlanWeightLoads(models, versions{"a": 2}, nil, engines, 0))
	must.SliceEmpty(t, PlanWeightLoads(models, versions{"a": 2}, nil, engines, -1))
}

func TestPlanWeightLoads_LoadInProgress(t *testing.T) {
	models := []structs.ServiceName{"a"}
	engines := newEngines(5, "a")
	first := PlanWeightLoads(models, versions{"a": 3}, nil, engines, 1)
	must.Len(t, 1, first)
	engines[first[0].EngineIndex].Loading, engines[first[0].EngineIndex].Busy = first[0], true
	rest := PlanWeightLoads(models, versions{"a": 3}, nil, engines, 5)
	must.Len(t, 2, rest)
	for _, load := range rest {
		must.NotEq(t, first[0].EngineIndex, load.EngineIndex)
	}
}

// TestPlanWeightLoads_NeediestModelFirst checks that a model without an engine
// for its next step goes before a model that has some.
func TestPlanWeightLoads_NeediestModelFirst(t *testing.T) {
	engines := newEngines(9, "a", "b")
	engines[0].Versions["a"], engines[1].Versions["a"] = 4, 4
	loads := PlanWeightLoads([]structs.ServiceName{"a", "b"}, versions{"a": 5, "b": 5}, nil, engines, 2)
	must.Len(t, 2, loads)
	must.Eq(t, "b", loads[0].Model)
}

func TestPlanWeightLoads_Demand(t *testing.T) {
	demand := Demand{}
	demand.Observe("a", 100)
	demand.Observe("b", 300)
	counts := map[structs.ServiceName]int{}
	for _, load := range PlanWeightLoads([]structs.ServiceName{"a", "b"}, versions{"a": 2, "b": 2}, demand, newEngines(20, "a", "b"), 20) {
		counts[load.Model]++
	}
	must.Eq(t, map[structs.ServiceName]int{"a": 3, "b": 9}, counts)
	demand.Observe("b", 0)
	must.Eq(t, 210, demand["b"])
}

func TestPlanWeightLoads_SlowEngines(t *testing.T) {
	engines := newEngines(6, "a")
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

func TestPlanWeightLoads_SkippedVersions(t *testing.T) {
	engines := newEngines(3, "a")
	for _, load := range PlanWeightLoads([]structs.ServiceName{"a"}, versions{"a": 7}, nil, engines, 3) {
		must.Eq(t, 7, load.Version)
	}
}

// BenchmarkPlanWeightLoads10000 plans loads for nine models on ten thousand
// engines, of which 2,200 may load at once.
func BenchmarkPlanWeightLoads10000(b *testing.B) {
	var models []structs.ServiceName
	wanted := versions{}
	for i := range 9 {
		model := structs.ServiceName(fmt.Sprintf("model-%d", i))
		models = append(models, model)
		wanted[model] = 2
	}
	engines := newEngines(10000, models...)
	b.ReportAllocs()
	for b.Loop() {
		PlanWeightLoads(models, wanted, nil, engines, 2200)
	}
}
