// Package plain is the service "traffic.plain": look-ups on plain services.
// They are idempotent, so that one that fails is tried on another server, and
// one that takes long is sent to a second server, within the retry budget and
// its due time.
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
	span := parameters.Timeouts[request.Class]
	due := s.clock.Now().Add(span)
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	answer, err := s.attempts(ctx, contract.PickRequest{
		Service:     parameters.Service,
		Workspace:   request.Workspace,
		Class:       request.Class,
		Deadline:    due,
		Fingerprint: quarantine.FingerprintOf(string(parameters.Service), http.MethodGet, request.Path),
	}, request.Path)
	good := err == nil && answer.Status < http.StatusInternalServerError && !s.clock.Now().After(due)
	s.metrics.RecordRequest(request.Workspace, request.Class, good)
	return answer, err
}

// attempts tries servers one after the other.
func (s *service) attempts(ctx context.Context, pick contract.PickRequest, path string) (outside.ServiceResponse, error) {
	retrier := s.retries.Begin(contract.RetryRequest{
		Workspace: pick.Workspace, Class: pick.Class, Deadline: pick.Deadline, Idempotent: true,
	})
	for {
		tried, err := s.hedged(ctx, &pick, path, retrier)
		if err == nil {
			return tried, nil
		}
		if err = retrier.AwaitRetry(ctx, err); err != nil {
			return outside.ServiceResponse{}, err
		}
	}
}

// attempt is one answer or failure of a server; server is empty when none was
// had.
type attempt struct {
	answer outside.ServiceResponse
	server structs.HostName
	err    error
	// hedge marks the second of two servers.
	hedge bool
}

// try sends a look-up to one server.
func (s *service) try(ctx context.Context, ticket contract.Ticket, path string) attempt {
	begun := s.clock.Now()
	call := outside.ServiceRequest{Method: http.MethodGet, Path: path}
	answer, err := s.clients.Platform().Plain.Do(ctx, ticket.Server.Address, call)
	if err == nil && answer.Status == http.StatusServiceUnavailable {
		err = result.New(result.BackendRefused, "%s", ticket.Server.Name)
	}
	err = failure(ctx, err)
	ticket.Finish(contract.TicketOutcome{
		Err:     err,
		Latency: s.clock.Since(begun),
		Bytes:   int64(len(path) + len(answer.Body)),
	})
	return attempt{answer: answer, server: ticket.Server.Name, err: err}
}

// hedgePart is the part of the time left after which a look-up without an
// answer is sent to a second server.
const hedgePart = 3

// hedgeAfter is how long the first server is waited for.
func (s *service) hedgeAfter(due time.Time) time.Duration {
	return due.Sub(s.clock.Now()) / hedgePart
}
