// Package zone is the service "control.zone": a daemon's part in the protocol
// of its availability zone. Every daemon follows; the one that holds the
// zone's lease in the store also collects.
package zone

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameZone, func() kernel.Service { return &service{} })
}

const (
	askCapacity   = 4096
	replyCapacity = 64
	// holdParts and askParts are parts of the span T of a grant, in sixths: a
	// collector without news holds an ask for four of them, and a follower
	// gives an ask up after five.
	spanParts = 6
	holdParts = 4
	askParts  = 5
	// keepAliveShare divides the time to live of the lease in the store.
	keepAliveShare = 3
	// retryDelay is the pause of a follower that reached no collector.
	retryDelay = 200 * time.Millisecond
	// silentSpans is the count of spans T after which a member that does not
	// ask is taken off the roster.
	silentSpans = 10
	rpcName     = "Zone"
)

type service struct {
	kernel.Base
	config   config.Daemon
	clock    clockwork.Clock
	loop     *kernel.Loop
	workers  *kernel.Workers
	log      *logrus.Entry
	clients  contract.Clients
	peers    contract.Peers
	settings contract.SettingsControl
	span     time.Duration
	ttl      time.Duration
	started  time.Time
	self     structs.Incarnation
	standing *kernel.Snapshot[contract.ZoneView]
	calls    *kernel.LoopExecutor

	asks     *kernel.Mailbox[askCall]
	answers  *kernel.Mailbox[kernel.AsyncResult[answer]]
	found    *kernel.Mailbox[kernel.AsyncResult[finding]]
	looked   *kernel.Mailbox[kernel.AsyncResult[finding]]
	renewed  *kernel.Mailbox[kernel.AsyncResult[renewal]]
	rostered *kernel.Mailbox[kernel.AsyncResult[rosterWrite]]

	// The fields below belong to the control goroutine.
	follower *zone.Follower
	known    record
	collects *collects
	stopping bool

	// parts and onRole are set while services are provisioned.
	parts  []contract.SharedState
	onRole []func(collects bool)
	// looking says that a search of look is on its way; lookAgain is when the
	// next one may begin.
	looking   bool
	lookAgain zone.Instant
}

var _ contract.ZoneControl = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.clients, contract.NameClients),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.settings, contract.NameSettings),
	)
	if err != nil {
		return err
	}
	server, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.clock, s.loop, s.workers, s.log = ctx.Clock(), ctx.Loop(), ctx.Workers(), ctx.Log()
	s.calls = kernel.NewLoopExecutor(s.loop)
	s.prepare()
	return server.Register(rpcName, &Receiver{service: s})
}

// prepare sets up the state before the control loop runs.
func (s *service) prepare() {
	s.span = time.Duration(s.config.Lease.Grant)
	s.ttl = time.Duration(s.config.Lease.Store)
	s.started = s.clock.Now()
	s.self = structs.Incarnation{Host: s.config.Host, Start: uint64(s.started.UnixNano())}
	s.follower = zone.NewFollower(s.self, s.span)
	s.standing = kernel.NewSnapshot(&contract.ZoneView{Self: s.self})
	s.asks = kernel.NewMailbox(s.loop, askCapacity, s.onAsk)
	s.answers = kernel.NewMailbox(s.loop, replyCapacity, s.onAnswer)
	s.found = kernel.NewMailbox(s.loop, replyCapacity, s.onFound)
	s.looked = kernel.NewMailbox(s.loop, replyCapacity, s.onLooked)
	s.renewed = kernel.NewMailbox(s.loop, replyCapacity, s.onRenewed)
	s.rostered = kernel.NewMailbox(s.loop, replyCapacity, s.onRostered)
	s.settings.OnGrantStateChange(s.onNews)
	s.loop.AfterFunc(0, s.find)
}

// ZoneView implements contract.Zone.
func (s *service) ZoneView() *kernel.Snapshot[contract.ZoneView] { return s.standing }

// part returns a number of sixths of the span T.
func (s *service) part(parts time.Duration) time.Duration { return s.span * parts / spanParts }

// now reads the clock as the protocol does.
func (s *service) now() zone.Instant { return s.clock.Since(s.started) }

func (s *service) publish() {
	standing := &contract.ZoneView{
		Self:      s.self,
		Collector: s.known.Host,
		Address:   s.known.Address,
		Term:      s.follower.Term(),
	}
	if s.collects != nil {
		// The daemon follows its own term only once it has asked itself.
		standing.IsCollector, standing.Term = true, s.collects.decide.Term()
		standing.Roster = s.collects.decide.Roster()
	}
	s.standing.Publish(standing)
}

// Stop implements kernel.Service: a collector hands its lease back, so that
// another daemon need not wait for it to lapse.
func (s *service) Stop(ctx context.Context) error {
	var held *collects
	err := s.calls.Do(ctx, func() {
		s.stopping = true
		held = s.collects
		s.stepDown()
	})
	if err != nil || held == nil {
		return err
	}
	return s.clients.Platform().Store.Revoke(ctx, held.lease)
}
