package ledger

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// upstreamPollTimeout bounds a poll of another daemon, so that a partition
	// that drops packets is noticed soon.
	upstreamPollTimeout = time.Second
	// upstreamHedgeDelay is how much longer than that a reply may take before the
	// other upstreams are polled as well: several round trips between regions.
	upstreamHedgeDelay = 250 * time.Millisecond
	// upstreamRetryDelay is how long a daemon that served no changes is not
	// polled.
	upstreamRetryDelay = 3 * time.Second
)

// upstreams holds the addresses of the daemons from which this one gets the
// changes of the store.
type upstreams struct {
	addresses atomic.Pointer[[]string]
	// known is closed once this daemon has its place among the live ones.
	known     chan struct{}
	closeOnce sync.Once
}

func (u *upstreams) load() []string {
	if addresses := u.addresses.Load(); addresses != nil {
		return *addresses
	}
	return nil
}

// SetWatchUpstreams implements contract.TransactionalStore.
func (s *service) SetWatchUpstreams(addresses []string) {
	s.upstreams.addresses.Store(&addresses)
	s.upstreams.closeOnce.Do(func() { close(s.upstreams.known) })
}

// hasUpstreamPrefix reports whether a prefix of this daemon leads to upstreams.
func (s *service) hasUpstreamPrefix() bool {
	return slices.ContainsFunc(s.watches, func(w *prefixWatch) bool { return w.options.ListsUpstreams })
}

// upstreamFailures records when upstreams last did not answer, by address and on the
// clock of package boottime. It is safe for concurrent use.
type upstreamFailures struct {
	mu sync.Mutex
	at map[string]time.Duration
}

func (f *upstreamFailures) record(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == nil {
		f.at = make(map[string]time.Duration)
	}
	f.at[address] = boottime.Now()
}

func (f *upstreamFailures) clear(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.at, address)
}

// has reports whether the last poll of an upstream failed.
func (f *upstreamFailures) has(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, failed := f.at[address]
	return failed
}

// isRecent reports whether the last poll of an upstream failed within
// upstreamRetryDelay.
func (f *upstreamFailures) isRecent(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	failedAt, failed := f.at[address]
	return failed && boottime.Since(failedAt) < upstreamRetryDelay
}

// upstreamReply is the outcome of a poll of an upstream.
type upstreamReply struct {
	NewsReply
	address string
	err     error
}

// startPoll polls an upstream for the changes after a revision on a worker. The poll
// ends by itself after the time that it may take.
func (w *prefixWatch) startPoll(address string, after outside.Revision, wait time.Duration, replies chan<- upstreamReply) {
	w.service.workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, wait+watchReplyMargin)
		defer cancel()
		started := boottime.Now()
		reply := upstreamReply{address: address, err: kernel.ErrPanicked}
		defer func() { replies <- reply }()
		call := NewsCall{Prefix: w.prefix, After: after, Wait: wait}
		reply.err = w.service.peers.Call(ctx, address, rpcName+".News", call, &reply.NewsReply)
		if reply.err == nil {
			// What the upstream knew has aged on the way, in both directions at most.
			reply.Age += boottime.Since(started) - reply.Held
			w.failures.clear(address)
		} else {
			w.failures.record(address)
			w.service.log.WithError(reply.err).WithFields(logrus.Fields{
				"prefix": w.prefix, "source": address, "waited_ms": boottime.Since(started).Milliseconds(),
			}).Info("The upstream daemon serves no changes.")
		}
	})
}
