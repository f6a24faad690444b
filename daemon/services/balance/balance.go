// Package balance is the service "traffic.balance": it admits requests, chooses
// a backend server for each, ejects failing servers and quarantines requests
// that crash servers.
//
// The control goroutine owns the table of servers, their limits, ejections and
// the quarantine, and publishes immutable snapshots. Traffic goroutines choose
// servers from a snapshot. What changes with each request are the servers'
// atomic counters and, under a short lock, the admission queue of the service.
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
	kernel.Register(contract.NameBalance, func() kernel.Service { return &service{probe: probeTCP} })
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

	snapshot    *kernel.Snapshot[snapshot]
	unconfirmed *unconfirmedFailures
	control     control
}

// snapshot is what traffic goroutines choose servers from. It is immutable.
type snapshot struct {
	// loaded is set once the host list has been read.
	loaded     bool
	services   map[structs.ServiceName]*serviceView
	quarantine quarantine.View
}

var (
	_ contract.Balancer    = (*service)(nil)
	_ contract.ServerTable = (*service)(nil)
	_ contract.Quarantine  = (*service)(nil)
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
	s.initControl()
	return server.Register(rpcName, &Receiver{service: s})
}

// Pick implements contract.Balancer.
func (s *service) Pick(ctx context.Context, request contract.PickRequest) (contract.Ticket, error) {
	current, err := s.awaitProbes(ctx, &request)
	if err != nil {
		s.metrics.Count("balance.refused."+codeName(err), 1)
		return contract.Ticket{}, err
	}
	target := current.services[request.Service]
	if target == nil {
		return contract.Ticket{}, result.New(result.NoBackend, "service %s", request.Service)
	}
	admission := s.admissionRequest(request)
	acquire := target.admission.acquire
	if request.NoWait {
		acquire = target.admission.tryAcquire
	}
	if err := acquire(ctx, s.clock, admission); err != nil {
		s.metrics.Count("balance.refused."+codeName(err), 1)
		return contract.Ticket{}, err
	}
	// The servers may have changed during the wait.
	current = s.snapshot.Load()
	if newer := current.services[request.Service]; newer != nil {
		target = newer
	}
	return s.chooseServer(target, &request, admission, current.quarantine.Suspects[request.Fingerprint])
}

// Loaded implements contract.ServerTable.
func (s *service) Loaded() bool { return s.snapshot.Load().loaded }

// AwaitVerdict implements contract.Quarantine.
func (s *service) AwaitVerdict(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	_, err := s.awaitProbes(ctx, &contract.PickRequest{Fingerprint: fingerprint})
	return err
}

// routeRequestOf returns what routing depends on, without a random number.
func routeRequestOf(request contract.PickRequest) route.Request {
	return route.Request{
		Class:      request.Class,
		Affinity:   request.Affinity,
		MinVersion: request.MinVersion,
		Resumes:    request.Resumes,
		Avoid:      request.Avoid,
	}
}

// chooseServer chooses a server for an admitted request and counts the request
// there.
func (s *service) chooseServer(target *serviceView, request *contract.PickRequest, admission limit.Request, isSuspect bool) (contract.Ticket, error) {
	routeRequest, loads := routeRequestOf(*request), target.loadsFor(isSuspect)
	routeRequest.Random = rand.Uint64()
	choice, ok := target.table.Pick(&routeRequest, loads)
	if !ok {
		target.admission.release(s.clock.Now(), admission, 0)
		return contract.Ticket{}, result.New(result.NoBackend, "service %s", request.Service)
	}
	if request.NoWait && loads.Full(choice.Server) {
		target.admission.release(s.clock.Now(), admission, 0)
		return contract.Ticket{}, result.New(result.Overloaded, "no server of service %s has a slot", request.Service)
	}
	slot := &ticket{
		service:     s,
		view:        target,
		counters:    target.counters[choice.Server],
		tierIndex:   choice.Tier,
		admission:   admission,
		fingerprint: request.Fingerprint,
		isSuspect:   isSuspect,
		isRetry:     len(request.Avoid) > 0,
		started:     s.clock.Now(),
	}
	slot.acquire()
	return contract.Ticket{Server: target.servers[choice.Server], Finish: slot.finish}, nil
}

func (s *service) share(workspace structs.WorkspaceName) float64 {
	return s.settings.View().Load().Resolved[workspace].Share
}

func codeName(err error) string {
	entry, _ := result.Lookup(result.CodeOf(err))
	return entry.Name
}

// now returns the control loop's time. It is for the control goroutine.
func (s *service) now() time.Time { return s.loop.Now() }
