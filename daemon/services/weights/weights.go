// Package weights implements the service "control.weights". It watches for new
// weight versions and orders the model engines of the availability zone to load
// them. Only the zone's collector watches the weight store and sends orders; the
// other daemons, its followers, get new versions from the collector.
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
	// replyCapacity exceeds the number of calls that can be in flight.
	replyCapacity = 1024
	// longPollTimeout is the maximum time that the weight store holds a watch, and
	// that a collector holds the watch of a follower.
	longPollTimeout = 10 * time.Second
	// watchCallTimeout bounds a follower's call to a collector that hangs.
	watchCallTimeout = 2 * longPollTimeout
	retryDelay       = 500 * time.Millisecond
	// readBackTimeout bounds a read of the version that an engine runs.
	readBackTimeout = 2 * time.Second
)

// plannerLimits returns the limits of the planner for a daemon's settings.
func plannerLimits(settings config.Weights) weights.Limits {
	return weights.Limits{
		MaxConcurrentOrders: settings.Orders,
		OrdersPerSecond:     settings.OrdersPerSecond,
		MaxConcurrentReads:  32,
		ReadsPerSecond:      20,
		RetryDelay:          time.Second,
		MaxRetryDelay:       15 * time.Second,
		ReadBackDelay:       2 * time.Second,
		MaxReadBackInterval: 2 * time.Minute,
	}
}

// versions maps models to their newest known versions. A published map is
// immutable.
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
	hosts    contract.Hosts
	zone     contract.Zone
	limits   weights.Limits
	view     *kernel.Snapshot[versions]
	stopping chan struct{}

	storeReplies     *kernel.Mailbox[kernel.AsyncResult[storeReply]]
	collectorReplies *kernel.Mailbox[kernel.AsyncResult[collectorReply]]
	engineReplies    *kernel.Mailbox[kernel.AsyncResult[engineReply]]

	// The fields below belong to the control goroutine.
	zoneView    contract.ZoneView
	hostView    *contract.HostView
	models      map[structs.ServiceName]bool
	watching    map[structs.ServiceName]bool
	engines     map[structs.HostName]structs.BackendServer
	planner     *weights.Planner
	actionTimer *kernel.Timer
	// callNumber is the number of the newest call to a collector. Only the reply
	// to that call starts the next one.
	callNumber uint64
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
		kernel.Bind(&s.hosts, contract.NameHosts),
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

// prepare initializes the state before the control loop runs.
func (s *service) prepare() {
	s.limits = plannerLimits(s.config.Weights)
	s.view = kernel.NewSnapshot(&versions{})
	s.stopping = make(chan struct{})
	s.hostView = &contract.HostView{}
	s.models = make(map[structs.ServiceName]bool)
	s.watching = make(map[structs.ServiceName]bool)
	s.storeReplies = kernel.NewMailbox(s.loop, replyCapacity, s.onStoreReply)
	s.collectorReplies = kernel.NewMailbox(s.loop, replyCapacity, s.onCollectorReply)
	s.engineReplies = kernel.NewMailbox(s.loop, replyCapacity, s.onEngineReply)
}

// Start implements kernel.Service. It subscribes the control goroutine to the
// settings, the host list and the state of the zone.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.settings.View(), s.onSettings)
	kernel.Subscribe(s.loop, s.workers, s.hosts.View(), s.onHosts)
	kernel.Subscribe(s.loop, s.workers, s.zone.ZoneView(), s.onZoneView)
	return nil
}

// Stop implements kernel.Service. It ends the waiting calls of followers.
func (s *service) Stop(context.Context) error {
	close(s.stopping)
	return nil
}

// Newest implements contract.Weights; it may be called from any goroutine.
func (s *service) Newest(model structs.ServiceName) structs.WeightVersion {
	return (*s.view.Load())[model]
}

// onSettings updates the models from the settings of the workspaces.
func (s *service) onSettings(view *contract.SettingsView) {
	models := make(map[structs.ServiceName]bool)
	for _, workspace := range view.Resolved {
		if workspace.Model != "" {
			models[workspace.Model] = true
		}
	}
	s.models = models
	s.updateEngines()
	s.watchModels()
}

// onHosts updates the engines from the host list.
func (s *service) onHosts(view *contract.HostView) {
	s.hostView = view
	s.updateEngines()
}

// onZoneView starts or stops the collector's work, or starts to watch another
// collector.
func (s *service) onZoneView(view *contract.ZoneView) {
	before := s.zoneView
	s.zoneView = *view
	switch {
	case view.IsCollector && (s.planner == nil || s.planner.Term() != view.Term):
		s.startCollector(view.Term)
	case view.IsCollector:
	case s.planner != nil || before.Address != view.Address:
		s.stopCollector()
		s.watchCollector()
	}
}

// recordVersion publishes a version unless it is known, and reports whether it was
// new.
func (s *service) recordVersion(model structs.ServiceName, version structs.WeightVersion) bool {
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
	if s.planner != nil {
		s.planner.SetTarget(model, version)
		s.runDueActions()
	}
	return true
}

// jitter returns a random duration between 0.5 and 1.5 times a delay.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay)
}
