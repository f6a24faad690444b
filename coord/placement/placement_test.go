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

// TestHomes_LoadsPerVersionAreOneShare holds that a version is loaded by as many
// servers as fall to one model, and that the other half is warm meanwhile.
func TestHomes_LoadsPerVersionAreOneShare(t *testing.T) {
	models := []structs.ServiceName{"a", "b", "c"}
	for _, count := range []int{3, 9, 30, 44} {
		homes := Homes(models, fleet(count), nil)
		for _, model := range models {
			parities := map[uint64]int{}
			seen := map[structs.HostName]bool{}
			for _, home := range homes[model] {
				must.False(t, seen[home.Server.ID])
				seen[home.Server.ID] = true
				parities[home.Parity]++
			}
			must.LessEq(t, count/3, parities[0])
			must.LessEq(t, count/3, parities[1])
			must.Positive(t, parities[0])
			must.Positive(t, parities[1])
		}
	}
}

func TestHomes_SameForAllWhateverTheOrder(t *testing.T) {
	servers := fleet(9)
	turned := append(append([]catalog.Server(nil), servers[4:]...), servers[:4]...)
	models := []structs.ServiceName{"a", "b"}
	must.Eq(t, Homes(models, servers, nil), Homes([]structs.ServiceName{"b", "a"}, turned, nil))
}

func TestHomes_FollowDemand(t *testing.T) {
	demand := Demand{}
	demand.Add("a", 100)
	demand.Add("b", 200)
	homes := Homes([]structs.ServiceName{"a", "b"}, fleet(9), demand)
	must.Len(t, 6, homes["a"])
	must.Len(t, 9, homes["b"]) // Two shares of six, of nine servers.
	demand.Add("b", 0)
	must.Eq(t, 140, demand["b"])
}

func TestHome_WantedAlternates(t *testing.T) {
	even, odd := Home{Parity: 0}, Home{Parity: 1}
	must.Eq(t, 4, even.Wanted(4))
	must.Eq(t, 4, even.Wanted(5))
	must.Eq(t, 3, odd.Wanted(4))
	must.Eq(t, 5, odd.Wanted(5))
	must.Eq(t, 1, even.Wanted(1))
}

func TestPlace_PassesOverStaleFullBlockedAndAvoided(t *testing.T) {
	servers := fleet(5)
	engines := []Engine{
		{Server: servers[0], Version: 3},
		{Server: servers[1], Version: 4, Own: 8},
		{Server: servers[2], Version: 4, Blocked: true},
		{Server: servers[3], Version: 4, Pace: 80 * time.Millisecond},
		{Server: servers[4], Version: 5},
	}
	choice, ok := Place(engines, 4, 50, []structs.HostName{"engine-4"})
	must.True(t, ok)
	must.Eq(t, 3, choice)
	choice, ok = Place(engines, 4, 50, nil)
	must.True(t, ok)
	must.Eq(t, 4, choice)
	_, ok = Place(engines, 6, 50, nil)
	must.False(t, ok)
}

func TestShouldMove_OnlyForWhatASlowRunWouldLose(t *testing.T) {
	must.True(t, ShouldMove(60, 130*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(2, 130*time.Millisecond, 40*time.Millisecond))
	must.False(t, ShouldMove(60, 50*time.Millisecond, 40*time.Millisecond))
}

func TestUrgency_RisesAsTheDueTimeComes(t *testing.T) {
	must.Greater(t, Urgency(180, 7500*time.Millisecond, 0), Urgency(20, 7500*time.Millisecond, 0))
	must.Greater(t, Urgency(20, 7500*time.Millisecond, 0), Urgency(20, 7500*time.Millisecond, 3))
}

// BenchmarkPlace10000 keeps the choice of an engine within two microseconds for
// each hundred engines and free of allocations.
func BenchmarkPlace10000(b *testing.B) {
	servers := fleet(10000)
	engines := make([]Engine, len(servers))
	for i, server := range servers {
		engines[i] = Engine{Server: server, Version: structs.WeightVersion(i % 7), Own: i % 9}
	}
	b.ReportAllocs()
	for b.Loop() {
		Place(engines, 5, 40, nil)
	}
}
