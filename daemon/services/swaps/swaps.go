// Package swaps is the service "control.swaps": the daemon that leads orders
// the model engines to run the versions that the trainers name. The store's
// lease makes one daemon the leader, and its fencing token goes with each
// order.
package swaps

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/broadcast"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameWeightSwaps, func() kernel.Service {
		return &service{engines: make(map[structs.HostName]*engine), demand: make(placement.Demand)}
	})
}

const (
	// orderWithin bounds one order.
	orderWithin = time.Second
	// reportWithin bounds a look at an engine's report.
	reportWithin = time.Second
	// loadTime is how long a change of version takes at least.
	loadTime = 900 * time.Millisecond
	// lookAfter is when an engine is asked whether the order is done: its
	// report is some hundred milliseconds old.
	lookAfter = 1100 * time.Millisecond
	// lookAgain is the pause before an engine is asked again.
	lookAgain = 250 * time.Millisecond
	// idleTimeout is how long a connection is kept: an engine is ordered, looked
	// after and ordered again within seconds.
	idleTimeout = 30 * time.Second
	// idlePerEngine is one for an order and one for a look at the report.
	idlePerEngine = 2
	// fencedFor is how long a daemon that was fenced gives no orders.
	fencedFor = 4 * time.Second
	// loadsShare is the part of a service's engines that load at once, and
	// loadsLeast the least count: more only take longer each, as the weight store
	// serves no more at full speed.
	loadsShare = 0.22
	loadsLeast = 2
	// mailboxCapacity bounds the outcomes that wait for the control loop.
	mailboxCapacity = 1024
)

type service struct {
	kernel.Base
	session   contract.Session
	catalog   contract.Catalog
	servers   contract.Servers
	metrics   contract.Metrics
	log       *logrus.Entry
	loop      *kernel.Loop
	workers   *kernel.Workers
	transport *http.Transport
	outcomes  *kernel.Mailbox[outcome]
	reports   *kernel.Mailbox[report]
	paces     contract.EnginePaces
	others    broadcast.Broadcaster
	demands   *kernel.Mailbox[contract.ModelDemand]
	news      *kernel.Mailbox[contract.EngineWeights]
	listeners []func(contract.EngineWeights)

	// What follows belongs to the control goroutine.
	engines map[structs.HostName]*engine
	fenced  time.Time
	demand  placement.Demand
}

// engine is what the leader knows of a model engine.
type engine struct {
	started int64
	// orders counts the orders that the engine has accepted, once isCounted.
	orders    uint64
	isCounted bool
	versions  map[structs.ServiceName]structs.WeightVersion
	// busy is set while an order is given or carried out.
	busy bool
	// loading is the order under way, and isFetching is set while the engine
	// draws on the weight store for it.
	loading    placement.WeightLoad
	isFetching bool
	// retry is when the next order may be given after a failed one.
	retry time.Time
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	err := kernel.FindAll(ctx,
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.paces, contract.NameEnginePaces),
		kernel.Bind(&s.others.Peers, contract.NamePeers),
		kernel.Bind(&s.others.Session, contract.NameSession),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.log, s.loop, s.workers = ctx.Log(), ctx.Loop(), ctx.Workers()
	s.others.Workers, s.others.Log, s.others.Timeout = s.workers, s.log, tellWithin
	s.transport = transport.New(transport.Options{DialTimeout: orderWithin, IdleTimeout: idleTimeout, MaxIdlePerHost: idlePerEngine})
	s.outcomes = kernel.NewMailbox(s.loop, mailboxCapacity, s.answered)
	s.reports = kernel.NewMailbox(s.loop, mailboxCapacity, s.reported)
	s.demands = kernel.NewMailbox(s.loop, mailboxCapacity, func(d contract.ModelDemand) { s.demand.Observe(d.Model, d.Size) })
	s.news = kernel.NewMailbox(s.loop, mailboxCapacity, s.learned)
	return rpc.Register(rpcName, &Receiver{service: s})
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.catalog.Current(), func(*contract.CatalogView) { s.plan() })
	kernel.Subscribe(s.loop, s.workers, s.servers.Entries(), func(*contract.ServersView) { s.plan() })
	kernel.Subscribe(s.loop, s.workers, s.session.View(), func(*contract.SessionView) { s.plan() })
	return nil
}

// leads reports whether this daemon may give orders now, and its token.
func (s *service) leads() (uint64, bool) {
	view := s.session.View().Load()
	isLeader := view.Leader == view.Self.Name && view.FencingToken != 0 && s.session.HoldsLease()
	return view.FencingToken, isLeader && s.loop.Now().After(s.fenced)
}

// plan gives the orders that are missing, as many as may load at once.
func (s *service) plan() {
	if _, ok := s.leads(); !ok {
		return
	}
	view := s.catalog.Current().Load()
	if view.Catalog == nil {
		return
	}
	for name := range view.Catalog.Services {
		if models := view.Catalog.Models(name); len(models) > 0 {
			s.planService(view, name, models)
		}
	}
}

// step is an order to one engine.
type step struct {
	server  catalog.Server
	model   structs.ServiceName
	version structs.WeightVersion
}

func (s *service) planService(view *contract.CatalogView, name structs.ServiceName, models []structs.ServiceName) {
	servers := s.servers.Entries().Load().ByService[name]
	runners := make([]placement.EngineWeights, len(servers))
	now := s.loop.Now()
	fetching := 0
	for i, server := range servers {
		known := s.engine(server)
		if known.isFetching {
			fetching++
		}
		pace, _ := s.paces.Estimate(server)
		runners[i] = placement.EngineWeights{
			Server: server, Versions: known.versions, Loading: known.loading,
			Busy: known.busy || now.Before(known.retry), Pace: pace,
		}
	}
	limit := max(loadsLeast, int(loadsShare*float64(len(servers))))
	for _, load := range placement.PlanWeightLoads(models, view.TargetVersions, s.demand, runners, limit-fetching) {
		known := s.engine(servers[load.EngineIndex])
		st := step{server: servers[load.EngineIndex], model: load.Model, version: load.Version}
		known.busy, known.isFetching, known.loading = true, true, load
		if known.isCounted {
			s.give(st, known)
		} else {
			s.lookLater(st, known, 0)
		}
	}
}

// settle frees an engine for its next order.
func (e *engine) settle() { e.busy, e.isFetching, e.loading = false, false, placement.WeightLoad{} }

// engine returns what is known of a server, which its entry may add to.
func (s *service) engine(server catalog.Server) *engine {
	known := s.engines[server.ID]
	if known == nil || known.started != server.Started {
		known = &engine{started: server.Started, versions: make(map[structs.ServiceName]structs.WeightVersion)}
		s.engines[server.ID] = known
	}
	for model, version := range server.Versions {
		known.versions[model] = max(known.versions[model], version)
	}
	return known
}

// outcome is what came of an order.
type outcome struct {
	step
	known  *engine
	result platform.OrderOutcome
	err    error
}

func (s *service) give(st step, known *engine) {
	token, ok := s.leads()
	if !ok {
		known.settle()
		return
	}
	order := platform.Order{
		Server: st.server.ID, Address: st.server.Address, Model: st.model, Version: st.version,
		Mode: s.modeOf(st.server.Service), Holder: s.session.View().Load().Self.Name, FencingToken: token, ExpectedOrders: known.orders,
	}
	s.log.WithFields(logrus.Fields{
		"server": st.server.ID, "model": st.model, "version": st.version, "runs": known.versions[st.model],
		"token": token, "after": known.orders,
	}).Info("An order is given.")
	s.metrics.Count("swaps.orders", 1)
	s.workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderWithin)
		defer cancel()
		done := outcome{step: st, known: known, result: platform.OrderRefused}
		// The host may have been suspended since the order was decided.
		if s.session.HoldsLease() {
			done.result, done.err = order.Send(ctx, s.transport)
		}
		if err := s.outcomes.Post(done); err != nil {
			s.log.WithError(err).Error("The outcome of an order is lost.")
		}
	})
}

// modeOf lets the runs of a service go on through a change of weights, unless
// their texts must have one version.
func (s *service) modeOf(service structs.ServiceName) platform.SwapMode {
	if current := s.catalog.Current().Load().Catalog; current != nil && current.RequiresSingleVersion(service) {
		return platform.SwapAwait
	}
	return platform.SwapRetain
}

// answered takes in the outcome of an order on the control goroutine.
func (s *service) answered(done outcome) {
	entry := s.log.WithFields(logrus.Fields{
		"server": done.server.ID, "model": done.model, "version": done.version, "outcome": done.result.String(),
	})
	if done.err != nil {
		entry = entry.WithError(done.err)
	}
	entry.Info("An order was answered.")
	switch {
	case done.err != nil:
		// It may be carried out yet; the engine's count of orders keeps an old
		// one from acting after a newer one.
		s.lookLater(done.step, done.known, lookAgain)
	case done.result == platform.OrderAccepted:
		done.known.orders++
		s.loop.AfterFunc(loadTime, func() {
			done.known.isFetching = false
			s.plan()
		})
		s.lookLater(done.step, done.known, lookAfter)
	case done.result == platform.OrderAlreadyApplied:
		done.known.settle()
		done.known.versions[done.model] = max(done.known.versions[done.model], done.version)
		s.tell(done.server.ID, done.known)
		s.plan()
	case done.result == platform.OrderFenced:
		done.known.settle()
		s.fenced = s.loop.Now().Add(fencedFor)
		s.loop.AfterFunc(fencedFor, s.plan)
	case done.result == platform.OrderConflict:
		s.lookLater(done.step, done.known, lookAgain)
	default:
		done.known.settle()
		done.known.retry = s.loop.Now().Add(loadTime)
		s.loop.AfterFunc(loadTime, s.plan)
	}
}

// report is what an engine said after an order.
type report struct {
	step
	known *engine
	said  platform.Report
	err   error
}

func (s *service) lookLater(st step, known *engine, after time.Duration) {
	s.loop.AfterFunc(after, func() {
		s.metrics.Count("swaps.reports", 1)
		s.workers.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, reportWithin)
			defer cancel()
			said, err := platform.ReadReport(ctx, s.transport, st.server.ID, st.server.Address)
			if err := s.reports.Post(report{step: st, known: known, said: said, err: err}); err != nil {
				s.log.WithError(err).Error("A report is lost.")
			}
		})
	})
}

// reported takes in a report on the control goroutine.
func (s *service) reported(r report) {
	if current := s.engines[r.server.ID]; current != r.known {
		return
	}
	if _, leads := s.leads(); !leads {
		r.known.settle()
		return
	}
	if r.err != nil {
		s.log.WithError(r.err).WithField("server", r.server.ID).Info("An engine gave no report.")
		r.known.settle()
		r.known.retry = s.loop.Now().Add(loadTime)
		s.loop.AfterFunc(loadTime, s.plan)
		return
	}
	if r.said.Swapping {
		s.lookLater(r.step, r.known, lookAgain)
		return
	}
	r.known.settle()
	r.known.orders, r.known.isCounted = max(r.known.orders, r.said.AcceptedOrders), true
	for model, version := range r.said.Versions {
		r.known.versions[model] = max(r.known.versions[model], version)
	}
	s.tell(r.server.ID, r.known)
	s.plan()
}
