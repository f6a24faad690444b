package route

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// fixedLoads implements Loads with values set by the test.
type fixedLoads struct {
	table *Table
	load  []int
	limit int
}

func (f *fixedLoads) Load(server int) int  { return f.load[server] }
func (f *fixedLoads) Full(server int) bool { return f.load[server] >= f.limit }
func (f *fixedLoads) Mean(tier int) float64 {
	sum := 0
	for _, member := range f.table.tiers[tier].Members {
		sum += f.load[member]
	}
	return float64(sum) / float64(len(f.table.tiers[tier].Members))
}

var homePlace = structs.Place{Zone: "ashanti-a", Region: "ashanti"}

func newServers(place structs.Place, count int) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{Name: structs.HostName(fmt.Sprintf("%s-%d", place.Zone, i)), Place: place, Share: FullShare}
	}
	return servers
}

func newTestTable(servers []Server) (*Table, *fixedLoads) {
	table := NewTable(homePlace, servers, Prices{Default: 1})
	return table, &fixedLoads{table: table, load: make([]int, len(servers)), limit: 100}
}

func TestPick_AffinityLoadBound(t *testing.T) {
	table, loads := newTestTable(newServers(homePlace, 20))
	request := &Request{Affinity: 77, Random: 1}
	first, ok := table.Pick(request, loads)
	must.True(t, ok)
	must.True(t, first.AffinityHit)
	request.Random = 2
	second, _ := table.Pick(request, loads)
	must.Eq(t, first, second)
	loads.load[first.Server] = 10
	moved, ok := table.Pick(request, loads)
	must.True(t, ok)
	must.NotEq(t, first.Server, moved.Server)
}

func TestPick_AffinityServerRemoved(t *testing.T) {
	servers := newServers(homePlace, 50)
	before, loads := newTestTable(servers)
	after, _ := newTestTable(servers[:49])
	moved := 0
	for key := range uint64(5000) {
		oldChoice, _ := before.Pick(&Request{Affinity: mix(key), Random: key}, loads)
		newChoice, _ := after.Pick(&Request{Affinity: mix(key), Random: key}, loads)
		if oldChoice.Server != 49 && oldChoice.Server != newChoice.Server {
			moved++
		}
	}
	must.Zero(t, moved)
}

func TestPick_TierOrder(t *testing.T) {
	sameRegion := structs.Place{Zone: "ashanti-b", Region: "ashanti"}
	expensive := structs.Place{Zone: "northern-a", Region: "northern"}
	cheap := structs.Place{Zone: "volta-a", Region: "volta"}
	servers := append(append(append(newServers(expensive, 2), newServers(cheap, 2)...), newServers(sameRegion, 2)...), newServers(homePlace, 2)...)
	prices := Prices{Default: 5, PerGiB: map[Link]float64{{From: "volta", To: "ashanti"}: 2}}
	table := NewTable(homePlace, servers, prices)
	loads := &fixedLoads{table: table, load: make([]int, len(servers)), limit: 1}
	for _, want := range []structs.ZoneName{homePlace.Zone, homePlace.Zone, sameRegion.Zone, sameRegion.Zone, cheap.Zone, cheap.Zone, expensive.Zone} {
		choice, ok := table.Pick(&Request{Random: 9}, loads)
		must.True(t, ok)
		must.Eq(t, want, table.servers[choice.Server].Place.Zone)
		loads.load[choice.Server]++
	}
	must.Eq(t, 2.0, table.tiers[2].Cost(bytesPerGiB))
}

// TestPick_FreeSlots plays a burst of requests in a zone whose servers run three at once each.
// The ones that would wait go to the next zone; when all slots of the region are taken, they
// wait in their zone rather than go to another region.
func TestPick_FreeSlots(t *testing.T) {
	sameRegion := structs.Place{Zone: "ashanti-b", Region: "ashanti"}
	otherRegion := structs.Place{Zone: "volta-a", Region: "volta"}
	servers := append(append(newServers(homePlace, 2), newServers(sameRegion, 2)...), newServers(otherRegion, 2)...)
	for i := range servers {
		servers[i].Slots = 3
	}
	table, loads := newTestTable(servers)
	zones := map[structs.ZoneName]int{}
	for random := range uint64(16) {
		choice, ok := table.Pick(&Request{Random: mix(random)}, loads)
		must.True(t, ok)
		must.True(t, loads.load[choice.Server] < 3 || choice.Tier == 0)
		loads.load[choice.Server]++
		zones[table.servers[choice.Server].Place.Zone]++
	}
	must.Eq(t, map[structs.ZoneName]int{homePlace.Zone: 10, sameRegion.Zone: 6}, zones)
	affine, ok := table.Pick(&Request{Affinity: 77}, loads)
	must.True(t, ok)
	must.Eq(t, 0, affine.Tier)
}

func TestPick_RolloutRegion(t *testing.T) {
	otherRegion := structs.Place{Zone: "volta-a", Region: "volta"}
	servers := append(newServers(homePlace, 2), newServers(otherRegion, 2)...)
	table, loads := newTestTable(servers)
	loads.limit = 0
	choice, ok := table.Pick(&Request{Class: structs.ClassRollout}, loads)
	must.True(t, ok)
	must.Eq(t, 0, choice.Tier)
	servers[0].Share, servers[1].Share = 0, 0
	choice, ok = table.Pick(&Request{Class: structs.ClassRollout}, loads)
	must.True(t, ok)
	must.Eq(t, 1, choice.Tier)
}

func TestPick_VersionShareAndAvoid(t *testing.T) {
	servers := newServers(homePlace, 300)
	for i := range servers {
		servers[i].Version = 6
	}
	servers[299].Version = 7
	table, loads := newTestTable(servers)
	for random := range uint64(100) {
		choice, ok := table.Pick(&Request{MinVersion: 7, Random: mix(random)}, loads)
		must.True(t, ok)
		must.Eq(t, 299, choice.Server)
	}
	_, ok := table.Pick(&Request{MinVersion: 8}, loads)
	must.False(t, ok)
	_, ok = table.Pick(&Request{MinVersion: 7, Avoid: []structs.HostName{servers[299].Name}}, loads)
	must.False(t, ok)

	pair := newServers(homePlace, 2)
	pair[0].Share = 100
	table, loads = newTestTable(pair)
	count := 0
	for random := range uint64(10000) {
		if choice, _ := table.Pick(&Request{Random: mix(random)}, loads); choice.Server == 0 {
			count++
		}
	}
	must.Between(t, 100, count, 1500)
}

func BenchmarkPick(b *testing.B) {
	otherRegion := structs.Place{Zone: "volta-a", Region: "volta"}
	for _, test := range []struct {
		name     string
		affinity bool
	}{{"affinity", true}, {"two-choices", false}} {
		b.Run(test.name, func(b *testing.B) {
			table, loads := newTestTable(append(newServers(homePlace, 8000), newServers(otherRegion, 2000)...))
			benchmarkLoads := &constantMean{fixedLoads: loads}
			for i := range loads.load {
				loads.load[i] = int(mix(uint64(i)) % 8)
			}
			request := &Request{}
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				request.Random = i
				if test.affinity {
					request.Affinity = mix(i%5000) | 1
				}
				table.Pick(request, benchmarkLoads)
			}
		})
	}
}

// constantMean replaces the sum of fixedLoads.Mean by a constant. The daemon
// updates its mean incrementally, so a benchmark must not include the sum.
type constantMean struct{ *fixedLoads }

func (c *constantMean) Mean(int) float64 { return 3.5 }

func BenchmarkNewTable(b *testing.B) {
	servers := append(newServers(homePlace, 8000), newServers(structs.Place{Zone: "volta-a", Region: "volta"}, 2000)...)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(homePlace, servers, Prices{})
	}
}

func BenchmarkBaselines(b *testing.B) {
	table, loads := newTestTable(newServers(homePlace, 10000))
	b.Run("two-choices", func(b *testing.B) {
		for i := uint64(0); b.Loop(); i++ {
			table.PickTwoChoices(i, loads)
		}
	})
	b.Run("round-robin", func(b *testing.B) {
		for i := uint64(0); b.Loop(); i++ {
			table.PickRoundRobin(i)
		}
	})
}
