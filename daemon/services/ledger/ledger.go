// Package ledger is the service "store.ledger": the client of the platform's
// store, with a time limit on each call, and the following of prefixes.
package ledger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameLedger, func() kernel.Service { return &service{} })
}

const (
	// callTimeout bounds a call: the store answers in 4 ms, and sixty times
	// slower while it is overloaded.
	callTimeout = 1500 * time.Millisecond
	// answerWithin bounds the wait for a watch's answer beyond the time that
	// it was asked to wait.
	answerWithin = 700 * time.Millisecond
	// retryFirst and retryMost bound the pause before a failed call to the
	// store is made again.
	retryFirst = 60 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// lostPause is how long a track waits for another call to find the store
	// again before it looks for itself.
	lostPause = 2 * time.Second
	// newsCapacity bounds the batches of news that wait for the control loop.
	newsCapacity = 1024
	// probeIdle, probeEvery and probeCount find a silent connection within
	// two seconds, half of the time after which bounds hold again.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// maxConnections bounds the connections to the store.
	maxConnections = 64
)

type service struct {
	kernel.Base
	store   outside.Ledger
	loop    *kernel.Loop
	workers *kernel.Workers
	log     *logrus.Entry
	metrics contract.Metrics
	tracks  []*track

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

var _ contract.Ledger = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	if s.metrics, err = kernel.Find[contract.Metrics](ctx, contract.NameMetrics); err != nil {
		return err
	}
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.reach = kernel.NewSnapshot(&reach{})
	dialer := &net.Dialer{Timeout: callTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	}}
	s.store = platform.NewStore(daemon.Store, &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections,
	})
	return nil
}

// Start implements kernel.Service.
func (s *service) Start() error {
	for _, t := range s.tracks {
		s.workers.Go(t.follow)
	}
	return nil
}

// ReachedSince implements contract.Ledger.
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

// timed makes a call with a time limit and records how it went. A call that
// its own caller gave up says nothing of the store.
func timed[T any](ctx context.Context, s *service, call string, limit time.Duration, do func(context.Context) (T, error)) (T, error) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	value, err := do(bounded)
	if err == nil || ctx.Err() == nil {
		s.saw(call, started, err)
	}
	return value, err
}

// Read implements outside.Ledger.
func (s *service) Read(ctx context.Context, key string) (outside.Record, error) {
	return timed(ctx, s, "read", callTimeout, func(ctx context.Context) (outside.Record, error) {
		return s.store.Read(ctx, key)
	})
}

// Scan implements outside.Ledger.
func (s *service) Scan(ctx context.Context, prefix string) (outside.Listing, error) {
	return timed(ctx, s, "scan", 2*callTimeout, func(ctx context.Context) (outside.Listing, error) {
		return s.store.Scan(ctx, prefix)
	})
}

// Follow implements outside.Ledger.
func (s *service) Follow(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) ([]outside.Record, outside.Revision, error) {
	revision := after
	records, err := timed(ctx, s, "follow", wait+answerWithin, func(ctx context.Context) ([]outside.Record, error) {
		records, through, err := s.store.Follow(ctx, prefix, after, wait)
		revision = through
		return records, err
	})
	return records, revision, err
}

// Commit implements outside.Ledger.
func (s *service) Commit(ctx context.Context, transaction outside.Transaction) (outside.Revision, error) {
	return timed(ctx, s, "commit", callTimeout, func(ctx context.Context) (outside.Revision, error) {
		return s.store.Commit(ctx, transaction)
	})
}

// Grant implements outside.Ledger.
func (s *service) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, time.Duration, error) {
	granted := ttl
	lease, err := timed(ctx, s, "grant", callTimeout, func(ctx context.Context) (outside.LeaseID, error) {
		lease, applies, err := s.store.Grant(ctx, ttl)
		granted = applies
		return lease, err
	})
	return lease, granted, err
}

// KeepAlive implements outside.Ledger.
func (s *service) KeepAlive(ctx context.Context, lease outside.LeaseID) error {
	_, err := timed(ctx, s, "keep-alive", callTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.store.KeepAlive(ctx, lease)
	})
	return err
}

// Revoke implements outside.Ledger.
func (s *service) Revoke(ctx context.Context, lease outside.LeaseID) error {
	_, err := timed(ctx, s, "revoke", callTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.store.Revoke(ctx, lease)
	})
	return err
}

// track follows one prefix.
type track struct {
	service *service
	prefix  string
	pace    contract.WatchPace
	news    *kernel.Mailbox[contract.News]
}

// Track implements contract.Ledger.
func (s *service) Track(prefix string, pace contract.WatchPace, handle func(contract.News)) {
	s.tracks = append(s.tracks, &track{
		service: s, prefix: prefix, pace: pace, news: kernel.NewMailbox(s.loop, newsCapacity, handle),
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
		known = err == nil
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

// rest waits before a failed call is made again; while the store is lost, until
// another call has reached it or the longest pause has passed.
func (t *track) rest(ctx context.Context, pause time.Duration) {
	now, replaced := t.service.reach.Watch()
	if !now.since.IsZero() {
		replaced = nil
	} else {
		pause = lostPause
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

func (t *track) whole(ctx context.Context) (outside.Revision, error) {
	listing, err := t.service.Scan(ctx, t.prefix)
	if err != nil {
		return 0, err
	}
	return listing.AsOf, t.post(contract.News{Records: listing.Records, Full: true})
}

func (t *track) changes(ctx context.Context, after outside.Revision) (outside.Revision, error) {
	// A watch that waits on a store that no longer serves would hear nothing of
	// its return.
	if lost := t.service.reach.Load().lost; lost != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(lost, cancel)()
	}
	records, through, err := t.service.Follow(ctx, t.prefix, after, t.pace.Wait)
	if err != nil || len(records) == 0 {
		return through, err
	}
	if err := t.post(contract.News{Records: records}); err != nil {
		return through, err
	}
	select {
	case <-time.After(t.pace.Rest):
	case <-ctx.Done():
	}
	return through, nil
}

// post hands news to the control loop. A full mailbox loses history, so the
// prefix must then be read whole.
func (t *track) post(news contract.News) error {
	if err := t.news.Post(news); err != nil {
		return errors.Wrap(outside.ErrCompacted, err.Error())
	}
	return nil
}
