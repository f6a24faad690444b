package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// forecasters are the forecasts of the services that a request goes through.
type forecasters struct {
	balancer contract.BalanceForecaster
	limits   contract.LimitForecaster
	hedging  contract.HedgeForecaster
}

var _ contract.DispatchForecaster = (*service)(nil)

// ForecastForward implements contract.DispatchForecaster. It runs the choice of a server as
// Forward does, with forecasts in place of the services that count.
func (s *service) ForecastForward(ctx context.Context, request contract.ForwardRequest, explanation *contract.RouteExplanation) error {
	explanation.Targets = targetsOf(request.Route)
	target, ok := mainTarget(explanation.Targets)
	if !ok {
		return result.New(result.NoBackend, "route %s has no service", request.Route.Name)
	}
	explanation.Service = target
	if len(explanation.Targets) > 1 {
		explanation.Notes = append(explanation.Notes, "requests are divided among the targets by their shares; this answer is for the largest")
	}
	preview := &preview{forecasts: s.forecasts, limited: make(map[structs.HostName]string)}
	// A choice of a server needs no other services than these.
	shadow := &service{balancer: preview, limits: preview, hedging: s.hedging, place: s.place}
	call := &forwardCall{service: shadow, request: request, pick: pickRequest(request, target, resume.Position{})}
	ticket, refusal, err := call.pickPatiently(ctx, limitPatience(request.Route))
	preview.explain(explanation)
	switch {
	case refusal != nil:
		explanation.Notes = append(explanation.Notes, "the time of a server's own limit is spread over callers: up to twice as long")
		return refusal
	case err != nil:
		return err
	}
	explanation.Chosen = ticket.Server.Name
	explanation.Hedge = call.forecastHedge(s.forecasts.hedging, ticket)
	return nil
}

// targetsOf returns the services of a route with their shares.
func targetsOf(route *catalog.Route) []contract.RouteTarget {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	var targets []contract.RouteTarget
	for _, target := range route.Targets {
		if target.Weight > 0 {
			targets = append(targets, contract.RouteTarget{Service: target.Service, Share: float64(target.Weight) / float64(total)})
		}
	}
	return targets
}

// mainTarget returns the service with the largest share.
func mainTarget(targets []contract.RouteTarget) (structs.ServiceName, bool) {
	var main contract.RouteTarget
	for _, target := range targets {
		if target.Share > main.Share {
			main = target
		}
	}
	return main.Service, main.Share > 0
}

// forecastHedge returns whether the request would be hedged if it became slow.
func (c *forwardCall) forecastHedge(hedging contract.HedgeForecaster, ticket contract.Ticket) *contract.HedgeForecast {
	c.sentCount = 1
	c.hedges.delay = c.defaultHedgeDelay()
	forecast := contract.HedgeForecast{AfterSeconds: c.hedges.delay.Seconds()}
	if c.service.hedging.IsLimited() {
		forecast = hedging.ForecastHedge(c.hedgeRequest(ticket.Server.Place), c.hedges.delay)
		c.hedges.delay = time.Duration(forecast.AfterSeconds * float64(time.Second))
	}
	if refusal := hedge.Check(c.hedgeQuestion(time.Until(c.request.Deadline) - c.hedges.delay)); refusal != hedge.Allowed {
		forecast.Refusal, forecast.AsksPool = string(refusal), false
	}
	return &forecast
}

// preview stands in for the balancer and the limits of servers. It gives no tickets that
// count, and takes nothing from limits.
type preview struct {
	contract.ServerLimits
	forecasts forecasters
	// first and last are the first and the last forecast, and limited says why servers
	// that were chosen in between do not take the request.
	first, last *contract.PickForecast
	limited     map[structs.HostName]string
}

// Pick implements contract.Balancer.
func (p *preview) Pick(_ context.Context, request contract.PickRequest) (contract.Ticket, error) {
	forecast, err := p.forecasts.balancer.ForecastPick(request)
	if p.first == nil {
		p.first = &forecast
	}
	p.last = &forecast
	if err != nil {
		return contract.Ticket{}, err
	}
	return contract.Ticket{Server: forecast.Candidates[0].Server, Finish: func(contract.TicketOutcome) {}}, nil
}

// Acquire implements contract.ServerLimits, as far as this daemon knows the limits.
func (p *preview) Acquire(_ context.Context, server structs.HostName, patience time.Duration) error {
	limit, wait, isLimited := p.forecasts.limits.LimitOf(server)
	if !isLimited || wait <= patience {
		delete(p.limited, server)
		return nil
	}
	p.limited[server] = fmt.Sprintf("names a limit of %.1f requests a second, takes the next in %.2f s", limit, wait.Seconds())
	refusal := result.New(result.Overloaded, "server %s takes %.1f requests a second", server, limit)
	refusal.RetryAfter = wait
	return refusal
}

// explain adds what the forecasts have shown.
func (p *preview) explain(explanation *contract.RouteExplanation) {
	if p.last == nil {
		return
	}
	explanation.Admission, explanation.Quarantine = p.first.Admission, p.first.Quarantine
	for _, candidate := range p.last.Candidates {
		why := candidate.PassedOver
		if limited := p.limited[candidate.Server.Name]; limited != "" {
			why = limited
		}
		if len(explanation.Candidates) == contract.MaxShownCandidates {
			explanation.Omitted++
			continue
		}
		explanation.Candidates = append(explanation.Candidates, contract.CandidateAssessment{
			Server: candidate.Server.Name, Zone: candidate.Server.Place.Zone, PassedOver: why, Judged: candidate.Judged,
		})
	}
}
