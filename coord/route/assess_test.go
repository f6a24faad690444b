package route

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestAssess_ReasonsAndChances gives each server another reason to be passed over.
func TestAssess_ReasonsAndChances(t *testing.T) {
	farPlace := structs.Place{Zone: "volta-a", Region: "volta"}
	servers := append(newServers(homePlace, 7), newServers(farPlace, 1)...)
	for i := range servers {
		servers[i].Version = 7
		servers[i].Origin = resume.Origin{Service: "judge", Software: "s1"}
	}
	servers[1].Version = 6
	servers[2].Origin.Software = "s2"
	servers[3].Share = 0
	table, loads := newTestTable(servers)
	loads.limit = 10
	loads.load[4] = 10
	loads.load[6] = 9
	request := Request{
		MinVersion: 7, Avoid: []structs.HostName{servers[5].Name},
		Resumes: resume.Position{Last: 1, Origin: resume.Origin{Service: "judge", Software: "s1"}},
	}
	objections := make(map[int]Objection)
	for _, assessment := range table.Assess(request, loads) {
		objections[assessment.Server] = assessment.Objection
		if assessment.Server != 0 && assessment.Server != 6 {
			must.Zero(t, assessment.Chance)
		}
	}
	want := map[int]Objection{0: NoObjection, 1: OldWeights, 2: OtherSoftware, 3: Ejected, 4: AtLimit, 5: AlreadyTried, 6: NoObjection, 7: Farther}
	must.Eq(t, want, objections)
	must.Eq(t, NoObjection, table.Assess(request, loads)[0].Objection)

	pair, loads := newTestTable(newServers(homePlace, 2))
	loads.load[1] = 50
	assessed := pair.Assess(Request{}, loads)
	must.Eq(t, 0, assessed[0].Server)
	count := 0
	for random := range uint64(10000) {
		if choice, _ := pair.Pick(&Request{Random: mix(random + 1000000)}, loads); choice.Server == 0 {
			count++
		}
	}
	must.Between(t, assessed[0].Chance-0.1, float64(count)/10000, assessed[0].Chance+0.1)
}

func BenchmarkAssess(b *testing.B) {
	table, loads := newTestTable(newServers(homePlace, 10000))
	benchmarkLoads := &constantMean{fixedLoads: loads}
	for b.Loop() {
		table.Assess(Request{}, benchmarkLoads)
	}
}
