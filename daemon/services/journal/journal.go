// Package journal is the service "traffic.journal": it runs submissions at
// most once. Which buckets this daemon owns is control state; committing the
// records of a bucket is traffic, with a goroutine for each owned bucket.
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
		return &service{strategy: journal.GroupCommit(), spans: defaultSpans()}
	})
}

const (
	// handBackWithin is how long a planned stop waits for the submissions in
	// flight and for the store.
	handBackWithin = 10 * time.Second
	wantCapacity   = 4096
	replyCapacity  = 2 * journal.BucketCount
	rpcName        = "Journal"
)

type service struct {
	kernel.Base
	strategy journal.WritePolicy
	spans    spans
	clock    clockwork.Clock
	loop     *kernel.Loop
	workers  *kernel.Workers
	log      *logrus.Entry
	clients  contract.Clients
	settings contract.Settings
	balancer contract.Balancer
	// quarantine is offered by the balancer too.
	quarantine contract.Quarantine
	peers      contract.Peers
	metrics    contract.Metrics
	address    string
	self       structs.Incarnation
	view       *kernel.Snapshot[view]
	calls      *kernel.LoopExecutor
	wants      *kernel.Mailbox[want]
	found      *kernel.Mailbox[kernel.AsyncResult[finding]]
	losses     *kernel.Mailbox[*committer]
	// committers are the goroutines of the owned buckets, which end with
	// committing.
	forwards      conc.WaitGroup
	committers    conc.WaitGroup
	committing    context.Context
	endCommitting context.CancelFunc

	// The fields below belong to the control goroutine.
	waiting  [journal.BucketCount][]want
	stopping bool
}

var _ contract.Journal = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	if err := s.find(ctx); err != nil {
		return err
	}
	server, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.clock, s.loop, s.workers, s.log = ctx.Clock(), ctx.Loop(), ctx.Workers(), ctx.Log()
	s.address = daemon.Listen.Peers
	s.self = structs.Incarnation{Host: daemon.Host, Start: uint64(s.clock.Now().UnixNano())}
	s.view = kernel.NewSnapshot(&view{})
	s.calls = kernel.NewLoopExecutor(s.loop)
	s.wants = kernel.NewMailbox(s.loop, wantCapacity, s.onWant)
	s.found = kernel.NewMailbox(s.loop, replyCapacity, s.onFound)
	s.losses = kernel.NewMailbox(s.loop, replyCapacity, s.onLoss)
	s.committing, s.endCommitting = context.WithCancel(context.Background())
	return server.Register(rpcName, &Receiver{service: s})
}

// find finds the services that the journal uses.
func (s *service) find(ctx *kernel.Context) error {
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

func (s *service) records() *records { return &records{store: s.clients.Platform().Store} }

// Stop implements kernel.Service: it finishes what is in flight and hands the
// buckets back, so that the next owner need not wait to find this one gone.
func (s *service) Stop(ctx context.Context) error {
	// Without the store no bucket can be handed back; another daemon then
	// takes it over by its head.
	ctx, cancel := context.WithTimeout(ctx, handBackWithin)
	defer cancel()
	defer s.forwards.Wait()
	defer s.committers.Wait()
	defer s.endCommitting()
	var owned []*committer
	err := s.calls.Do(ctx, func() {
		s.stopping = true
		owned = s.view.Load().owned()
	})
	if err != nil {
		return err
	}
	for _, each := range owned {
		each.drains <- struct{}{}
	}
	for _, each := range owned {
		select {
		case <-each.done:
		case <-ctx.Done():
			s.log.Warn("Not every bucket was handed back in time.")
			return nil
		}
	}
	return nil
}
