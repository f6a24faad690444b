package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// fakeForecasts chooses the first server that was not tried.
type fakeForecasts struct {
	servers []structs.HostName
	// waits holds the time until limited servers take a request.
	waits map[structs.HostName]time.Duration
	hedge contract.HedgeForecast
}

func (f *fakeForecasts) ForecastPick(request contract.PickRequest) (contract.PickForecast, error) {
	forecast := contract.PickForecast{Admission: &contract.AdmissionStatus{Places: 9}}
	var tried []contract.PickCandidate
	for _, name := range f.servers {
		candidate := contract.PickCandidate{Server: structs.BackendServer{Name: name}}
		isTried := false
		for _, avoided := range request.Avoid {
			isTried = isTried || avoided == name
		}
		if isTried {
			candidate.PassedOver = "was tried already"
			tried = append(tried, candidate)
		} else {
			forecast.Candidates = append(forecast.Candidates, candidate)
		}
	}
	isEmpty := len(forecast.Candidates) == 0
	forecast.Candidates = append(forecast.Candidates, tried...)
	if isEmpty {
		return forecast, result.New(result.NoBackend, "none")
	}
	return forecast, nil
}

func (f *fakeForecasts) LimitOf(server structs.HostName) (float64, time.Duration, bool) {
	wait, isLimited := f.waits[server]
	return 2, wait, isLimited
}

func (f *fakeForecasts) ForecastHedge(contract.HedgeRequest, time.Duration) contract.HedgeForecast {
	return f.hedge
}

// TestForecastForward_LimitedServers passes over servers that name limits, and is refused by
// the one that takes a request first when all do. No other service is used.
func TestForecastForward_LimitedServers(t *testing.T) {
	f := &fakeForecasts{
		servers: []structs.HostName{"first", "second", "third"}, waits: map[structs.HostName]time.Duration{"first": 2 * time.Second, "second": 0},
		hedge: contract.HedgeForecast{AfterSeconds: 0.03, Limit: 0.05},
	}
	s := &service{hedging: &fakeServices{}, forecasts: forecasters{balancer: f, limits: f, hedging: f}}
	request := contract.ForwardRequest{
		Route:  &catalog.Route{Kind: catalog.KindIdempotent, MaxAttempts: 2, LatencyTarget: 400 * time.Millisecond, Targets: []catalog.Target{{Service: "small", Weight: 1}, {Service: "judge", Weight: 3}}},
		Method: "GET", Target: "/", Deadline: time.Now().Add(time.Minute),
	}
	var explanation contract.RouteExplanation
	must.NoError(t, s.ForecastForward(t.Context(), request, &explanation))
	must.Eq(t, "judge", string(explanation.Service))
	must.Eq(t, "second", string(explanation.Chosen))
	must.Eq(t, "", explanation.Candidates[0].PassedOver)
	must.StrContains(t, explanation.Candidates[2].PassedOver, "names a limit of 2.0 requests a second")
	must.Eq(t, f.hedge, *explanation.Hedge)

	for name, change := range map[hedge.Refusal]func(*contract.ForwardRequest){
		hedge.RefusedByKind:     func(r *contract.ForwardRequest) { r.Route.Kind = catalog.KindNonIdempotent },
		hedge.RefusedByAttempts: func(r *contract.ForwardRequest) { r.Route.MaxAttempts = 1 },
		hedge.RefusedByDeadline: func(r *contract.ForwardRequest) { r.Deadline = time.Now().Add(20 * time.Millisecond) },
	} {
		changed, route := request, *request.Route
		changed.Route = &route
		change(&changed)
		explanation = contract.RouteExplanation{}
		must.NoError(t, s.ForecastForward(t.Context(), changed, &explanation))
		must.Eq(t, string(name), explanation.Hedge.Refusal)
	}

	f.waits = map[structs.HostName]time.Duration{"first": 2 * time.Second, "second": time.Second, "third": 3 * time.Second}
	explanation = contract.RouteExplanation{}
	err := s.ForecastForward(t.Context(), request, &explanation)
	must.Eq(t, result.Overloaded, result.CodeOf(err))
	must.Eq(t, time.Second, err.(*result.Error).RetryAfter)
	must.Eq(t, "", string(explanation.Chosen))
	must.Len(t, 3, explanation.Candidates)
}
