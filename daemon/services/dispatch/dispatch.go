// Package dispatch is the service "traffic.dispatch": it forwards callers'
// requests, and the calls that judge samples, to the servers of a route.
package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameDispatch, func() kernel.Service { return &service{} })
}

const (
	// hedgeFraction is the part of the latency target after which an idempotent
	// request without an answer is hedged.
	hedgeFraction = 0.4
	// minHedgeDelay is the shortest delay before a hedged request.
	minHedgeDelay = 60 * time.Millisecond
)

type service struct {
	kernel.Base
	balancer contract.Balancer
	hosts    contract.Hosts
	links    contract.ServerLinks
	limits   contract.ServerLimits
	retries  contract.RetryBudgets
	origins  contract.StreamOrigins
	usage    contract.Usage
	hedging  contract.Hedging
	// forecasts are the forecasts of the services above, for operators.
	forecasts forecasters
	// place is where this daemon is.
	place   structs.Place
	metrics contract.Metrics
	log     *logrus.Entry
	spoilt  spoiltServers
}

var _ contract.Dispatch = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.log, s.place = ctx.Log(), daemon.Place
	return kernel.FindAll(ctx,
		kernel.Bind(&s.forecasts.balancer, contract.NameBalance),
		kernel.Bind(&s.forecasts.limits, contract.NameServerLimits),
		kernel.Bind(&s.forecasts.hedging, contract.NameHedging),
		kernel.Bind(&s.balancer, contract.NameBalance),
		kernel.Bind(&s.hosts, contract.NameHosts),
		kernel.Bind(&s.links, contract.NameServerLinks),
		kernel.Bind(&s.limits, contract.NameServerLimits),
		kernel.Bind(&s.retries, contract.NameRetries),
		kernel.Bind(&s.origins, contract.NameStreamOrigins),
		kernel.Bind(&s.usage, contract.NameUsage),
		kernel.Bind(&s.hedging, contract.NameHedging),
		kernel.Bind(&s.metrics, contract.NameMetrics),
	)
}

// classOf returns the class of a route's requests, from the route's priority.
func classOf(route *catalog.Route) structs.Class {
	return structs.Class(min(max(0, route.Priority), structs.ClassCount-1))
}

// pickRequest returns the request for a server of a service.
func pickRequest(request contract.ForwardRequest, target structs.ServiceName, position resume.Position) contract.PickRequest {
	pick := contract.PickRequest{
		Service: target, Class: classOf(request.Route), Deadline: request.Deadline, Resumes: position,
	}
	if !request.IsAccepted {
		pick.Fingerprint = quarantine.FingerprintOfRequest(request.Method, request.Host, request.Target, request.Body)
	}
	chargeWorkspace(request, &pick)
	return pick
}

// Forward implements contract.Dispatch.
func (s *service) Forward(ctx context.Context, request contract.ForwardRequest) (contract.ForwardReply, error) {
	started := time.Now()
	position, err := s.resumePosition(ctx, request)
	if err != nil {
		return contract.ForwardReply{}, err
	}
	target, err := pickService(request.Route, position)
	if err != nil {
		return contract.ForwardReply{}, err
	}
	pick := pickRequest(request, target, position)
	retry := contract.RetryRequest{
		Workspace: pick.Workspace, Class: pick.Class, Deadline: request.Deadline, Idempotent: request.Route.Kind == catalog.KindIdempotent,
	}
	call := &forwardCall{service: s, request: request, pick: pick, retrier: s.retries.Begin(retry)}
	reply, err := call.run(ctx)
	s.metrics.Time("dispatch.forwarded", time.Since(started))
	if position.Last > 0 {
		s.recordTakeUp(request, position, reply, err)
	}
	return reply, err
}
