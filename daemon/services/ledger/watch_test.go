package ledger

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// fakeUpstreams answers polls by address; an address without a reply fails, and one
// in hung answers when the caller gives up. It is safe for concurrent use.
type fakeUpstreams struct {
	kernel.Base
	replies map[string]NewsReply
	hung    map[string]bool
	// delay is how long a reply takes to arrive.
	delay time.Duration

	mu     sync.Mutex
	polled []string
}

func (f *fakeUpstreams) Call(ctx context.Context, address, _ string, _, reply any) error {
	f.mu.Lock()
	f.polled = append(f.polled, address)
	f.mu.Unlock()
	<-time.After(f.delay)
	if f.hung[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	answer, ok := f.replies[address]
	if !ok {
		return errors.New("no answer")
	}
	*reply.(*NewsReply) = answer
	return nil
}

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}

const testDirectDelay = 500 * time.Millisecond

// newFollower returns the watch of a daemon with upstreams, which believes that
// the store is reachable or not.
func newFollower(f *fakeUpstreams, reachable bool, addresses ...string) *prefixWatch {
	log := logrus.New()
	log.SetOutput(io.Discard)
	state := &connectivity{}
	if reachable {
		state.reachableSince, state.cancelWatches = time.Now(), func() {}
	}
	s := &service{maxDirectDelay: testDirectDelay, peers: f, workers: kernel.NewWorkers(16), metrics: noMetrics{}, log: logrus.NewEntry(log), connectivity: kernel.NewSnapshot(state)}
	s.upstreams.known = make(chan struct{})
	s.SetWatchUpstreams(addresses)
	return &prefixWatch{service: s, cache: newWatchCache(testStaleness)}
}

// TestPollUpstreams_NextOne stops the first upstream. The second one must serve
// the changes at once, and the first must not be polled again for a while.
func TestPollUpstreams_NextOne(t *testing.T) {
	f := &fakeUpstreams{replies: map[string]NewsReply{"second": {Heard: true, Through: 7}}}
	w := newFollower(f, true, "first", "second")
	for range 3 {
		changes, err := w.pollUpstreams(t.Context(), 5)
		must.NoError(t, err)
		must.Eq(t, 7, changes.throughRevision)
	}
	must.Eq(t, []string{"first", "second", "second", "second"}, f.polled)
}

// TestPollUpstreams_StoreOutage lets the upstreams answer without changes, as in
// an outage of the store. The daemon must leave it to them to try the store for a
// while, and between its few tries as long as it does not reach the store itself.
func TestPollUpstreams_StoreOutage(t *testing.T) {
	f := &fakeUpstreams{replies: map[string]NewsReply{"first": {}, "second": {}}}
	w := newFollower(f, true, "first", "second")
	_, err := w.pollUpstreams(t.Context(), 5)
	must.ErrorIs(t, err, errUpstreamsStale)
	must.Between(t, minDirectDelay, w.directDelay, testDirectDelay)
	w.staleSince = boottime.Now() - testDirectDelay
	_, err = w.pollUpstreams(t.Context(), 5)
	must.ErrorIs(t, err, errChangesUnavailable)

	w = newFollower(f, false, "first", "second")
	w.staleSince = boottime.Now() - testDirectDelay
	_, err = w.pollUpstreams(t.Context(), 5)
	must.ErrorIs(t, err, errChangesUnavailable)
	lastTry := time.Now()
	for time.Since(lastTry) < minUnreachableRetry/2 {
		_, err = w.pollUpstreams(t.Context(), 5)
		must.ErrorIs(t, err, errUpstreamsStale)
	}
}

// TestPollUpstreams_HungUpstreams lets all upstreams but the last one hang. Its changes
// must arrive after the time that one of them may take, not after the sum.
func TestPollUpstreams_HungUpstreams(t *testing.T) {
	f := &fakeUpstreams{
		hung:    map[string]bool{"first": true, "second": true, "third": true},
		replies: map[string]NewsReply{"last": {Heard: true, Through: 7}},
	}
	w := newFollower(f, true, "first", "second", "third", "last")
	w.options.PollTimeout = time.Second
	started := time.Now()
	changes, err := w.pollUpstreams(t.Context(), 5)
	must.NoError(t, err)
	must.Eq(t, 7, changes.throughRevision)
	must.Less(t, 2*time.Second, time.Since(started))
}

// TestPollUpstreams_AgeOfSlowReply checks that the time that a reply takes to arrive
// counts into the age of what it says.
func TestPollUpstreams_AgeOfSlowReply(t *testing.T) {
	f := &fakeUpstreams{delay: 200 * time.Millisecond, replies: map[string]NewsReply{"first": {Heard: true, Age: time.Second}}}
	w := newFollower(f, true, "first")
	_, err := w.pollUpstreams(t.Context(), 5)
	must.NoError(t, err)
	must.GreaterEq(t, time.Second+f.delay, w.cache.staleness())
}

// TestPollUpstreams_UnreachableStore lets a daemon believe that the store is
// unreachable while its upstreams get no changes. It must try the store now and then:
// its belief may be out of date.
func TestPollUpstreams_UnreachableStore(t *testing.T) {
	w := newFollower(&fakeUpstreams{replies: map[string]NewsReply{"first": {}}}, false, "first")
	started := time.Now()
	for {
		_, err := w.pollUpstreams(t.Context(), 5)
		if !errors.Is(err, errUpstreamsStale) {
			must.ErrorIs(t, err, errChangesUnavailable)
			break
		}
		must.Less(t, 3*time.Second, time.Since(started))
		<-time.After(stalePollInterval)
	}
}

// TestPollUpstreams_NoneLeft checks that a daemon reads the store at once when no
// upstream answers, and when it has none.
func TestPollUpstreams_NoneLeft(t *testing.T) {
	for _, addresses := range [][]string{nil, {"first", "second"}} {
		w := newFollower(&fakeUpstreams{}, true, addresses...)
		_, err := w.pollUpstreams(t.Context(), 5)
		must.ErrorIs(t, err, errChangesUnavailable)
	}
}

// watchedStore records the timeouts of watches.
type watchedStore struct {
	outside.TransactionalStore
	timeouts []time.Duration
}

func (w *watchedStore) Watch(_ context.Context, _ string, after outside.Revision, wait time.Duration) ([]outside.Record, outside.Revision, error) {
	w.timeouts = append(w.timeouts, wait)
	return nil, after, nil
}

func (noMetrics) Time(string, time.Duration) {}

// TestWatchStore_CatchUp checks that the first watch after a listing that may lag
// returns at once, so that the daemon can serve others.
func TestWatchStore_CatchUp(t *testing.T) {
	store := &watchedStore{}
	w := newFollower(&fakeUpstreams{}, true)
	w.service.store, w.options.PollTimeout = store, 2*time.Second
	w.cache.reset(nil, 5)
	for range 2 {
		_, err := w.watchStore(t.Context(), 5)
		must.NoError(t, err)
	}
	must.Eq(t, []time.Duration{catchUpTimeout, 2 * time.Second}, store.timeouts)
}

// TestMaxDirectDelay checks that a daemon whose upstreams fail gets a change in time:
// after the age up to which an upstream's replies are fresh, its grace and the random
// delay.
func TestMaxDirectDelay(t *testing.T) {
	const operatorPoll = 1500 * time.Millisecond
	for _, configApply := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
		worst := operatorPoll + stalenessMargin + upstreamGrace + 2*stalePollInterval + maxDirectDelay(configApply)
		must.Less(t, configApply, worst)
	}
	must.Eq(t, shortDirectDelay, maxDirectDelay(0))
	must.Eq(t, longDirectDelay, maxDirectDelay(time.Minute))
}

// TestServe_BecomesStale polls a daemon whose last reply of the store becomes too old
// meanwhile. The caller must learn that soon and not at the end of its wait.
func TestServe_BecomesStale(t *testing.T) {
	c := newWatchCache(50 * time.Millisecond)
	c.reset(nil, 3)
	c.recordStoreReply(0)
	started := time.Now()
	var reply NewsReply
	must.NoError(t, c.serve(NewsCall{After: 3, Wait: time.Second}, &reply))
	must.False(t, reply.Heard)
	must.Less(t, 900*time.Millisecond, time.Since(started))
}

// TestRecordCall_RateLimit refuses every call of a daemon with the rate limit, as a
// store in trouble does with some hosts. After a while the store must count as
// unreachable, so that calls go through other daemons, until a call succeeds.
func TestRecordCall_RateLimit(t *testing.T) {
	w := newFollower(&fakeUpstreams{}, true)
	s := w.service
	s.connectivity.Publish(&connectivity{reachableSince: time.Now(), cancelWatches: func() {}})
	s.recordCall("read", time.Now(), outside.ErrRateLimited)
	_, reached := s.ReachedSince()
	must.True(t, reached)
	s.rateLimitedSince.Add(-int64(maxRateLimited))
	s.recordCall("read", time.Now(), outside.ErrRateLimited)
	_, reached = s.ReachedSince()
	must.False(t, reached)
	s.recordCall("read", time.Now(), nil)
	_, reached = s.ReachedSince()
	must.True(t, reached)
}

// TestWatchCache_Stop guards against a stop that polls of other daemons hold up.
func TestWatchCache_Stop(t *testing.T) {
	c := newWatchCache(time.Minute)
	c.reset(nil, 1)
	c.recordStoreReply(0)
	ended := make(chan error, 1)
	go func() { ended <- c.serve(NewsCall{After: 1, Wait: time.Hour}, &NewsReply{}) }()
	c.stop()
	must.ErrorIs(t, <-ended, errStopping)
}
