package ledger

import (
	"context"
	"io"
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

// fakeUpstreams answers polls by address; an address without a reply does not
// answer.
type fakeUpstreams struct {
	kernel.Base
	replies map[string]NewsReply
	polled  []string
}

func (f *fakeUpstreams) Call(_ context.Context, address, _ string, _, reply any) error {
	f.polled = append(f.polled, address)
	answer, ok := f.replies[address]
	if !ok {
		return errors.New("no answer")
	}
	*reply.(*NewsReply) = answer
	return nil
}

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}

// newFollower returns the watch of a daemon with upstreams, which believes that
// the store is reachable or not.
func newFollower(f *fakeUpstreams, reachable bool, addresses ...string) *prefixWatch {
	log := logrus.New()
	log.SetOutput(io.Discard)
	state := &connectivity{}
	if reachable {
		state.reachableSince = time.Now()
	}
	s := &service{peers: f, metrics: noMetrics{}, log: logrus.NewEntry(log), connectivity: kernel.NewSnapshot(state)}
	s.upstreams.known = make(chan struct{})
	s.SetWatchUpstreams(addresses)
	return &prefixWatch{service: s, cache: newWatchCache(), failedAt: make(map[string]time.Duration)}
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
// while, and as long as it does not reach the store itself.
func TestPollUpstreams_StoreOutage(t *testing.T) {
	f := &fakeUpstreams{replies: map[string]NewsReply{"first": {}, "second": {}}}
	w := newFollower(f, true, "first", "second")
	_, err := w.pollUpstreams(t.Context(), 5)
	must.ErrorIs(t, err, errUpstreamsStale)
	must.Between(t, minDirectDelay, w.directDelay, maxDirectDelay)
	w.staleSince = boottime.Now() - maxDirectDelay
	_, err = w.pollUpstreams(t.Context(), 5)
	must.ErrorIs(t, err, errChangesUnavailable)

	w = newFollower(f, false, "first", "second")
	w.staleSince = boottime.Now() - maxDirectDelay
	_, err = w.pollUpstreams(t.Context(), 5)
	must.ErrorIs(t, err, errUpstreamsStale)
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
