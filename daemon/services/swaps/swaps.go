// Package swaps implements the service "control.swaps": the leading daemon
// orders weight swaps, so that the model engines run the versions that the
// trainers announce. The leader is elected by a lease in the store, and each
// order carries the lease's fencing token.
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
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameWeightSwaps, func() kernel.Service {
		return &service{engines: make(map[structs.HostName]*engine), demand: make(placement.Demand)}
	})
}

const (
	// orderTimeout bounds connecting to an engine, and the whole request that
	// sends an order.
	orderTimeout = time.Second
	// reportTimeout bounds the request that reads an engine's report.
	reportTimeout = time.Second
	// minLoadTime is the shortest time in which an engine loads new weights. It
	// is also the pause before an engine gets another order after a failed one.
	minLoadTime = 900 * time.Millisecond
	// firstReportDelay is the time from an accepted order to the first read of
	// the engine's report. It exceeds minLoadTime because reports are some
	// hundred milliseconds old.
	firstReportDelay = 1100 * time.Millisecond
	// reportInterval is the pause before an engine's report is read again.
	reportInterval = 250 * time.Millisecond
	// fencedPause is how long a daemon sends no orders after an engine has
	// rejected its fencing token.
	fencedPause = 4 * time.Second
	// concurrentLoadFraction is the fraction of a service's engines that may
	// load weights at once, and minConcurrentLoads the lower bound of that
	// count. More concurrent loads only take longer each, because the weight
	// store serves no more at full speed.
	concurrentLoadFraction = 0.22
	minConcurrentLoads     = 2
	// mailboxCapacity bounds the messages of each kind that wait for the
	// control loop.
	mailboxCapacity = 1024
)

type service struct {
	kernel.Base
	session       contract.Session
	catalog       contract.Catalog
	servers       contract.Servers
	metrics       contract.Metrics
	log           *logrus.Entry
	loop          *kernel.Loop
	workers       *kernel.Workers
	orderResults  *kernel.Mailbox[orderResult]
	reportResults *kernel.Mailbox[reportResult]
	paces         contract.EnginePaces
	broadcaster   broadcast.Broadcaster
	demandUpdates *kernel.Mailbox[contract.ModelDemand]
	weightUpdates *kernel.Mailbox[contract.EngineNews]
	listeners     []func(contract.EngineNews)

	// The fields below belong to the control goroutine.
	engines map[structs.HostName]*engine
	// fencedUntil is when the daemon may send orders again after it was fenced.
	fencedUntil time.Time
	demand      placement.Demand
}

// engine is the leader's record of one incarnation of a model engine.
type engine struct {
	// started distinguishes the incarnations of an engine.
	started int64
	// acceptedOrders is the count of orders that the engine has accepted. It is
	// valid once hasOrderCount is set, and goes with each order as the expected
	// count.
	acceptedOrders uint64
	hasOrderCount  bool
	versions       map[structs.ServiceName]structs.WeightVersion
	// busy is set while an order is sent or carried out.
	busy bool
	// currentLoad is the load in progress. isFetching is set while the engine
	// reads from the weight store for it.
	currentLoad placement.WeightLoad
	isFetching  bool
	// transport has the connection for orders and reports.
	transport *http.Transport
	// retryAt is the earliest time of the next order after a failed one.
	retryAt time.Time
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	err := kernel.FindAll(ctx,
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.paces, contract.NameEnginePaces),
		kernel.Bind(&s.broadcaster.Peers, contract.NamePeers),
		kernel.Bind(&s.broadcaster.Session, contract.NameSession),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.log, s.loop, s.workers = ctx.Log(), ctx.Loop(), ctx.Workers()
	s.broadcaster.Workers, s.broadcaster.Log, s.broadcaster.Timeout = s.workers, s.log, broadcastTimeout
	s.newMailboxes()
	return rpc.Register(rpcName, &Receiver{service: s})
}

// newMailboxes creates the mailboxes of the control loop.
func (s *service) newMailboxes() {
	s.orderResults = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleOrderResult)
	s.reportResults = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleReport)
	s.demandUpdates = kernel.NewMailbox(s.loop, mailboxCapacity, func(d contract.ModelDemand) { s.demand.Observe(d.Model, d.Size) })
	s.weightUpdates = kernel.NewMailbox(s.loop, mailboxCapacity, s.notifyListeners)
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.catalog.Current(), func(*contract.CatalogView) { s.plan() })
	kernel.Subscribe(s.loop, s.workers, s.servers.Entries(), func(*contract.ServersView) { s.plan() })
	kernel.Subscribe(s.loop, s.workers, s.session.View(), func(*contract.SessionView) { s.plan() })
	return nil
}

// mayOrder returns the fencing token and whether this daemon may send orders
// now: it leads, holds the lease of the leader's key and is not paused after being
// fenced.
func (s *service) mayOrder() (uint64, bool) {
	token, isLeader := s.session.Leadership()
	return token, isLeader && s.loop.Now().After(s.fencedUntil)
}

// plan starts the weight loads that are missing, up to the limit of each
// service.
func (s *service) plan() {
	if _, ok := s.mayOrder(); !ok {
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

// orderTarget is the engine, the model and the version of an order.
type orderTarget struct {
	server  catalog.Server
	model   structs.ServiceName
	version structs.WeightVersion
}

// planService starts the missing weight loads of one service. An engine whose
// order count is unknown is asked for its report first.
func (s *service) planService(view *contract.CatalogView, name structs.ServiceName, models []structs.ServiceName) {
	servers := s.servers.Entries().Load().ByService[name]
	engines := make([]placement.EngineWeights, len(servers))
	now := s.loop.Now()
	fetching := 0
	for i, server := range servers {
		e := s.engineFor(server)
		if e.isFetching {
			fetching++
		}
		pace, _ := s.paces.Estimate(server)
		engines[i] = placement.EngineWeights{
			Server: server, Versions: e.versions, Loading: e.currentLoad,
			Busy: e.busy || now.Before(e.retryAt), Pace: pace,
		}
	}
	limit := max(minConcurrentLoads, int(concurrentLoadFraction*float64(len(servers))))
	for _, load := range placement.PlanWeightLoads(models, view.TargetVersions, s.demand, engines, limit-fetching) {
		e := s.engineFor(servers[load.EngineIndex])
		target := orderTarget{server: servers[load.EngineIndex], model: load.Model, version: load.Version}
		e.reserve(load)
		if e.hasOrderCount {
			s.sendOrder(target, e)
		} else {
			s.scheduleReport(target, e, 0)
		}
	}
}

// reserve marks the engine as busy with a load.
func (e *engine) reserve(load placement.WeightLoad) {
	e.busy, e.isFetching, e.currentLoad = true, true, load
}

// engineFor returns the record of an engine and merges the versions of its
// server entry into it. It starts a new record when the engine is unknown or
// was restarted.
func (s *service) engineFor(server catalog.Server) *engine {
	e := s.engines[server.ID]
	if e == nil || e.started != server.Started {
		e = &engine{started: server.Started, transport: newTransport(), versions: make(map[structs.ServiceName]structs.WeightVersion)}
		s.engines[server.ID] = e
	}
	for model, version := range server.Versions {
		e.versions[model] = max(e.versions[model], version)
	}
	return e
}

// orderResult is the result of sending an order.
type orderResult struct {
	orderTarget
	engine  *engine
	outcome platform.OrderOutcome
	err     error
}

// sendOrder sends an order on a worker and posts its result to the control
// loop.
func (s *service) sendOrder(target orderTarget, e *engine) {
	token, ok := s.mayOrder()
	if !ok {
		e.release()
		return
	}
	order := platform.Order{
		Server: target.server.ID, Address: target.server.Address, Model: target.model, Version: target.version,
		Mode: s.swapMode(target.server.Service), Holder: s.session.View().Load().Self.Name, FencingToken: token, ExpectedOrders: e.acceptedOrders,
	}
	s.log.WithFields(logrus.Fields{
		"server": target.server.ID, "model": target.model, "version": target.version, "runs": e.versions[target.model],
		"token": token, "after": e.acceptedOrders,
	}).Info("An order is given.")
	s.metrics.Count("swaps.orders", 1)
	loadTransport := e.transport
	s.workers.Go(func(workersCtx context.Context) {
		result := orderResult{orderTarget: target, engine: e, outcome: platform.OrderRefused, err: kernel.ErrPanicked}
		defer func() { postResult(workersCtx, s, s.orderResults, result) }()
		ctx, cancel := context.WithTimeout(workersCtx, orderTimeout)
		defer cancel()
		// The host may have been suspended, or another daemon may lead, since the
		// order was planned.
		if current, isLeader := s.session.Leadership(); !isLeader || current != token {
			result.err = nil
			return
		}
		result.outcome, result.err = order.Send(ctx, loadTransport)
	})
}

// postResult posts the result of a call to an engine, without which the engine
// would stay busy.
func postResult[R any](ctx context.Context, s *service, results *kernel.Mailbox[R], result R) {
	if err := results.PostWait(ctx, result); err != nil {
		s.log.WithError(err).Info("Dropped a result of a call to an engine: the daemon stops.")
	}
}

// swapMode returns how a service swaps weights: runs continue across the swap,
// unless the service requires that each text is generated by a single version.
func (s *service) swapMode(service structs.ServiceName) platform.SwapMode {
	if current := s.catalog.Current().Load().Catalog; current != nil && current.RequiresSingleVersion(service) {
		return platform.SwapAwait
	}
	return platform.SwapRetain
}

// handleOrderResult handles the result of an order on the control goroutine.
func (s *service) handleOrderResult(result orderResult) {
	entry := s.log.WithFields(logrus.Fields{
		"server": result.server.ID, "model": result.model, "version": result.version, "outcome": result.outcome.String(),
	})
	if result.err != nil {
		entry = entry.WithError(result.err)
	}
	entry.Info("Order result received.")
	switch {
	case result.err != nil:
		// The engine may still carry the order out. Its count of orders keeps a
		// delayed order from taking effect after a newer one.
		result.engine.transport.CloseIdleConnections()
		s.scheduleReport(result.orderTarget, result.engine, reportInterval)
	case result.outcome == platform.OrderAccepted:
		result.engine.acceptedOrders++
		s.loop.AfterFunc(minLoadTime, func() {
			result.engine.isFetching = false
			s.plan()
		})
		s.scheduleReport(result.orderTarget, result.engine, firstReportDelay)
	case result.outcome == platform.OrderAlreadyApplied:
		result.engine.release()
		result.engine.versions[result.model] = max(result.engine.versions[result.model], result.version)
		s.broadcastWeights(result.server.ID, result.engine)
		s.plan()
	case result.outcome == platform.OrderFenced:
		result.engine.release()
		s.fencedUntil = s.loop.Now().Add(fencedPause)
		s.loop.AfterFunc(fencedPause, s.plan)
	case result.outcome == platform.OrderConflict:
		s.scheduleReport(result.orderTarget, result.engine, reportInterval)
	default:
		result.engine.release()
		result.engine.retryAt = s.loop.Now().Add(minLoadTime)
		s.loop.AfterFunc(minLoadTime, s.plan)
	}
}

// reportResult is the result of reading an engine's report.
type reportResult struct {
	orderTarget
	engine *engine
	report platform.Report
	err    error
}

// scheduleReport reads an engine's report after a delay and posts it to the
// control loop.
func (s *service) scheduleReport(target orderTarget, e *engine, after time.Duration) {
	s.loop.AfterFunc(after, func() {
		s.metrics.Count("swaps.reports", 1)
		loadTransport := e.transport
		s.workers.Go(func(workersCtx context.Context) {
			result := reportResult{orderTarget: target, engine: e, err: kernel.ErrPanicked}
			defer func() { postResult(workersCtx, s, s.reportResults, result) }()
			ctx, cancel := context.WithTimeout(workersCtx, reportTimeout)
			defer cancel()
			result.report, result.err = platform.ReadReport(ctx, loadTransport, target.server.ID, target.server.Address)
		})
	})
}

// handleReport handles an engine's report on the control goroutine. It ignores
// reports of a former incarnation.
func (s *service) handleReport(result reportResult) {
	if current := s.engines[result.server.ID]; current != result.engine {
		return
	}
	if _, ok := s.mayOrder(); !ok {
		result.engine.release()
		return
	}
	if result.err != nil {
		s.log.WithError(result.err).WithField("server", result.server.ID).Info("Could not read engine report.")
		result.engine.release()
		result.engine.retryAt = s.loop.Now().Add(minLoadTime)
		s.loop.AfterFunc(minLoadTime, s.plan)
		return
	}
	if result.report.Swapping {
		s.scheduleReport(result.orderTarget, result.engine, reportInterval)
		return
	}
	s.releaseAfterReport(result.engine)
	result.engine.acceptedOrders, result.engine.hasOrderCount = max(result.engine.acceptedOrders, result.report.AcceptedOrders), true
	for model, version := range result.report.Versions {
		result.engine.versions[model] = max(result.engine.versions[model], version)
	}
	s.broadcastWeights(result.server.ID, result.engine)
	s.plan()
}
