package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func TestEngineSelector_ExcludedEngines(t *testing.T) {
	servers := newServers(5)
	engines := []Engine{
		{Server: servers[0], Version: 3},
		{Server: servers[1], Version: 4, LocalItems: 8},
		{Server: servers[2], Version: 4, Blocked: true},
		{Server: servers[3], Version: 4, Pace: 80 * time.Millisecond},
		{Server: servers[4], Version: 5, Pace: 40 * time.Millisecond},
	}
	selector := NewEngineSelector(engines, 4, 1)
	choice, ok := selector.Select(50, []structs.HostName{"engine-4"}, resume.Position{})
	must.True(t, ok)
	must.Eq(t, 3, choice)
	choice, ok = selector.Select(50, nil, resume.Position{})
	must.True(t, ok)
	must.Eq(t, 4, choice)
	_, ok = NewEngineSelector(engines, 6, 1).Select(50, nil, resume.Position{})
	must.False(t, ok)
	_, ok = selector.Select(50, []structs.HostName{"engine-3", "engine-4"}, resume.Position{})
	must.False(t, ok)
}

func TestEngineSelector_UnknownPace(t *testing.T) {
	servers := newServers(3)
	engines := []Engine{
		{Server: servers[0], Pace: 40 * time.Millisecond, BestPace: 40 * time.Millisecond},
		{Server: servers[1], Pace: 200 * time.Millisecond, BestPace: 60 * time.Millisecond},
		{Server: servers[2]},
	}
	selector := NewEngineSelector(engines, 0, 1)
	must.Eq(t, 50*time.Millisecond, selector.PaceOf(2))
	choice, _ := selector.Select(100, nil, resume.Position{})
	must.Eq(t, 0, choice)
	must.Eq(t, DefaultPace, NewEngineSelector(engines[2:], 0, 1).FallbackPace())
}

// TestEngineSelector_LowestCost compares the selected engines with an
// exhaustive search.
func TestEngineSelector_LowestCost(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		engines := make([]Engine, 1+random.IntN(40))
		for i, server := range newServers(len(engines)) {
			server.Slots = 1 + random.IntN(4)
			server.Software = []structs.SoftwareVersion{"", "v1", "v1.1"}[random.IntN(3)]
			engines[i] = Engine{
				Server: server, Version: structs.WeightVersion(random.IntN(3)),
				Pace: time.Duration(random.IntN(60)) * time.Millisecond,
				RTT:  []time.Duration{0, 2, 60}[random.IntN(3)] * time.Millisecond,
			}
		}
		selector := NewEngineSelector(engines, 1, random.Uint64())
		for {
			events := 1 + random.IntN(180)
			avoid := []structs.HostName{engines[random.IntN(len(engines))].Server.ID, engines[0].Server.ID}
			position := resume.Position{Last: uint64(random.IntN(2)), Origin: resume.OriginOf(engines[random.IntN(len(engines))].Server)}
			best, bestCost := -1, 0.0
			for i := range engines {
				e := &engines[i]
				if !position.ContinuesAt(e.Server) || e.Version < 1 || e.LocalItems >= e.Server.Slots || slices.Contains(avoid, e.Server.ID) {
					continue
				}
				cost := selector.eventCost(int32(i))*float64(events) + float64(e.RTT)
				if best < 0 || cost < bestCost {
					best, bestCost = i, cost
				}
			}
			choice, ok := selector.Select(events, avoid, position)
			must.Eq(t, best >= 0, ok)
			if !ok && position.Last > 0 {
				continue
			}
			if !ok {
				break
			}
			must.Eq(t, best, choice)
			selector.Assign(choice)
		}
	}
}

// placeStep places a step of 40 texts, the longest first, on 12 engines of which some are a
// third slower and have idle connections. It returns when the last text ends and how many
// texts needed a new connection.
func placeStep(selectorOf func([]Engine) *EngineSelector) (end time.Duration, opened int) {
	engines := make([]Engine, 12)
	for i, server := range newServers(len(engines)) {
		engines[i] = Engine{Server: server, Pace: 40 * time.Millisecond, BestPace: 40 * time.Millisecond}
		if i%2 == 0 {
			engines[i].Pace, engines[i].Connections = 53*time.Millisecond, server.Slots
		}
	}
	selector := selectorOf(engines)
	for text := range 40 {
		events := 100 - 2*text
		choice, ok := selector.Select(events, nil, resume.Position{})
		if !ok {
			return 0, 0
		}
		if !selector.Engine(choice).isConnected() {
			opened++
		}
		end = max(end, time.Duration(events)*selector.PaceOf(choice))
		selector.Assign(choice)
	}
	return end, opened
}

// TestEngineSelector_IdleConnections plays steps on engines of which the slower ones have idle
// connections. Texts that end well before the step use these, and the step ends no later.
func TestEngineSelector_IdleConnections(t *testing.T) {
	endBefore, openedBefore := placeStep(func(engines []Engine) *EngineSelector { return NewEngineSelector(engines, 0, 1) })
	end, opened := placeStep(func(engines []Engine) *EngineSelector {
		selector := NewEngineSelector(engines, 0, 1)
		selector.StepEnd = 100 * selector.FallbackPace()
		return selector
	})
	must.LessEq(t, endBefore, end)
	must.Less(t, openedBefore, opened)
	must.LessEq(t, 20, opened)
}

// TestEngineSelector_ConnectionsNeedRoom checks that an idle connection to an engine without
// free slots, or to that of another model, is not used for the sake of the connection.
func TestEngineSelector_ConnectionsNeedRoom(t *testing.T) {
	servers := newServers(2)
	for _, connected := range []Engine{
		{OtherItems: 8, Connections: 8}, {IsForeign: true, Connections: 8}, {Connections: 8, Pace: time.Second},
	} {
		connected.Server, connected.Pace = servers[0], max(connected.Pace, 60*time.Millisecond)
		selector := NewEngineSelector([]Engine{connected, {Server: servers[1], Pace: 40 * time.Millisecond}}, 0, 1)
		selector.StepEnd = 4 * time.Second
		choice, ok := selector.Select(20, nil, resume.Position{})
		must.True(t, ok)
		must.Eq(t, 1, choice)
	}
}

// BenchmarkEngineSelector10000 selects among ten thousand engines. The target
// is two microseconds and no allocation for each item.
func BenchmarkEngineSelector10000(b *testing.B) {
	servers := newServers(10000)
	engines := make([]Engine, len(servers))
	for i, server := range servers {
		server.Slots = 1 << 30
		engines[i] = Engine{
			Server: server, Version: structs.WeightVersion(i % 7), Pace: time.Duration(40+i%20) * time.Millisecond,
			RTT: time.Duration(i%3) * 30 * time.Millisecond,
		}
	}
	selector := NewEngineSelector(engines, 5, 7)
	avoid := []structs.HostName{"engine-5", "engine-6"}
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := selector.Select(40, avoid, resume.Position{})
		selector.Assign(choice)
	}
}
