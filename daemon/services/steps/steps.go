// Package steps implements the service "traffic.steps". It stores finished
// samples on two hosts, groups them into steps and delivers each step to its
// trainer.
//
// A daemon has two roles here. As a holder, it stores the bodies of samples and
// offers their metadata to the owner of their workspace. As the owner of a
// workspace, which any daemon may become, it seals steps: it fixes the samples of
// a step in a segment of the store and commits the segment by a compare-and-swap
// of the workspace's head. Which daemons own which workspaces is control state;
// the owner's pool and the holder's samples are traffic state, each with a lock
// of its own.
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
	rpcName         = "Steps"
	requestCapacity = 4096
	replyCapacity   = 256
	// lookupTimeout bounds an owner lookup, including a takeover.
	lookupTimeout = 10 * time.Second
	// callTimeout bounds a call to which another daemon replies without waiting.
	callTimeout = 2 * time.Second
	// maxHold is the maximum time that an owner holds a request for a step that
	// is not ready. replyGrace is added to the hold in the timeout of the call.
	// replyMargin is the time before the request's deadline that is reserved for
	// the reply.
	maxHold     = 2 * time.Second
	replyGrace  = time.Second
	replyMargin = 100 * time.Millisecond
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

	ownerRequests   *kernel.Mailbox[ownerRequest]
	ownerLookups    *kernel.Mailbox[kernel.AsyncResult[ownerLookup]]
	ownershipLosses *kernel.Mailbox[ownershipLoss]
	// announcements keeps the newest announced owner of each workspace.
	announcements *kernel.CoalescingMailbox[structs.WorkspaceName, ownership]
	owners        *kernel.Snapshot[owners]

	// The fields below belong to the control goroutine.
	knownOwners     owners
	pendingRequests map[structs.WorkspaceName][]ownerRequest

	// The fields below are traffic state.
	sampleStore      *sampleStore
	lastSampleNumber atomic.Uint64
	offerersMu       sync.Mutex
	offerers         map[structs.WorkspaceName]*offerer
	offererGroup     conc.WaitGroup
	ctx              context.Context
	cancel           context.CancelFunc
}

var _ contract.Steps = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	if err := s.findServices(ctx); err != nil {
		return err
	}
	server, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.clock, s.loop, s.workers, s.log = ctx.Clock(), ctx.Loop(), ctx.Workers(), ctx.Log()
	if err := s.initState(); err != nil {
		return err
	}
	return server.Register(rpcName, &Receiver{service: s})
}

// findServices looks up the services that this one uses.
func (s *service) findServices(ctx *kernel.Context) error {
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

// initState initializes the state before the control loop runs.
func (s *service) initState() error {
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.ownerRequests = kernel.NewMailbox(s.loop, requestCapacity, s.onOwnerRequest)
	s.ownerLookups = kernel.NewMailbox(s.loop, replyCapacity, s.onOwnerLookup)
	s.ownershipLosses = kernel.NewMailbox(s.loop, replyCapacity, s.onOwnershipLoss)
	s.announcements = kernel.NewCoalescingMailbox(s.loop, requestCapacity, s.onAnnouncement)
	s.knownOwners = make(owners)
	s.owners = kernel.NewSnapshot(&owners{})
	s.pendingRequests = make(map[structs.WorkspaceName][]ownerRequest)
	s.offerers = make(map[structs.WorkspaceName]*offerer)
	if s.config.DataFolder == "" {
		s.sampleStore = newSampleStore(newMemoryStore(), s.config.Host, maxMemoryBytes)
		return nil
	}
	disk, err := openDiskStore(s.config.DataFolder)
	if err != nil {
		return err
	}
	s.sampleStore = newSampleStore(disk, s.config.Host, maxDiskBytes)
	return s.sampleStore.recover()
}

// Start implements kernel.Service.
func (s *service) Start() error {
	for _, workspace := range s.sampleStore.workspaces() {
		s.offererOf(workspace).notifyOwnerChanged()
	}
	return nil
}

// Stop implements kernel.Service.
func (s *service) Stop(ctx context.Context) error {
	s.handOverSamples(ctx)
	s.offerersMu.Lock()
	s.cancel()
	s.offerersMu.Unlock()
	s.offererGroup.Wait()
	return s.sampleStore.records.close()
}

// selfOwner returns this incarnation of the daemon as an owner.
func (s *service) selfOwner() step.Owner {
	return step.Owner{
		Incarnation: s.zone.ZoneView().Load().Self,
		Address:     s.config.Listen.Peers,
	}
}
