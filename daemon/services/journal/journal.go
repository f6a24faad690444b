// Package journal implements the service "traffic.journal", which runs each
// submission at most once. The ownership of buckets is control state.
// Committing the records of a bucket is traffic: each owned bucket has a
// goroutine for it.
package journal

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameJournal, func() kernel.Service {
		return &service{policy: journal.GroupCommit(), timeouts: defaultTimeouts()}
	})
}

const (
	// handBackTimeout bounds the wait for the submissions in flight and for the writes
	// that hand the buckets back, within the time that a planned stop has left.
	handBackTimeout = 10 * time.Second
	// ownerRequestCapacity bounds the requests for the owner of a bucket that
	// wait for the control loop.
	ownerRequestCapacity = 4096
	// resultCapacity bounds the lookup results, and the ended committers, that
	// wait for the control loop.
	resultCapacity = 2 * journal.BucketCount
	// rpcName is the name under which the receiver is registered with net/rpc.
	rpcName = "Journal"
)

type service struct {
	kernel.Base
	policy   journal.WritePolicy
	timeouts ownerTimeouts
	clock    clockwork.Clock
	loop     *kernel.Loop
	workers  *kernel.Workers
	log      *logrus.Entry
	clients  contract.Clients
	settings contract.Settings
	balancer contract.Balancer
	// quarantine is implemented by the balancer, too.
	quarantine contract.Quarantine
	peers      contract.Peers
	metrics    contract.Metrics
	address    string
	self       structs.Incarnation
	// view may be loaded on any goroutine and is published by the control
	// goroutine.
	view            *kernel.Snapshot[ownerView]
	calls           *kernel.LoopExecutor
	ownerRequests   *kernel.Mailbox[ownerRequest]
	lookupResults   *kernel.Mailbox[kernel.AsyncResult[lookupResult]]
	endedCommitters *kernel.Mailbox[*committer]
	// forwards holds the goroutines of calls to other owners, and committers
	// those of the owned buckets, which end when committersCtx is cancelled.
	forwards       conc.WaitGroup
	committers     conc.WaitGroup
	committersCtx  context.Context
	stopCommitters context.CancelFunc

	// The fields below belong to the control goroutine.

	// pendingRequests holds, for each bucket, the requests that wait for the
	// lookup in progress.
	pendingRequests [journal.BucketCount][]ownerRequest
	// stopping is set once a planned stop has begun; no lookup starts from then
	// on.
	stopping bool
}

var _ contract.Journal = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	if err := s.bindServices(ctx); err != nil {
		return err
	}
	server, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.clock, s.loop, s.workers, s.log = ctx.Clock(), ctx.Loop(), ctx.Workers(), ctx.Log()
	s.address = daemon.Listen.Peers
	s.self = structs.Incarnation{Host: daemon.Host, Start: uint64(s.clock.Now().UnixNano())}
	s.view = kernel.NewSnapshot(&ownerView{})
	s.calls = kernel.NewLoopExecutor(s.loop)
	s.ownerRequests = kernel.NewMailbox(s.loop, ownerRequestCapacity, s.handleOwnerRequest)
	s.lookupResults = kernel.NewMailbox(s.loop, resultCapacity, s.handleLookupResult)
	s.endedCommitters = kernel.NewMailbox(s.loop, resultCapacity, s.handleCommitterEnd)
	s.committersCtx, s.stopCommitters = context.WithCancel(context.Background())
	return server.Register(rpcName, &Receiver{service: s})
}

// bindServices looks up the services that the journal uses.
func (s *service) bindServices(ctx *kernel.Context) error {
	var err error
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.clients, contract.NameClients),
		kernel.Bind(&s.settings, contract.NameSettings),
		kernel.Bind(&s.balancer, contract.NameBalance),
		kernel.Bind(&s.quarantine, contract.NameBalance),
		kernel.Bind(&s.peers, contract.NamePeers),
	)
	if err != nil {
		return err
	}
	s.metrics, err = kernel.Find[contract.Metrics](ctx, contract.NameMetrics)
	return err
}

func (s *service) bucketStore() *bucketStore { return &bucketStore{store: s.clients.Platform().Store} }

// Stop implements kernel.Service. It waits for the submissions in flight and
// hands the buckets back, so that their next owners need not detect that this
// one is gone.
func (s *service) Stop(ctx context.Context) error {
	// A bucket that cannot be handed back, because the store is unreachable, is
	// claimed by another daemon from its head.
	ctx, cancel := context.WithTimeout(ctx, handBackTimeout)
	defer cancel()
	defer s.forwards.Wait()
	defer s.committers.Wait()
	defer s.stopCommitters()
	var committers []*committer
	err := s.calls.Do(ctx, func() {
		s.stopping = true
		committers = s.view.Load().committers()
		// Requested together with stopping, so that no bucket admits a
		// submission from then on. The channel has room for the one request.
		for _, c := range committers {
			c.drain <- struct{}{}
		}
	})
	if err != nil {
		return err
	}
	for _, c := range committers {
		select {
		case <-c.done:
		case <-ctx.Done():
			s.log.Warn("Some buckets were not handed back in time.")
			return nil
		}
	}
	return nil
}
