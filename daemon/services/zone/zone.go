// Package zone implements the service "control.zone", which runs this daemon's
// side of the lease protocol of its availability zone. Every daemon is a
// follower; the daemon that holds the zone's lease in the store is also the
// collector.
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
	requestCapacity = 4096
	replyCapacity   = 64
	// A grant lasts for the duration T (Lease.Grant). Within it, in sixths of
	// T, a collector holds a request that it has no update for, and a follower
	// waits for the reply to a request.
	sixthsPerGrant       = 6
	holdSixths           = 4
	requestTimeoutSixths = 5
	// keepAlivesPerTTL is the number of keep-alives within the time to live of
	// the collector's lease in the store.
	keepAlivesPerTTL = 3
	// retryDelay is the mean delay before a follower that reached no collector
	// retries.
	retryDelay = 200 * time.Millisecond
	// unresponsiveGrants is the number of durations T without a request after
	// which a member is removed from the roster.
	unresponsiveGrants = 10
	rpcName            = "Zone"
)

type service struct {
	kernel.Base
	config        config.Daemon
	clock         clockwork.Clock
	loop          *kernel.Loop
	workers       *kernel.Workers
	log           *logrus.Entry
	clients       contract.Clients
	peers         contract.Peers
	settings      contract.SettingsControl
	grantDuration time.Duration
	storeLeaseTTL time.Duration
	clockOrigin   time.Time
	self          structs.Incarnation
	view          *kernel.Snapshot[contract.ZoneView]
	loopCalls     *kernel.LoopExecutor

	requests        *kernel.Mailbox[pendingRequest]
	replies         *kernel.Mailbox[kernel.AsyncResult[timedReply]]
	searchResults   *kernel.Mailbox[kernel.AsyncResult[searchResult]]
	successorChecks *kernel.Mailbox[kernel.AsyncResult[searchResult]]
	leaseRenewals   *kernel.Mailbox[kernel.AsyncResult[leaseRenewal]]
	rosterWrites    *kernel.Mailbox[kernel.AsyncResult[rosterWrite]]

	// The fields below belong to the control goroutine.
	follower       *zone.Follower
	knownCollector collectorRecord
	collector      *collectorState
	stopping       bool

	// sharedStates and collectorChangeHandlers are set while services are
	// provisioned and only read after that.
	sharedStates            []contract.SharedState
	collectorChangeHandlers []func(isCollector bool)
	// checkingSuccessor is set while a store lookup of checkSuccessor is in
	// flight; nextSuccessorCheck is the earliest time for the next one.
	checkingSuccessor  bool
	nextSuccessorCheck zone.Instant
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
	s.loopCalls = kernel.NewLoopExecutor(s.loop)
	s.prepare()
	return server.Register(rpcName, &Receiver{service: s})
}

// prepare sets up the state before the control loop runs.
func (s *service) prepare() {
	s.grantDuration = time.Duration(s.config.Lease.Grant)
	s.storeLeaseTTL = time.Duration(s.config.Lease.Store)
	s.clockOrigin = s.clock.Now()
	s.self = structs.Incarnation{Host: s.config.Host, Start: uint64(s.clockOrigin.UnixNano())}
	s.follower = zone.NewFollower(s.self, s.grantDuration)
	s.view = kernel.NewSnapshot(&contract.ZoneView{Self: s.self})
	s.requests = kernel.NewMailbox(s.loop, requestCapacity, s.onRequest)
	s.replies = kernel.NewMailbox(s.loop, replyCapacity, s.onReply)
	s.searchResults = kernel.NewMailbox(s.loop, replyCapacity, s.onSearchResult)
	s.successorChecks = kernel.NewMailbox(s.loop, replyCapacity, s.onSuccessorCheck)
	s.leaseRenewals = kernel.NewMailbox(s.loop, replyCapacity, s.onLeaseRenewal)
	s.rosterWrites = kernel.NewMailbox(s.loop, replyCapacity, s.onRosterWrite)
	s.settings.OnGrantStateChange(s.onGrantStateChange)
	s.loop.AfterFunc(0, s.findCollector)
}

// ZoneView implements contract.Zone.
func (s *service) ZoneView() *kernel.Snapshot[contract.ZoneView] { return s.view }

// grantSixths returns count sixths of the grant duration T.
func (s *service) grantSixths(count time.Duration) time.Duration {
	return s.grantDuration * count / sixthsPerGrant
}

// now returns the time since clockOrigin, as the zone protocol counts it.
func (s *service) now() zone.Instant { return s.clock.Since(s.clockOrigin) }

func (s *service) publishView() {
	view := &contract.ZoneView{
		Self:      s.self,
		Collector: s.knownCollector.Host,
		Address:   s.knownCollector.Address,
		Term:      s.follower.Term(),
	}
	if s.collector != nil {
		// The follower has the collector's term only after its first request
		// to itself.
		view.IsCollector, view.Term = true, s.collector.protocol.Term()
		view.Roster = s.collector.protocol.Roster()
	}
	s.view.Publish(view)
}

// Stop implements kernel.Service. A collector revokes its lease, so that
// another daemon can take over the role before the lease would expire.
func (s *service) Stop(ctx context.Context) error {
	var collector *collectorState
	err := s.loopCalls.Do(ctx, func() {
		s.stopping = true
		collector = s.collector
		s.stepDown()
	})
	if err != nil || collector == nil {
		return err
	}
	return s.clients.Platform().Store.Revoke(ctx, collector.storeLease)
}
