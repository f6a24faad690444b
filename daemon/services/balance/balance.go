// Package balance is the service "traffic.balance": it chooses a backend
// server for each request and counts the requests in flight on each.
package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameBalance, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	hosts    contract.Hosts
	inFlight sync.Map
}

var _ contract.Balancer = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	s.hosts, err = kernel.Find[contract.Hosts](ctx, contract.NameHosts)
	return err
}

// Pick implements contract.Balancer: the less loaded of two random servers.
func (s *service) Pick(_ context.Context, request contract.PickRequest) (contract.Ticket, error) {
	servers := without(s.hosts.View().Load().Services[request.Service], request.Avoid)
	if len(servers) == 0 {
		return contract.Ticket{}, result.New(result.NoBackend, "service %s", request.Service)
	}
	first, second := servers[rand.IntN(len(servers))], servers[rand.IntN(len(servers))]
	chosen := first
	if s.counter(second.Name).Load() < s.counter(first.Name).Load() {
		chosen = second
	}
	return s.ticket(chosen), nil
}

func (s *service) ticket(server structs.BackendServer) contract.Ticket {
	counter := s.counter(server.Name)
	counter.Add(1)
	return contract.Ticket{Server: server, Finish: func(outcome contract.TicketOutcome) {
		counter.Add(-1)
		if result.CodeOf(outcome.Err) == result.NoBackend {
			s.hosts.Report(server.Name, contract.SignalFailedConnect)
		}
	}}
}

func (s *service) counter(name structs.HostName) *atomic.Int64 {
	if known, ok := s.inFlight.Load(name); ok {
		return known.(*atomic.Int64)
	}
	known, _ := s.inFlight.LoadOrStore(name, new(atomic.Int64))
	return known.(*atomic.Int64)
}

func without(servers []structs.BackendServer, avoid []structs.HostName) []structs.BackendServer {
	if len(avoid) == 0 {
		return servers
	}
	kept := make([]structs.BackendServer, 0, len(servers))
	for _, server := range servers {
		if !slices.Contains(avoid, server.Name) {
			kept = append(kept, server)
		}
	}
	return kept
}
