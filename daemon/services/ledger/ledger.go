// Package ledger is the service "store.ledger": the client of the platform's
// store, with a time limit on each call, and the following of prefixes.
package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameTransactionalStore, func() kernel.Service { return &service{} })
}

const (
	// callTimeout bounds a call: the store answers in 4 ms, and sixty times
	// slower while it is overloaded.
	callTimeout = 1500 * time.Millisecond
	// answerWithin bounds the wait for a watch's answer beyond the time that
	// it was asked to wait.
	answerWithin = 700 * time.Millisecond
	// renewTimeout bounds the renewal of a lease, so that there is time for
	// another daemon to renew it before it ends.
	renewTimeout = 600 * time.Millisecond
	// retryFirst and retryMost bound the pause before a failed call to the
	// store is made again.
	retryFirst = 60 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// newsCapacity bounds the batches of news that wait for the control loop.
	newsCapacity = 1024
	// idleTimeout is how long a connection is kept: calls come every second.
	idleTimeout = 30 * time.Second
	// beforeAll is a revision that is lower than any.
	beforeAll outside.Revision = 0
	// maxConnections bounds the connections to the store.
	maxConnections = 64
)

type service struct {
	kernel.Base
	store   outside.TransactionalStore
	loop    *kernel.Loop
	workers *kernel.Workers
	log     *logrus.Entry
	metrics contract.Metrics
	peers   contract.Peers
	relays  relays
	// source is the address of the daemon that gives this one the news of the
	// store; empty when it follows the store itself.
	source atomic.Pointer[string]
	tracks []*track

	mu    sync.Mutex
	reach *kernel.Snapshot[reach]
}

// reach says whether the store answers.
type reach struct {
	// since is when it began to; zero while it does not.
	since time.Time
	// lost ends when it no longer does.
	lost context.Context
	lose context.CancelFunc
}

var _ contract.TransactionalStore = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	err = kernel.FindAll(ctx, kernel.Bind(&s.metrics, contract.NameMetrics), kernel.Bind(&s.peers, contract.NamePeers))
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	if err := rpc.Register(rpcName, &Receiver{service: s}); err != nil {
		return err
	}
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.reach = kernel.NewSnapshot(&reach{})
	s.store = platform.NewStore(daemon.Store, transport.New(transport.Options{
		DialTimeout: callTimeout, IdleTimeout: idleTimeout, MaxIdlePerHost: maxConnections, MaxPerHost: maxConnections,
	}))
	return nil
}

// Start implements kernel.Service.
func (s *service) Start() error {
	for _, t := range s.tracks {
		s.workers.Go(t.follow)
	}
	return nil
}

// ReachedSince implements contract.TransactionalStore.
func (s *service) ReachedSince() (time.Time, bool) {
	since := s.reach.Load().since
	return since, !since.IsZero()
}

// saw records whether the store answered a call.
func (s *service) saw(call string, started time.Time, err error) {
	s.metrics.Time("store."+call, time.Since(started))
	absent := err != nil && isAbsence(err)
	if absent {
		s.metrics.Count("store."+call+".failed", 1)
	}
	if absent == s.reach.Load().since.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.reach.Load()
	switch {
	case absent == last.since.IsZero():
	case absent:
		s.log.WithError(err).WithField("call", call).Warn("The store is lost.")
		s.reach.Publish(&reach{})
		last.lose()
	default:
		s.log.WithField("call", call).Info("The store is reached.")
		next := &reach{since: time.Now()}
		next.lost, next.lose = context.WithCancel(context.Background())
		s.reach.Publish(next)
	}
}

// resync has every prefix read whole: where one watch lost history, the others
// may be cut as well and not know it.
func (s *service) resync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.reach.Load()
	if last.since.IsZero() {
		return
	}
	next := &reach{since: last.since}
	next.lost, next.lose = context.WithCancel(context.Background())
	s.reach.Publish(next)
	last.lose()
}

// isAbsence reports whether an error means that the store does not serve.
func isAbsence(err error) bool {
	return errors.Is(err, outside.ErrUnavailable) || errors.Is(err, outside.ErrRefused)
}

// Get implements outside.TransactionalStore.
func (s *service) Get(ctx context.Context, key string) (outside.Record, error) {
	reply, err := s.do(ctx, "read", callTimeout, Call{Op: OpRead, Key: key})
	if err != nil || len(reply.Records) == 0 {
		return outside.Record{}, err
	}
	return reply.Records[0], nil
}

// List implements outside.TransactionalStore.
func (s *service) List(ctx context.Context, prefix string) (outside.Listing, error) {
	reply, err := s.do(ctx, "scan", 2*callTimeout, Call{Op: OpScan, Key: prefix})
	return outside.Listing{Records: reply.Records, AsOf: reply.Revision}, err
}

// Watch implements outside.TransactionalStore.
func (s *service) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) ([]outside.Record, outside.Revision, error) {
	if _, reached := s.ReachedSince(); !reached {
		wait = min(wait, relayFollow)
	}
	reply, err := s.do(ctx, "follow", wait+answerWithin, Call{Op: OpFollow, Key: prefix, After: after, Wait: wait})
	return reply.Records, max(after, reply.Revision), err
}

// Commit implements outside.TransactionalStore.
func (s *service) Commit(ctx context.Context, transaction outside.Transaction) (outside.Revision, error) {
	reply, err := s.do(ctx, "commit", callTimeout, Call{Op: OpCommit, Transaction: transaction})
	return reply.Revision, err
}

// Grant implements outside.TransactionalStore.
func (s *service) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, time.Duration, error) {
	reply, err := s.do(ctx, "grant", renewTimeout, Call{Op: OpGrant, Wait: ttl})
	return reply.Lease, reply.TTL, err
}

// KeepAlive implements outside.TransactionalStore.
func (s *service) KeepAlive(ctx context.Context, lease outside.LeaseID) error {
	_, err := s.do(ctx, "keep-alive", renewTimeout, Call{Op: OpKeepAlive, Lease: lease})
	return err
}

// Revoke implements outside.TransactionalStore.
func (s *service) Revoke(ctx context.Context, lease outside.LeaseID) error {
	_, err := s.do(ctx, "revoke", renewTimeout, Call{Op: OpRevoke, Lease: lease})
	return err
}

// track follows one prefix.
type track struct {
	service *service
	prefix  string
	pace    contract.WatchOptions
	hub     *hub
	// distrusted is when the daemon that is followed last gave no news.
	distrusted time.Duration
	news       *kernel.Mailbox[contract.PrefixChanges]
}

// WatchPrefix implements contract.TransactionalStore.
func (s *service) WatchPrefix(prefix string, pace contract.WatchOptions, handle func(contract.PrefixChanges)) {
	s.tracks = append(s.tracks, &track{
		service: s, prefix: prefix, pace: pace, hub: newHub(), news: kernel.NewMailbox(s.loop, newsCapacity, handle),
	})
}

// follow hands on the changes under the prefix until ctx ends.
func (t *track) follow(ctx context.Context) {
	pause := newPause()
	var revision outside.Revision
	known := false
	for ctx.Err() == nil {
		var err error
		if known {
			revision, err = t.changes(ctx, revision)
		} else {
			revision, err = t.whole(ctx)
		}
		// A watch that was cut may have missed news that came before the cut.
		if known = err == nil; !known {
			t.hub.lose()
		}
		if err == nil {
			pause.Reset()
			continue
		}
		if errors.Is(err, outside.ErrCompacted) {
			t.service.log.WithField("prefix", t.prefix).Info("The history is gone; the prefixes are read whole.")
			t.service.resync()
			continue
		}
		t.rest(ctx, pause.NextBackOff())
	}
}

// rest waits before a failed call is made again, or until another call has found
// the store again.
func (t *track) rest(ctx context.Context, pause time.Duration) {
	now, replaced := t.service.reach.Watch()
	if !now.since.IsZero() {
		replaced = nil
	}
	select {
	case <-time.After(pause):
	case <-replaced:
	case <-ctx.Done():
	}
}

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMost
	pause.Reset()
	return pause
}

// whole learns all that there is under a prefix, from the daemon that is followed
// or from the store.
func (t *track) whole(ctx context.Context) (outside.Revision, error) {
	found, err := t.heardFrom(ctx, beforeAll)
	if errors.Is(err, errNoHub) {
		var listing outside.Listing
		listing, err = t.service.List(ctx, t.prefix)
		found = news{PrefixChanges: contract.PrefixChanges{Records: listing.Records, Full: true}, through: listing.AsOf}
	}
	if err != nil {
		return 0, err
	}
	t.hub.reset(found.Records, found.through)
	return found.through, t.post(found.PrefixChanges)
}

// changes waits for news from the daemon that is followed or, where there is none,
// from the store itself.
func (t *track) changes(ctx context.Context, after outside.Revision) (outside.Revision, error) {
	rest := time.Duration(0)
	found, err := t.heardFrom(ctx, after)
	if errors.Is(err, errNoHub) {
		rest = t.pace.BatchDelay
		found, err = t.watch(ctx, after)
	}
	if err != nil {
		return after, err
	}
	if found.Full {
		t.hub.reset(found.Records, found.through)
	} else {
		t.hub.add(found.Records, found.through)
	}
	if !found.Full && len(found.Records) == 0 {
		return found.through, nil
	}
	if err := t.post(found.PrefixChanges); err != nil {
		return after, err
	}
	select {
	case <-time.After(rest):
	case <-ctx.Done():
	}
	return found.through, nil
}

// watch waits for news from the store itself.
func (t *track) watch(ctx context.Context, after outside.Revision) (news, error) {
	// A watch that waits on a store that no longer serves would hear nothing of
	// its return.
	if lost := t.service.reach.Load().lost; lost != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(lost, cancel)()
	}
	records, through, err := t.service.Watch(ctx, t.prefix, after, t.pace.PollTimeout)
	if err != nil {
		return news{}, err
	}
	t.hub.note(0)
	return news{PrefixChanges: contract.PrefixChanges{Records: records}, through: through}, nil
}

// post hands news to the control loop. A full mailbox loses history, so the
// prefix must then be read whole.
func (t *track) post(news contract.PrefixChanges) error {
	if err := t.news.Post(news); err != nil {
		return errors.Wrap(outside.ErrCompacted, err.Error())
	}
	return nil
}
