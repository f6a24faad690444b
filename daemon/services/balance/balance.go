// Package balance is the service "traffic.balance": it admits requests,
// chooses a backend server for each and keeps failing servers and requests
// that crash servers out.
//
// The control goroutine owns the table of servers, their limits, ejections and
// the quarantine, and publishes immutable snapshots. Traffic goroutines pick
// from a snapshot; what changes with each request are atomic counters of the
// servers and, under a short lock, the gate of the service.
package balance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/route"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameBalance, func() kernel.Service { return &service{probe: connect} })
}

type service struct {
	kernel.Base
	config   config.Daemon
	clock    clockwork.Clock
	log      *logrus.Entry
	loop     *kernel.Loop
	workers  *kernel.Workers
	clients  contract.Clients
	hosts    contract.Hosts
	settings contract.Settings
	metrics  contract.Metrics
	peers    contract.Peers
	probe    probeFunc

	snapshot  *kernel.Snapshot[snapshot]
	undecided *undecided
	control   control
}

// snapshot is what traffic goroutines pick from. It is immutable.
type snapshot struct {
	services map[structs.ServiceName]*view
	requests quarantine.View
}

var (
	_ contract.Balancer   = (*service)(nil)
	_ contract.Quarantine = (*service)(nil)
)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.clients, contract.NameClients),
		kernel.Bind(&s.hosts, contract.NameHosts),
		kernel.Bind(&s.settings, contract.NameSettings),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.peers, contract.NamePeers),
	)
	if err != nil {
		return err
	}
	server, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.clock, s.log, s.loop, s.workers = ctx.Clock(), ctx.Log(), ctx.Loop(), ctx.Workers()
	s.prepare()
	return server.Register(rpcName, &Receiver{service: s})
}

// Pick implements contract.Balancer.
func (s *service) Pick(ctx context.Context, request contract.PickRequest) (contract.Ticket, error) {
	current, err := s.cleared(ctx, &request)
	if err != nil {
		s.metrics.Count("balance.refused."+codeName(err), 1)
		return contract.Ticket{}, err
	}
	from := current.services[request.Service]
	if from == nil {
		return contract.Ticket{}, result.New(result.NoBackend, "service %s", request.Service)
	}
	ask := limit.Request{Workspace: request.Workspace, Class: request.Class, Share: s.share(request.Workspace), Deadline: request.Deadline}
	if err := from.pool.enter(ctx, s.clock, ask); err != nil {
		s.metrics.Count("balance.refused."+codeName(err), 1)
		return contract.Ticket{}, err
	}
	// The servers may have changed during the wait.
	current = s.snapshot.Load()
	if newer := current.services[request.Service]; newer != nil {
		from = newer
	}
	return s.choose(from, &request, current.requests.Suspects[request.Fingerprint])
}

// AwaitVerdict implements contract.Quarantine.
func (s *service) AwaitVerdict(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	_, err := s.cleared(ctx, &contract.PickRequest{Fingerprint: fingerprint})
	return err
}

// choose takes a place on a server for an admitted request.
func (s *service) choose(from *view, request *contract.PickRequest, suspect bool) (contract.Ticket, error) {
	wanted := route.Request{
		Class:      request.Class,
		Affinity:   request.Affinity,
		MinVersion: request.MinVersion,
		Avoid:      request.Avoid,
		Random:     rand.Uint64(),
	}
	var loads route.Loads = from
	if suspect {
		loads = isolated{from}
	}
	choice, ok := from.table.Pick(&wanted, loads)
	if !ok {
		from.pool.leave(s.clock.Now(), request.Class, 0)
		return contract.Ticket{}, result.New(result.NoBackend, "service %s", request.Service)
	}
	held := &ticket{
		service: s,
		view:    from,
		place:   from.places[choice.Server],
		tier:    choice.Tier,
		class:   request.Class,
		print:   request.Fingerprint,
		suspect: suspect,
		retried: len(request.Avoid) > 0,
		begun:   s.clock.Now(),
	}
	held.take()
	return contract.Ticket{Server: from.servers[choice.Server], Finish: held.finish}, nil
}

func (s *service) share(workspace structs.WorkspaceName) float64 {
	return s.settings.View().Load().Resolved[workspace].Share
}

func codeName(err error) string {
	entry, _ := result.Lookup(result.CodeOf(err))
	return entry.Name
}

// now reads the clock on the control goroutine.
func (s *service) now() time.Time { return s.loop.Now() }
