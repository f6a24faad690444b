// Package fleetsize implements the service "control.fleet": the holder of the platform's
// duties orders servers according to the work that the owners of jobs report. Package
// scaling decides; this one gathers what it needs and sends the orders.
package fleetsize

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/scaling"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameFleetSize, func() kernel.Service { return &service{} })
}

const (
	// planInterval is the interval at which the sizes are decided. It is short against
	// the time in which a server starts.
	planInterval = time.Second
	// reportTimeout bounds the report of a load to the holder.
	reportTimeout = time.Second
	// orderTimeout bounds an order; its outcome is unknown afterwards.
	orderTimeout = 2 * time.Second
	// maxOrders bounds the orders of one decision. The platform's rate is shared with the
	// other duties, and the next decision sends the rest.
	maxOrders = 12
	// maxSilence is how long an owner with open work may be silent before its work counts
	// as unknown. It spans three reports.
	maxSilence = 3 * time.Second
	// settledMembership is how long the set of daemons must have been unchanged. Owners
	// of jobs that have just stopped or started are not heard yet.
	settledMembership = 10 * time.Second
	// settledList is how long the store must have been reachable for the server list to
	// be complete.
	settledList = 3 * time.Second
	// mailboxCapacity bounds the messages that wait for the control loop.
	mailboxCapacity = 1024
)

type service struct {
	kernel.Base
	duties  contract.Duties
	store   contract.TransactionalStore
	session contract.Session
	catalog contract.Catalog
	servers contract.Servers
	peers   contract.Peers
	metrics contract.Metrics
	log     *logrus.Entry
	loop    *kernel.Loop
	workers *kernel.Workers
	loads   *kernel.Mailbox[contract.FleetLoad]
	answers *kernel.Mailbox[answer]
	// executor runs questions of operators on the control goroutine.
	executor *kernel.LoopExecutor
	// isConfigured is set if the deployment has the duty.
	isConfigured bool

	// The fields below belong to the control goroutine.
	fleets map[structs.ServiceName]*fleet
	// isHolder is set while this daemon decides.
	isHolder bool
	// members are the live daemons, and membersSince is when they changed last.
	members      map[string]struct{}
	membersSince time.Time
}

// fleet is the holder's state of one service. A new holder begins with an empty one.
type fleet struct {
	planner  *scaling.Planner
	observer scaling.Observer
	// last is the last decision; nil before the first one.
	last *decision
}

var _ contract.FleetSize = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.isConfigured = daemon.Platform.Duties.Address != "" && daemon.Platform.Duties.ScalesFleet
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.duties, contract.NameDuties),
		kernel.Bind(&s.store, contract.NameTransactionalStore),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.metrics, contract.NameMetrics),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.log, s.loop, s.workers = ctx.Log(), ctx.Loop(), ctx.Workers()
	s.newMailboxes()
	return rpc.Register(rpcName, &Receiver{service: s})
}

// newMailboxes creates the mailboxes of the control loop.
func (s *service) newMailboxes() {
	s.fleets = make(map[structs.ServiceName]*fleet)
	s.loads = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleLoad)
	s.answers = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleAnswer)
	s.executor = kernel.NewLoopExecutor(s.loop)
}

// Start implements kernel.Service.
func (s *service) Start() error {
	if !s.isConfigured {
		return nil
	}
	kernel.Subscribe(s.loop, s.workers, s.session.View(), s.membersChanged)
	kernel.Subscribe(s.loop, s.workers, s.duties.View(), s.holderChanged)
	s.loop.AfterFunc(planInterval, s.tick)
	return nil
}

// membersChanged notes when the set of live daemons changes.
func (s *service) membersChanged(view *contract.SessionView) {
	members := make(map[string]struct{}, len(view.Live))
	for name := range view.Live {
		members[name] = struct{}{}
	}
	if !maps.Equal(members, s.members) {
		s.members, s.membersSince = members, s.loop.Now()
	}
}

// holderChanged forgets what an earlier term as the holder knew.
func (s *service) holderChanged(view *contract.DutiesView) {
	if view.IsSelf == s.isHolder {
		return
	}
	s.isHolder = view.IsSelf
	s.fleets = make(map[structs.ServiceName]*fleet)
	s.log.WithFields(logrus.Fields{"holder": view.Holder, "token": view.FencingToken, "decides": s.isHolder}).Info("The decision on the sizes of the fleets has moved.")
}

// tick decides the sizes of all fleets while this daemon is the holder.
func (s *service) tick() {
	s.loop.AfterFunc(planInterval, s.tick)
	current := s.catalog.Current().Load().Catalog
	if !s.isHolder || current == nil || !s.servers.Entries().Load().Loaded || !s.duties.Holds() {
		return
	}
	maps.DeleteFunc(s.fleets, func(name structs.ServiceName, _ *fleet) bool { return current.Services[name].Scaling == nil })
	for name, configured := range current.Services {
		if configured.Scaling != nil {
			s.plan(current, name, configured)
		}
	}
}

// plan decides the size of one fleet and sends the orders.
func (s *service) plan(current *catalog.Catalog, name structs.ServiceName, configured catalog.Service) {
	f, now := s.fleetOf(name), s.loop.Now()
	s.list(f, name)
	in := scaling.Input{
		Now: now, Bounds: boundsOf(configured, current.IsRepeatable(name)), Demand: f.observer.Demand(now), IsComplete: s.isComplete(f, now),
	}
	plan := f.planner.Plan(in)
	s.record(name, f, in, plan)
	if f.last == nil {
		f.last = &decision{}
	}
	f.last.note(in, plan)
	for _, order := range plan.Orders[:min(len(plan.Orders), maxOrders)] {
		s.send(name, f, order, in.Bounds.BootTime)
	}
}

func (s *service) fleetOf(name structs.ServiceName) *fleet {
	f := s.fleets[name]
	if f == nil {
		f = &fleet{planner: scaling.NewPlanner()}
		s.fleets[name] = f
	}
	return f
}

// boundsOf translates the configuration. A service whose work may not be repeated gets no
// reclaimable servers.
func boundsOf(configured catalog.Service, isRepeatable bool) scaling.Bounds {
	bounds := scaling.Bounds{Min: configured.Scaling.Min, Max: configured.Scaling.Max, Slots: 1, BootTime: configured.Scaling.BootTime}
	if configured.Engine != nil {
		bounds.Slots = configured.Engine.Slots
	}
	if isRepeatable {
		bounds.ReclaimablePrice = configured.Scaling.SpotPrice
	}
	for zone, price := range configured.Scaling.ZonePrices {
		bounds.Zones = append(bounds.Zones, scaling.Zone{Name: zone, Price: price})
	}
	return bounds
}

// list sets the pools to what the server list shows.
func (s *service) list(f *fleet, name structs.ServiceName) {
	view, now := s.servers.Entries().Load(), s.loop.Now()
	present, draining := make(map[scaling.PoolKey]int), make(map[scaling.PoolKey]int)
	for _, server := range view.All {
		if server.Service == name && server.Draining {
			draining[scaling.PoolKey{Zone: server.Zone, Reclaimable: server.Reclaimable}]++
		}
	}
	for _, server := range view.ByService[name] {
		key := scaling.PoolKey{Zone: server.Zone, Reclaimable: server.Reclaimable}
		present[key]++
		f.planner.Pool(key)
	}
	for key, pool := range f.planner.Pools {
		pool.List(present[key], draining[key], now)
	}
}

// isComplete reports whether no work can be unknown: each trainer's next step would have
// come, and neither the owners nor the server list have changed lately.
func (s *service) isComplete(f *fleet, now time.Time) bool {
	demand := f.observer.Demand(now)
	reachedSince, isReached := s.store.ReachedSince()
	return isReached && now.Sub(reachedSince) >= settledList &&
		now.Sub(s.membersSince) >= settledMembership &&
		f.observer.HeardFor(now) >= max(demand.Due, 2*demand.Period) &&
		!f.observer.HasSilentOwner(now, maxSilence)
}

// answer is the outcome of an order.
type answer struct {
	service  structs.ServiceName
	fleet    *fleet
	order    scaling.Order
	bootTime time.Duration
	outcome  scaling.Outcome
	detail   string
}

// handleAnswer applies the outcome of an order to the pool from which it came.
func (s *service) handleAnswer(a answer) {
	a.fleet.planner.Pool(a.order.PoolKey).Answered(a.outcome, a.bootTime, s.loop.Now())
	s.metrics.Count("fleet.orders."+outcomeNames[a.outcome], 1)
	s.log.WithFields(logrus.Fields{
		"service": a.service, "zone": a.order.Zone, "reclaimable": a.order.Reclaimable, "count": a.order.Count, "outcome": outcomeNames[a.outcome],
		"detail": a.detail,
	}).Info("An order for servers was answered.")
}

// send sends an order on a worker.
func (s *service) send(name structs.ServiceName, f *fleet, order scaling.Order, bootTime time.Duration) {
	f.planner.Pool(order.PoolKey).Sent(order.Count)
	s.workers.Go(func(ctx context.Context) {
		a := answer{service: name, fleet: f, order: order, bootTime: bootTime, outcome: scaling.OrderUnknown, detail: "the call panicked"}
		defer func() {
			if err := s.answers.PostWait(ctx, a); err != nil {
				s.log.WithError(err).Debug("Dropped the outcome of an order for servers.")
			}
		}()
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		a.outcome, a.detail = s.call(callCtx, name, order)
	})
}
