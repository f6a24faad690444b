package balance

import (
	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/route"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.BalanceForecaster = (*service)(nil)

// ForecastPick implements contract.BalanceForecaster.
func (s *service) ForecastPick(request contract.PickRequest) (contract.PickForecast, error) {
	unconfirmed, _ := s.unconfirmed.count(request.Fingerprint)
	current := s.snapshot.Load()
	isSuspect := current.quarantine.Suspects[request.Fingerprint]
	forecast := contract.PickForecast{Quarantine: &contract.QuarantineForecast{
		IsSuspect: isSuspect, Unconfirmed: unconfirmed,
		Quarantined: len(current.quarantine.Quarantined), Suspects: len(current.quarantine.Suspects),
	}}
	if current.quarantine.Quarantined[request.Fingerprint] {
		return forecast, result.New(result.Quarantined, "")
	}
	target := current.services[request.Service]
	if target == nil {
		return forecast, result.New(result.NoBackend, "service %s", request.Service)
	}
	admission := target.admission.forecast(s, request)
	forecast.Admission = &contract.AdmissionStatus{
		Running: admission.Running, Places: admission.Places, Queue: admission.Place, WaitSeconds: admission.Wait.Seconds(), Due: admission.Due,
	}
	forecast.Candidates = assess(target, request, isSuspect)
	if admission.Action == limit.ActionRefuse {
		return forecast, &result.Error{Code: admission.Code, RetryAfter: admission.RetryAfter}
	}
	if len(forecast.Candidates) == 0 || forecast.Candidates[0].PassedOver != "" {
		return forecast, result.New(result.NoBackend, "service %s", request.Service)
	}
	return forecast, nil
}

func (q *admissionQueue) forecast(s *service, request contract.PickRequest) limit.Forecast {
	admission := s.admissionRequest(request)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Forecast(s.clock.Now(), admission)
}

// assess returns how the servers of a service are judged for a request. Only those that are
// shown have values.
func assess(target *serviceView, request contract.PickRequest, isSuspect bool) []contract.PickCandidate {
	routeRequest, loads := routeRequestOf(request), target.loadsFor(isSuspect)
	assessed := target.table.Assess(routeRequest, loads)
	candidates := make([]contract.PickCandidate, len(assessed))
	for i, a := range assessed {
		candidates[i] = contract.PickCandidate{Server: target.servers[a.Server], PassedOver: a.Objection.String()}
		if i >= contract.MaxShownCandidates {
			continue
		}
		counters := target.counters[a.Server]
		candidates[i].Judged = map[string]float64{
			"chance": a.Chance, "load": float64(a.Load), "distance": float64(a.Tier),
			"in_flight": float64(counters.inFlight.Load()), "limit": float64(counters.limit.Load()),
			"share": float64(target.table.Servers()[a.Server].Share) / route.FullShare,
		}
	}
	return candidates
}
