package route

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// fixedLoads are loads that a test sets.
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

var home = structs.Place{Zone: "ashanti-a", Region: "ashanti"}

func fleet(place structs.Place, count int) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{Name: structs.HostName(fmt.Sprintf("%s-%d", place.Zone, i)), Place: place, Share: FullShare}
	}
	return servers
}

func tableOf(servers []Server) (*Table, *fixedLoads) {
	table := NewTable(home, servers, Prices{Default: 1})
	return table, &fixedLoads{table: table, load: make([]int, len(servers)), limit: 100}
}

func TestPick_AffinityKeepsToItsServerUntilTheBound(t *testing.T) {
	table, loads := tableOf(fleet(home, 20))
	request := &Request{Affinity: 77, Random: 1}
	first, ok := table.Pick(request, loads)
	must.True(t, ok)
	must.True(t, first.AffinityHit)
	request.Random = 2
	again, _ := table.Pick(request, loads)
	must.Eq(t, first, again)
	loads.load[first.Server] = 10
	moved, ok := table.Pick(request, loads)
	must.True(t, ok)
	must.NotEq(t, first.Server, moved.Server)
}

func TestPick_AffinityMovesFewKeysWhenAServerLeaves(t *testing.T) {
	servers := fleet(home, 50)
	before, loads := tableOf(servers)
	after, _ := tableOf(servers[:49])
	moved := 0
	for key := range uint64(5000) {
		old, _ := before.Pick(&Request{Affinity: mix(key), Random: key}, loads)
		now, _ := after.Pick(&Request{Affinity: mix(key), Random: key}, loads)
		if old.Server != 49 && old.Server != now.Server {
			moved++
		}
	}
	must.Zero(t, moved)
}

func TestPick_NearTiersFirstAndPricedRegionsInOrder(t *testing.T) {
	sameRegion := structs.Place{Zone: "ashanti-b", Region: "ashanti"}
	dear := structs.Place{Zone: "northern-a", Region: "northern"}
	cheap := structs.Place{Zone: "volta-a", Region: "volta"}
	servers := append(append(append(fleet(dear, 2), fleet(cheap, 2)...), fleet(sameRegion, 2)...), fleet(home, 2)...)
	prices := Prices{Default: 5, PerGiB: map[Link]float64{{From: "volta", To: "ashanti"}: 2}}
	table := NewTable(home, servers, prices)
	loads := &fixedLoads{table: table, load: make([]int, len(servers)), limit: 1}
	for _, want := range []structs.ZoneName{home.Zone, home.Zone, sameRegion.Zone, sameRegion.Zone, cheap.Zone, cheap.Zone, dear.Zone} {
		choice, ok := table.Pick(&Request{Random: 9}, loads)
		must.True(t, ok)
		must.Eq(t, want, table.servers[choice.Server].Place.Zone)
		loads.load[choice.Server]++
	}
	must.Eq(t, 2.0, table.tiers[2].Cost(bytesPerGiB))
}

func TestPick_RolloutsStayInTheRegionWhileItHasServers(t *testing.T) {
	far := structs.Place{Zone: "volta-a", Region: "volta"}
	servers := append(fleet(home, 2), fleet(far, 2)...)
	table, loads := tableOf(servers)
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
	servers := fleet(home, 300)
	for i := range servers {
		servers[i].Version = 6
	}
	servers[299].Version = 7
	table, loads := tableOf(servers)
	for random := range uint64(100) {
		choice, ok := table.Pick(&Request{MinVersion: 7, Random: mix(random)}, loads)
		must.True(t, ok)
		must.Eq(t, 299, choice.Server)
	}
	_, ok := table.Pick(&Request{MinVersion: 8}, loads)
	must.False(t, ok)
	_, ok = table.Pick(&Request{MinVersion: 7, Avoid: []structs.HostName{servers[299].Name}}, loads)
	must.False(t, ok)

	pair := fleet(home, 2)
	pair[0].Share = 100
	table, loads = tableOf(pair)
	count := 0
	for random := range uint64(10000) {
		if choice, _ := table.Pick(&Request{Random: mix(random)}, loads); choice.Server == 0 {
			count++
		}
	}
	must.Between(t, 100, count, 1500)
}

func BenchmarkPick(b *testing.B) {
	elsewhere := structs.Place{Zone: "volta-a", Region: "volta"}
	for _, class := range []struct {
		name     string
		affinity bool
	}{{"affinity", true}, {"two-choices", false}} {
		b.Run(class.name, func(b *testing.B) {
			table, loads := tableOf(append(fleet(home, 8000), fleet(elsewhere, 2000)...))
			fast := &constantMean{fixedLoads: loads}
			for i := range loads.load {
				loads.load[i] = int(mix(uint64(i)) % 8)
			}
			request := &Request{}
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				request.Random = i
				if class.affinity {
					request.Affinity = mix(i%5000) | 1
				}
				table.Pick(request, fast)
			}
		})
	}
}

// constantMean spares a benchmark the sum that the daemon keeps up to date.
type constantMean struct{ *fixedLoads }

func (c *constantMean) Mean(int) float64 { return 3.5 }

func BenchmarkNewTable(b *testing.B) {
	servers := append(fleet(home, 8000), fleet(structs.Place{Zone: "volta-a", Region: "volta"}, 2000)...)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(home, servers, Prices{})
	}
}

func BenchmarkBaselines(b *testing.B) {
	table, loads := tableOf(fleet(home, 10000))
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
