package balance

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// TestForecastPick_ChangesNothing asks where requests would go while a service fills up.
// Each answer must be what Pick then does, and neither tickets nor counters may change.
func TestForecastPick_ChangesNothing(t *testing.T) {
	f := newFakeServices(makeServers(2))
	s := startBalancer(t, f, "entry-1", probeTCP)
	request := contract.PickRequest{Service: "portal", Workspace: "north", ByDemand: true, Class: structs.ClassLookup}
	admission := s.snapshot.Load().services["portal"].admission
	waitFor(t, func() bool { return admission.report(time.Now()).Places == 2*limit.InitialLimit })
	taken := map[structs.HostName]int{}
	for range 2 * limit.InitialLimit {
		forecast, err := s.ForecastPick(request)
		must.NoError(t, err)
		must.Zero(t, forecast.Admission.Queue)
		must.Eq(t, len(taken) > 0, forecast.Admission.Running > 0)
		ticket := pick(t, s, request)
		taken[ticket.Server.Name]++
		chances := 0.0
		for _, candidate := range forecast.Candidates {
			chances += candidate.Judged["chance"]
			if candidate.PassedOver != "" {
				must.NotEq(t, candidate.Server.Name, ticket.Server.Name)
			}
		}
		must.Eq(t, 1.0, chances)
	}
	before := maps.Clone(f.counts)
	forecast, err := s.ForecastPick(request)
	must.NoError(t, err)
	must.Eq(t, 1, forecast.Admission.Queue)
	late := request
	late.Deadline = time.Now().Add(-time.Second)
	_, err = s.ForecastPick(late)
	must.Eq(t, result.DueTimePassed, result.CodeOf(err))
	_, err = s.ForecastPick(contract.PickRequest{Service: "nobody"})
	must.Eq(t, result.NoBackend, result.CodeOf(err))
	must.Eq(t, before, f.counts)
	must.Eq(t, 2*limit.InitialLimit, admission.controller.Running())
}

// TestForecastPick_Quarantined asks for a request that has crashed servers.
func TestForecastPick_Quarantined(t *testing.T) {
	s := startBalancer(t, newFakeServices(makeServers(2)), "entry-1", probeTCP)
	must.NoError(t, s.control.notices.Post(Notice{Sent: time.Now(), Quarantined: []quarantine.Fingerprint{7}}))
	awaitSnapshot(t, s, func(current *snapshot) bool { return current.quarantine.Quarantined[7] })
	forecast, err := s.ForecastPick(contract.PickRequest{Service: "portal", Fingerprint: 7})
	must.Eq(t, result.Quarantined, result.CodeOf(err))
	must.Eq(t, 1, forecast.Quarantine.Quarantined)
}
