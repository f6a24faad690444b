// Package plain is the service "traffic.plain". It serves lookups on plain services.
// Lookups are idempotent: a failed one is retried on another server, and a slow one
// is hedged, that is, also sent to a second server. Both are limited by the retry
// budget and the deadline.
package plain

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

func init() {
	kernel.Register(contract.NameLookups, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	clients  contract.Clients
	settings contract.Settings
	balancer contract.Balancer
	retries  contract.RetryBudgets
	metrics  contract.Metrics
	clock    clockwork.Clock
}

var _ contract.Lookups = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.clients, contract.NameClients),
		kernel.Bind(&s.settings, contract.NameSettings),
		kernel.Bind(&s.balancer, contract.NameBalance),
		kernel.Bind(&s.retries, contract.NameRetries),
	)
	if err != nil {
		return err
	}
	s.metrics, err = kernel.Find[contract.Metrics](ctx, contract.NameMetrics)
	s.clock = ctx.Clock()
	return err
}

// Lookup implements contract.Lookups.
func (s *service) Lookup(ctx context.Context, request contract.LookupRequest) (outside.ServiceResponse, error) {
	parameters, err := s.settings.LastKnownParameters(request.Workspace)
	if err != nil {
		return outside.ServiceResponse{}, err
	}
	timeout := parameters.Timeouts[request.Class]
	deadline := s.clock.Now().Add(timeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := s.lookupWithRetries(ctx, contract.PickRequest{
		Service:     parameters.Service,
		Workspace:   request.Workspace,
		Class:       request.Class,
		Deadline:    deadline,
		Fingerprint: quarantine.FingerprintOf(string(parameters.Service), http.MethodGet, request.Path),
	}, request.Path)
	good := err == nil && response.Status < http.StatusInternalServerError && !s.clock.Now().After(deadline)
	s.metrics.RecordRequest(request.Workspace, request.Class, good)
	return response, err
}

// lookupWithRetries repeats a lookup until it succeeds or the retrier allows no more
// retries.
func (s *service) lookupWithRetries(ctx context.Context, pick contract.PickRequest, path string) (outside.ServiceResponse, error) {
	retrier := s.retries.Begin(contract.RetryRequest{
		Workspace: pick.Workspace, Class: pick.Class, Deadline: pick.Deadline, Idempotent: true,
	})
	for {
		response, err := s.lookupWithHedge(ctx, &pick, path, retrier)
		if err == nil {
			return response, nil
		}
		if err = retrier.AwaitRetry(ctx, err); err != nil {
			return outside.ServiceResponse{}, err
		}
	}
}

// attempt is the response or the failure of one server. The server is empty if the
// balancer assigned none.
type attempt struct {
	response outside.ServiceResponse
	server   structs.HostName
	err      error
	// isHedge is set for the request to the second server.
	isHedge bool
}

// lookupOn sends a lookup to the server of a ticket and reports the outcome to the
// balancer.
func (s *service) lookupOn(ctx context.Context, ticket contract.Ticket, path string) attempt {
	started := s.clock.Now()
	request := outside.ServiceRequest{Method: http.MethodGet, Path: path}
	response, err := s.clients.Platform().Plain.Do(ctx, ticket.Server.Address, request)
	if err == nil && response.Status == http.StatusServiceUnavailable {
		err = result.New(result.BackendRefused, "%s", ticket.Server.Name)
	}
	err = overtakenError(ctx, err)
	ticket.Finish(contract.TicketOutcome{
		Err:     err,
		Latency: s.clock.Since(started),
		Bytes:   int64(len(path) + len(response.Body)),
	})
	return attempt{response: response, server: ticket.Server.Name, err: err}
}

// hedgeDelayDivisor sets the hedge delay: the time to the deadline divided by it.
const hedgeDelayDivisor = 3

// hedgeDelay returns the time after which a lookup without a response is hedged.
func (s *service) hedgeDelay(deadline time.Time) time.Duration {
	return deadline.Sub(s.clock.Now()) / hedgeDelayDivisor
}
