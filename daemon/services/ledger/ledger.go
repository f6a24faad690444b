// Package ledger is the service "store.ledger": a client of the platform's
// transactional store with a timeout for each call, relaying of calls through
// other daemons, and watches of prefixes.
package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
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
	// callTimeout bounds a call: the store answers in 4 ms, and takes sixty
	// times as long while it is overloaded.
	callTimeout = 1500 * time.Millisecond
	// watchReplyMargin is added to the timeout of a watch for the response to
	// arrive.
	watchReplyMargin = 700 * time.Millisecond
	// leaseCallTimeout bounds a call on a lease. It leaves another daemon
	// enough time to renew the lease before it expires.
	leaseCallTimeout = 600 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the exponential delay before a
	// failed call to the store is retried.
	initialRetryDelay = 60 * time.Millisecond
	maxRetryDelay     = 1200 * time.Millisecond
	// mailboxCapacity bounds the batches of changes that wait for the control
	// loop.
	mailboxCapacity = 1024
	// idleTimeout is how long an idle connection is kept: calls are made every
	// second.
	idleTimeout = 30 * time.Second
	// zeroRevision is lower than any revision of a record.
	zeroRevision outside.Revision = 0
	// maxConnections bounds the connections to the store.
	maxConnections = 64
)

type service struct {
	kernel.Base
	store     outside.TransactionalStore
	loop      *kernel.Loop
	workers   *kernel.Workers
	log       *logrus.Entry
	metrics   contract.Metrics
	peers     contract.Peers
	relays    relayList
	upstreams upstreams
	watches   []*prefixWatch
	// maxDirectDelay is the result of the function of that name.
	maxDirectDelay time.Duration
	// rateLimitedSince is when the store began to refuse every call with its rate
	// limit, in nanoseconds since boot; zero while it does not.
	rateLimitedSince atomic.Int64
	// nextUnreachableTry is from when on a daemon that believes that the store is
	// unreachable may try it again, in nanoseconds since boot.
	nextUnreachableTry atomic.Int64

	mu           sync.Mutex
	connectivity *kernel.Snapshot[connectivity]
}

// connectivity is the immutable state of the connection to the store.
type connectivity struct {
	// reachableSince is when the store became reachable; zero while it is not.
	reachableSince time.Time
	// watchContext is canceled when the store becomes unreachable, or when all
	// prefixes must be listed again.
	watchContext  context.Context
	cancelWatches context.CancelFunc
}

var (
	_ contract.TransactionalStore = (*service)(nil)
	_ contract.StoreKnowledge     = (*service)(nil)
)

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
	s.connectivity = kernel.NewSnapshot(&connectivity{})
	s.upstreams.known = make(chan struct{})
	s.maxDirectDelay = maxDirectDelay(daemon.Platform.ConfigApply)
	s.store = platform.NewStore(daemon.Store, transport.New(transport.Options{
		DialTimeout: callTimeout, IdleTimeout: idleTimeout, MaxIdlePerHost: maxConnections, MaxPerHost: maxConnections,
	}))
	return nil
}

// Start implements kernel.Service.
func (s *service) Start() error {
	for _, w := range s.watches {
		s.workers.Go(w.run)
	}
	return nil
}

// Stop implements kernel.Service. It ends the polls of other daemons.
func (s *service) Stop(context.Context) error {
	for _, w := range s.watches {
		w.cache.stop()
	}
	return nil
}

// ReachedSince implements contract.TransactionalStore.
func (s *service) ReachedSince() (time.Time, bool) {
	since := s.connectivity.Load().reachableSince
	return since, !since.IsZero()
}

// Staleness implements contract.StoreKnowledge. A prefix that is not watched is unknown
// since the host was started.
func (s *service) Staleness(prefix string) time.Duration {
	for _, w := range s.watches {
		if w.prefix == prefix {
			return w.handled.age()
		}
	}
	return boottime.Now()
}

// ServedSince implements contract.StoreKnowledge.
func (s *service) ServedSince(prefix string) (time.Time, bool) {
	reachedSince, isReached := s.ReachedSince()
	for _, w := range s.watches {
		served := w.cache.servedSince.Load()
		if w.prefix != prefix || served == 0 || !w.cache.isFresh() {
			continue
		}
		if since := time.Now().Add(-boottime.Since(time.Duration(served))); !isReached || since.Before(reachedSince) {
			return since, true
		}
	}
	return reachedSince, isReached
}

// recordCall records the latency of a call and whether the store was reachable.
func (s *service) recordCall(call string, started time.Time, err error) {
	s.metrics.Time("store."+call, time.Since(started))
	unavailable := err != nil && isUnavailable(err) || s.isRefusedByRateLimit(err)
	if unavailable {
		s.metrics.Count("store."+call+".failed", 1)
	}
	if unavailable == s.connectivity.Load().reachableSince.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.connectivity.Load()
	switch {
	case unavailable == previous.reachableSince.IsZero():
	case unavailable:
		s.log.WithError(err).WithField("call", call).Warn("The store is unreachable.")
		s.connectivity.Publish(&connectivity{})
		previous.cancelWatches()
		for _, w := range s.watches {
			w.cache.interrupt()
		}
	default:
		s.log.WithField("call", call).Info("The store is reachable.")
		next := &connectivity{reachableSince: time.Now()}
		next.watchContext, next.cancelWatches = context.WithCancel(context.Background())
		s.connectivity.Publish(next)
	}
}

// maxRateLimited is how long the store may refuse every call of this daemon with
// its rate limit, which all daemons share, before that counts as unreachable: a
// store in trouble may refuse some hosts and serve the others.
const maxRateLimited = 300 * time.Millisecond

// isRefusedByRateLimit reports whether the store has refused every call for
// maxRateLimited, given the error of a call.
func (s *service) isRefusedByRateLimit(err error) bool {
	if !errors.Is(err, outside.ErrRateLimited) {
		s.rateLimitedSince.Store(0)
		return false
	}
	now := int64(boottime.Now())
	s.rateLimitedSince.CompareAndSwap(0, now)
	return now-s.rateLimitedSince.Load() >= int64(maxRateLimited)
}

// takeUnreachableTry reports whether a daemon that believes that the store is
// unreachable may try it now, and begins the time until the next try.
func (s *service) takeUnreachableTry(now time.Duration) bool {
	next := s.nextUnreachableTry.Load()
	delay := minUnreachableRetry + rand.N(minUnreachableRetry)
	return int64(now) >= next && s.nextUnreachableTry.CompareAndSwap(next, int64(now+delay))
}

// resync ends the waiting watches of the other prefixes, which then read their
// changes at once: when one watch has lost history, the others may have lost theirs
// without noticing.
func (s *service) resync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.connectivity.Load()
	if previous.reachableSince.IsZero() {
		return
	}
	next := &connectivity{reachableSince: previous.reachableSince}
	next.watchContext, next.cancelWatches = context.WithCancel(context.Background())
	s.connectivity.Publish(next)
	previous.cancelWatches()
}

// isUnavailable reports whether an error means that the store is not serving.
func isUnavailable(err error) bool {
	return errors.Is(err, outside.ErrUnavailable) || errors.Is(err, outside.ErrRefused)
}

// Get implements outside.TransactionalStore.
func (s *service) Get(ctx context.Context, key string) (outside.Record, error) {
	reply, err := s.call(ctx, "read", callTimeout, Call{Op: OpRead, Key: key})
	if err != nil || len(reply.Records) == 0 {
		return outside.Record{}, err
	}
	return reply.Records[0], nil
}

// List implements outside.TransactionalStore.
func (s *service) List(ctx context.Context, prefix string) (outside.Listing, error) {
	reply, err := s.call(ctx, "scan", 2*callTimeout, Call{Op: OpScan, Key: prefix})
	return outside.Listing{Records: reply.Records, AsOf: reply.Revision}, err
}

// ListStale implements outside.TransactionalStore.
func (s *service) ListStale(ctx context.Context, prefix string) (outside.Listing, error) {
	reply, err := s.call(ctx, "scan-stale", 2*callTimeout, Call{Op: OpScanStale, Key: prefix})
	return outside.Listing{Records: reply.Records, AsOf: reply.Revision}, err
}

// Watch implements outside.TransactionalStore.
func (s *service) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) ([]outside.Record, outside.Revision, error) {
	if _, reached := s.ReachedSince(); !reached {
		wait = min(wait, relayWatchTimeout)
	}
	reply, err := s.call(ctx, "follow", wait+watchReplyMargin, Call{Op: OpFollow, Key: prefix, After: after, Wait: wait})
	return reply.Records, max(after, reply.Revision), err
}

// Commit implements outside.TransactionalStore.
func (s *service) Commit(ctx context.Context, transaction outside.Transaction) (outside.Revision, error) {
	reply, err := s.call(ctx, "commit", callTimeout, Call{Op: OpCommit, Transaction: transaction})
	return reply.Revision, err
}

// Grant implements outside.TransactionalStore.
func (s *service) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, time.Duration, error) {
	reply, err := s.call(ctx, "grant", leaseCallTimeout, Call{Op: OpGrant, Wait: ttl})
	return reply.Lease, reply.TTL, err
}

// KeepAlive implements outside.TransactionalStore.
func (s *service) KeepAlive(ctx context.Context, lease outside.LeaseID) error {
	_, err := s.call(ctx, "keep-alive", leaseCallTimeout, Call{Op: OpKeepAlive, Lease: lease})
	return err
}

// Revoke implements outside.TransactionalStore.
func (s *service) Revoke(ctx context.Context, lease outside.LeaseID) error {
	_, err := s.call(ctx, "revoke", leaseCallTimeout, Call{Op: OpRevoke, Lease: lease})
	return err
}
