// Package steps is the service "traffic.steps": it keeps finished samples on
// two hosts, gathers them into steps and hands each step to its trainer.
//
// A daemon has two parts here. As a holder it keeps bodies and offers what it
// knows of them to the owner of their workspace. As the owner of a workspace,
// which any daemon may become, it seals the steps. Which workspaces a daemon
// owns is control state; the owner's pool and the holder's samples are traffic
// state behind locks of their own.
package steps

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameSteps, func() kernel.Service { return &service{} })
}

const (
	rpcName       = "Steps"
	wantCapacity  = 4096
	replyCapacity = 256
	// lookLimit bounds a look at the head with a take-over.
	lookLimit = 10 * time.Second
	// callLimit bounds a call to another daemon that is answered at once.
	callLimit = 2 * time.Second
	// holdLimit is how long an owner holds a request for a step that is not
	// ready, and holdGrace what the answer may take beyond. holdMargin is left
	// of the request's own time for the answer to arrive.
	holdLimit  = 2 * time.Second
	holdGrace  = time.Second
	holdMargin = 100 * time.Millisecond
)

type service struct {
	kernel.Base
	config   config.Daemon
	clock    clockwork.Clock
	loop     *kernel.Loop
	workers  *kernel.Workers
	log      *logrus.Entry
	clients  contract.Clients
	hosts    contract.Hosts
	settings contract.Settings
	peers    contract.Peers
	metrics  contract.Metrics
	zone     contract.Zone

	wants  *kernel.Mailbox[want]
	looked *kernel.Mailbox[kernel.AsyncResult[looked]]
	losses *kernel.Mailbox[loss]
	// announced keeps the newest owner of each workspace that was heard of.
	announced *kernel.CoalescingMailbox[structs.WorkspaceName, ownership]
	owners    *kernel.Snapshot[owners]

	// The fields below belong to the control goroutine.
	owned   owners
	waiting map[structs.WorkspaceName][]want

	// The fields below are traffic state.
	holdings   *holdings
	number     atomic.Uint64
	offerersMu sync.Mutex
	offerers   map[structs.WorkspaceName]*offerer
	group      conc.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

var _ contract.Steps = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	if err := s.find(ctx); err != nil {
		return err
	}
	server, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.clock, s.loop, s.workers, s.log = ctx.Clock(), ctx.Loop(), ctx.Workers(), ctx.Log()
	if err := s.prepare(); err != nil {
		return err
	}
	return server.Register(rpcName, &Receiver{service: s})
}

// find finds the services that this one uses.
func (s *service) find(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.clients, contract.NameClients),
		kernel.Bind(&s.hosts, contract.NameHosts),
		kernel.Bind(&s.settings, contract.NameSettings),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.metrics, contract.NameMetrics),
	)
	if err != nil {
		return err
	}
	s.zone, err = kernel.Find[contract.Zone](ctx, contract.NameZone)
	return err
}

// prepare sets up the state before the control loop runs.
func (s *service) prepare() error {
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wants = kernel.NewMailbox(s.loop, wantCapacity, s.onWant)
	s.looked = kernel.NewMailbox(s.loop, replyCapacity, s.onLooked)
	s.losses = kernel.NewMailbox(s.loop, replyCapacity, s.onLoss)
	s.announced = kernel.NewCoalescingMailbox(s.loop, wantCapacity, s.onAnnounced)
	s.owned = make(owners)
	s.owners = kernel.NewSnapshot(&owners{})
	s.waiting = make(map[structs.WorkspaceName][]want)
	s.offerers = make(map[structs.WorkspaceName]*offerer)
	if s.config.DataFolder == "" {
		s.holdings = newHoldings(newMemory(), s.config.Host, maxMemory)
		return nil
	}
	kept, err := openDisk(s.config.DataFolder)
	if err != nil {
		return err
	}
	s.holdings = newHoldings(kept, s.config.Host, maxDisk)
	return s.holdings.recover()
}

// Start implements kernel.Service.
func (s *service) Start() error {
	for _, workspace := range s.holdings.workspaces() {
		s.offererOf(workspace).renew()
	}
	return nil
}

// Stop implements kernel.Service.
func (s *service) Stop(ctx context.Context) error {
	s.handOver(ctx)
	s.offerersMu.Lock()
	s.cancel()
	s.offerersMu.Unlock()
	s.group.Wait()
	return s.holdings.bodies.close()
}

// self names this run of the daemon as an owner.
func (s *service) self() step.Owner {
	return step.Owner{
		Incarnation: s.zone.ZoneView().Load().Self,
		Address:     s.config.Listen.Peers,
	}
}
