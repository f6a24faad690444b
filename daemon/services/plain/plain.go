// Package plain is the service "traffic.plain": look-ups on plain services.
// They are idempotent, so that one that fails is tried on another server while
// its due time allows.
package plain

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NamePlain, func() kernel.Service { return &service{} })
}

// maxAttempts is how many servers a look-up is tried on.
const maxAttempts = 3

type service struct {
	kernel.Base
	clients  contract.Clients
	settings contract.Settings
	balancer contract.Balancer
	metrics  contract.Metrics
	now      func() time.Time
}

var _ contract.Plain = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.clients, err = kernel.Find[contract.Clients](ctx, contract.NameClients); err != nil {
		return err
	}
	if s.settings, err = kernel.Find[contract.Settings](ctx, contract.NameSettings); err != nil {
		return err
	}
	if s.balancer, err = kernel.Find[contract.Balancer](ctx, contract.NameBalance); err != nil {
		return err
	}
	s.metrics, err = kernel.Find[contract.Metrics](ctx, contract.NameMetrics)
	s.now = ctx.Now
	return err
}

// Lookup implements contract.Plain.
func (s *service) Lookup(ctx context.Context, request contract.LookupRequest) (platform.Answer, error) {
	parameters, err := s.settings.Peek(request.Workspace)
	if err != nil {
		return platform.Answer{}, err
	}
	due := s.now().Add(parameters.Due[request.Class])
	ctx, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	answer, err := s.attempts(ctx, contract.PickRequest{
		Service:   parameters.Service,
		Workspace: request.Workspace,
		Class:     request.Class,
		Due:       due,
	}, request.Path)
	s.metrics.Served(request.Workspace, request.Class, err == nil && !s.now().After(due))
	return answer, err
}

func (s *service) attempts(ctx context.Context, pick contract.PickRequest, path string) (platform.Answer, error) {
	var last error
	for range maxAttempts {
		answer, server, err := s.attempt(ctx, pick, path)
		if err == nil {
			return answer, nil
		}
		if server == "" && last != nil {
			return platform.Answer{}, last
		}
		if server == "" || ctx.Err() != nil {
			return platform.Answer{}, err
		}
		last = err
		pick.Avoid = append(pick.Avoid, server)
	}
	return platform.Answer{}, last
}

// attempt tries one server and names it, or names none when none was had.
func (s *service) attempt(ctx context.Context, pick contract.PickRequest, path string) (platform.Answer, structs.HostName, error) {
	ticket, err := s.balancer.Pick(ctx, pick)
	if err != nil {
		return platform.Answer{}, "", err
	}
	begun := s.now()
	call := platform.Call{Method: http.MethodGet, Path: path}
	answer, err := s.clients.Platform().Plain.Do(ctx, ticket.Server.Address, call)
	if err == nil && answer.Status == http.StatusServiceUnavailable {
		err = result.New(result.BackendRefused, "%s", ticket.Server.Name)
	}
	ticket.Finish(contract.TicketOutcome{Err: err, Latency: s.now().Sub(begun)})
	return answer, ticket.Server.Name, err
}
