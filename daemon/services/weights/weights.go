// Package weights is the service "control.weights": it learns of new weight
// versions and rolls them out to the model engines of the availability zone.
// Only the zone's collector watches the weight store and gives orders; the
// other daemons hear of new versions from it.
package weights

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/weights"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameWeights, func() kernel.Service { return &service{} })
}

const (
	rpcName = "Weights"
	// replyCapacity is above the number of calls that may be under way.
	replyCapacity = 1024
	// watchWait is how long the weight store may hold a call, and a collector
	// that of a follower.
	watchWait = 10 * time.Second
	// watchLimit ends a follower's call to a collector that hangs.
	watchLimit = 2 * watchWait
	retryDelay = 500 * time.Millisecond
	// readLimit bounds the read-back of an engine.
	readLimit = 2 * time.Second
)

// limitsOf returns the limits of a plan under a daemon's settings.
func limitsOf(bounds config.Weights) weights.Limits {
	return weights.Limits{
		MaxConcurrentOrders: bounds.Orders,
		OrdersPerSecond:     bounds.OrdersPerSecond,
		MaxConcurrentReads:  32,
		ReadsPerSecond:      20,
		RetryDelay:          time.Second,
		MaxRetryDelay:       15 * time.Second,
		ReadBackDelay:       2 * time.Second,
		MaxReadBackInterval: 2 * time.Minute,
	}
}

// versions are the newest versions known. A published one is not changed.
type versions map[structs.ServiceName]structs.WeightVersion

type service struct {
	kernel.Base
	config   config.Daemon
	clock    clockwork.Clock
	loop     *kernel.Loop
	workers  *kernel.Workers
	log      *logrus.Entry
	clients  contract.Clients
	peers    contract.Peers
	metrics  contract.Metrics
	settings contract.Settings
	list     contract.Hosts
	zone     contract.Zone
	limits   weights.Limits
	view     *kernel.Snapshot[versions]
	stopping chan struct{}

	published *kernel.Mailbox[kernel.AsyncResult[published]]
	told      *kernel.Mailbox[kernel.AsyncResult[told]]
	done      *kernel.Mailbox[kernel.AsyncResult[done]]

	// The fields below belong to the control goroutine.
	standing contract.ZoneView
	hosts    *contract.HostView
	models   map[structs.ServiceName]bool
	watching map[structs.ServiceName]bool
	servers  map[structs.HostName]structs.BackendServer
	plan     *weights.Planner
	timer    *kernel.Timer
	// call numbers the calls to collectors; only the newest one counts.
	call uint64
}

var _ contract.Weights = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.clients, contract.NameClients),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.settings, contract.NameSettings),
		kernel.Bind(&s.list, contract.NameHosts),
		kernel.Bind(&s.zone, contract.NameZone),
	)
	if err != nil {
		return err
	}
	server, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.clock, s.loop, s.workers, s.log = ctx.Clock(), ctx.Loop(), ctx.Workers(), ctx.Log()
	s.prepare()
	return server.Register(rpcName, &Receiver{service: s})
}

// prepare sets up the state before the control loop runs.
func (s *service) prepare() {
	s.limits = limitsOf(s.config.Weights)
	s.view = kernel.NewSnapshot(&versions{})
	s.stopping = make(chan struct{})
	s.hosts = &contract.HostView{}
	s.models = make(map[structs.ServiceName]bool)
	s.watching = make(map[structs.ServiceName]bool)
	s.published = kernel.NewMailbox(s.loop, replyCapacity, s.onPublished)
	s.told = kernel.NewMailbox(s.loop, replyCapacity, s.onTold)
	s.done = kernel.NewMailbox(s.loop, replyCapacity, s.onDone)
}

// Start implements kernel.Service: from now on the settings, the host list and
// the standing are handed to the control goroutine.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.settings.View(), s.onSettings)
	kernel.Subscribe(s.loop, s.workers, s.list.View(), s.onHosts)
	kernel.Subscribe(s.loop, s.workers, s.zone.ZoneView(), s.onStanding)
	return nil
}

// Stop implements kernel.Service: it lets go of the followers that wait.
func (s *service) Stop(context.Context) error {
	close(s.stopping)
	return nil
}

// Newest implements contract.Weights; it may be called from any goroutine.
func (s *service) Newest(model structs.ServiceName) structs.WeightVersion {
	return (*s.view.Load())[model]
}

// onSettings takes in which models there are.
func (s *service) onSettings(view *contract.SettingsView) {
	models := make(map[structs.ServiceName]bool)
	for _, workspace := range view.Resolved {
		if workspace.Model != "" {
			models[workspace.Model] = true
		}
	}
	s.models = models
	s.listEngines()
	s.watchAll()
}

// onHosts takes in which engines there are.
func (s *service) onHosts(view *contract.HostView) {
	s.hosts = view
	s.listEngines()
}

// onStanding begins or ends the collector's work, or turns to another
// collector.
func (s *service) onStanding(standing *contract.ZoneView) {
	before := s.standing
	s.standing = *standing
	switch {
	case standing.IsCollector && (s.plan == nil || s.plan.Term() != standing.Term):
		s.collect(standing.Term)
	case standing.IsCollector:
	case s.plan != nil || before.Address != standing.Address:
		s.unCollect()
		s.ask()
	}
}

// learn takes in a version and reports whether it is news.
func (s *service) learn(model structs.ServiceName, version structs.WeightVersion) bool {
	known := *s.view.Load()
	if version <= known[model] {
		return false
	}
	next := make(versions, len(known)+1)
	for name, newest := range known {
		next[name] = newest
	}
	next[model] = version
	s.log.Infof("Version %d of %s is published.", version, model)
	s.view.Publish(&next)
	if s.plan != nil {
		s.plan.SetTarget(model, version)
		s.step()
	}
	return true
}

// jitter spreads a delay between half and one and a half of it.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay)
}
