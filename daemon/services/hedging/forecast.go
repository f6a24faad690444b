package hedging

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.HedgeForecaster = (*service)(nil)

// ForecastHedge implements contract.HedgeForecaster. Pools are not asked: counts move with
// each question.
func (s *service) ForecastHedge(request contract.HedgeRequest, fallback time.Duration) contract.HedgeForecast {
	now, delay := s.clock.Now(), fallback
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, isKnown := s.delays.Forecast(request.Key); isKnown {
		delay = known
	} else if pooled, isPooled := s.pooledDelay(now, request.Key); isPooled {
		delay = pooled
	}
	refusal, total := s.own.Forecast(now, request.Key.Service, request.Workspace, request.Key.IsAccepted)
	forecast := contract.HedgeForecast{
		AfterSeconds: delay.Seconds(), Refusal: string(refusal), Limit: s.share, Requests: total.Requests, Hedges: total.Hedges,
	}
	if refusal != hedge.Allowed {
		self := s.session.View().Load().Self.Name
		for _, pool := range s.pools() {
			forecast.AsksPool = forecast.AsksPool || pool.Name != self
		}
	}
	return forecast
}
