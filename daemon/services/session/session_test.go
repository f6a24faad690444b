package session

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// fakeStore is a store with one key, the leader's.
type fakeStore struct {
	contract.TransactionalStore
	revision outside.Revision
	// leader is the revision of the leader's key, zero when there is none, created
	// that of its creation and lease what it is attached to.
	leader, created outside.Revision
	lease, granted  outside.LeaseID
	// commitErr is the error of commits; they are applied nevertheless.
	commitErr error
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (outside.LeaseID, time.Duration, error) {
	f.granted++
	return f.granted, ttl, nil
}

func (f *fakeStore) KeepAlive(context.Context, outside.LeaseID) error { return nil }

func (f *fakeStore) Commit(_ context.Context, transaction outside.Transaction) (outside.Revision, error) {
	for _, condition := range transaction.Conditions {
		if condition.Revision != f.leader {
			return 0, outside.ErrConflict
		}
	}
	f.revision++
	for _, write := range transaction.Writes {
		if write.Key != leaderKey {
			continue
		}
		if f.leader == 0 {
			f.created = f.revision
		}
		f.leader, f.lease = f.revision, write.Lease
	}
	for _, key := range transaction.Removals {
		if key == leaderKey {
			f.leader = 0
		}
	}
	return f.revision, f.commitErr
}

func (f *fakeStore) ReachedSince() (time.Time, bool) { return time.Time{}, true }
func (f *fakeStore) SetRelays([]string)              {}
func (f *fakeStore) SetWatchUpstreams([]string)      {}

func newSession(store *fakeStore) *service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &service{store: store, log: logrus.NewEntry(log)}
}

var self = membership.Member{Name: "host-1.1a"}

// lead returns the result of a renewal in which the daemon becomes the leader.
func lead(t *testing.T, s *service) renewalResult {
	t.Helper()
	result, err := s.renewLease(t.Context(), renewalRequest{lease: 1, self: self, ttl: longLeaseTTL, writesLeader: true})
	must.NoError(t, err)
	must.Positive(t, result.led.token)
	return result
}

// TestRenewLease_LeaderChangesLease gives the leader a lease of another TTL. Its
// key must move to that lease with the same token, or it would disappear with the
// old lease while the daemon still leads.
func TestRenewLease_LeaderChangesLease(t *testing.T) {
	store := &fakeStore{granted: 1}
	s := newSession(store)
	first := lead(t, s)
	result, err := s.renewLease(t.Context(), renewalRequest{
		lease: first.lease, self: self, ttl: shortLeaseTTL, needsNewLease: true, writesMember: true, led: first.led,
	})
	must.NoError(t, err)
	must.Eq(t, first.led.token, result.led.token)
	must.Eq(t, store.created, outside.Revision(result.led.token))
	must.Eq(t, result.lease, store.lease)
	must.Eq(t, result.validUntil, result.led.validUntil)
}

// TestRenewLease_LeaderReplaced lets another daemon replace the leader's key. The
// former leader must not lead on with its new lease, whatever its watch shows.
func TestRenewLease_LeaderReplaced(t *testing.T) {
	store := &fakeStore{granted: 1}
	s := newSession(store)
	first := lead(t, s)
	store.leader, store.revision = 9, 9
	result, err := s.renewLease(t.Context(), renewalRequest{
		self: self, ttl: shortLeaseTTL, needsNewLease: true, writesMember: true, led: first.led,
	})
	must.NoError(t, err)
	must.Zero(t, result.led.token)
	must.Eq(t, 9, store.leader)
}

// TestRenewLease_LeaderReplyLost loses the reply to the write of the leader's key.
// The daemon must not lead with a token that it does not know, and delete the key.
func TestRenewLease_LeaderReplyLost(t *testing.T) {
	store := &fakeStore{granted: 1, commitErr: outside.ErrUnavailable}
	s := newSession(store)
	result, err := s.renewLease(t.Context(), renewalRequest{lease: 1, self: self, ttl: longLeaseTTL, writesLeader: true})
	must.ErrorIs(t, err, outside.ErrUnavailable)
	must.Zero(t, result.led.token)
	must.Positive(t, store.leader)
	store.commitErr = nil
	_, err = s.renewLease(t.Context(), renewalRequest{lease: 1, self: self, ttl: longLeaseTTL, strayLeader: store.leader})
	must.NoError(t, err)
	must.Zero(t, store.leader)
}

// TestLeadership_ExpiredLease checks that a leader whose lease may have expired
// does not lead.
func TestLeadership_ExpiredLease(t *testing.T) {
	s := newSession(&fakeStore{})
	s.leadership.Store(&leadership{token: 7, validUntil: -1})
	_, holds := s.Leadership()
	must.False(t, holds)
}

// TestYieldLeadership_RenewalInProgress resigns while a renewal is in progress. Its reply
// must not restore the leadership: the key is gone, and another daemon may have it.
func TestYieldLeadership_RenewalInProgress(t *testing.T) {
	s := newSession(&fakeStore{revision: 40})
	s.loop, s.workers = kernel.NewLoop(clockwork.NewFakeClock()), kernel.NewWorkers(1)
	s.view = kernel.NewSnapshot(&contract.SessionView{Self: self})
	led := lead(t, s)
	s.leadership.Store(&led.led)
	renewal, err := s.renewLease(t.Context(), renewalRequest{lease: led.lease, self: self, ttl: shortLeaseTTL, led: led.led})
	must.NoError(t, err)
	s.YieldLeadership(time.Minute)
	s.workers.Stop()
	s.handleRenewal(kernel.AsyncResult[renewalResult]{Value: renewal})
	_, holds := s.Leadership()
	must.False(t, holds)
	must.False(t, s.isCandidate())
}

// TestIsCandidate_Stopping checks that a daemon that is stopping leaves the leadership to
// others, however long there is no leader: it would hold it for a moment only, after which
// the daemon that had it before may take it again.
func TestIsCandidate_Stopping(t *testing.T) {
	s := newSession(&fakeStore{})
	s.loop = kernel.NewLoop(clockwork.NewFakeClock())
	stopping := self
	stopping.IsStopping = true
	live := map[string]membership.Member{self.Name: self, "other.1": {Name: "other.1", Strength: self.Strength}}
	s.view = kernel.NewSnapshot(&contract.SessionView{Self: stopping, Live: live})
	s.leaderlessSince = s.loop.Now().Add(-time.Minute)
	must.False(t, s.isCandidate())
	s.view.Publish(&contract.SessionView{Self: self, Live: live})
	must.True(t, s.isCandidate())
	s.view.Publish(&contract.SessionView{Self: stopping, Live: map[string]membership.Member{self.Name: self}})
	must.True(t, s.isCandidate())
}

// TestResign_OrdersOnTheWay checks that a leader that resigns gives no further orders, and
// keeps its key until those that it gave have arrived.
func TestResign_OrdersOnTheWay(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), &fakeStore{revision: 40}
	s := newSession(store)
	s.loop, s.workers = kernel.NewLoop(clock), kernel.NewWorkers(1)
	s.view = kernel.NewSnapshot(&contract.SessionView{Self: self})
	led := lead(t, s)
	s.leadership.Store(&led.led)
	s.resign()
	_, holds := s.Leadership()
	must.False(t, holds)
	must.NotEq(t, 0, store.leader)
	must.True(t, s.mayHaveOrders())
	clock.Advance(2 * resignDelay)
	must.False(t, s.mayHaveOrders())
}
