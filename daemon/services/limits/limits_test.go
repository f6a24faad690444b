package limits

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}

type fakeSession struct {
	contract.Session
	view *kernel.Snapshot[contract.SessionView]
}

func (f *fakeSession) Leadership() (uint64, bool) { return 1, f.view.Load().Leader == "self.1" }

func (f *fakeSession) View() *kernel.Snapshot[contract.SessionView] { return f.view }

// setLeader publishes a view of two daemons, in which this one is "self.1".
func (f *fakeSession) setLeader(leader string) {
	live := map[string]membership.Member{"self.1": {Name: "self.1"}, "other.1": {Name: "other.1", RPCAddress: "other"}}
	f.view.Publish(&contract.SessionView{Self: live["self.1"], Live: live, Leader: leader})
}

// unreachablePeers fail all calls.
type unreachablePeers struct {
	kernel.Base
	calls int
}

func (u *unreachablePeers) Call(context.Context, string, string, any, any) error {
	u.calls++
	return errors.New("unreachable")
}

func newTestService(leader string) (*service, *fakeSession, *clockwork.FakeClock, *unreachablePeers) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock, peers := clockwork.NewFakeClock(), &unreachablePeers{}
	session := &fakeSession{view: kernel.NewSnapshot(&contract.SessionView{})}
	session.setLeader(leader)
	return &service{
		limited: make(map[structs.HostName]*limitedServer), clock: clock, log: logrus.NewEntry(log),
		metrics: noMetrics{}, session: session, peers: peers,
	}, session, clock, peers
}

// TestObserve_OlderResponse checks that a late response without a limit does not end a
// limit that a later request was told.
func TestObserve_OlderResponse(t *testing.T) {
	s, _, clock, _ := newTestService("self.1")
	now := clock.Now()
	s.Observe("a", 0.5, now)
	must.ErrorContains(t, s.Acquire(t.Context(), "a", 0), "overloaded")
	s.Observe("a", -1, now.Add(-time.Second))
	must.ErrorContains(t, s.Acquire(t.Context(), "a", 0), "overloaded")
	s.Observe("a", -1, now.Add(time.Second))
	must.NoError(t, s.Acquire(t.Context(), "a", 0))
}

// TestAcquire_NewLeader checks that a daemon which begins to lead hands out nothing at
// once, as the leader before it may just have done so.
func TestAcquire_NewLeader(t *testing.T) {
	s, session, clock, _ := newTestService("self.1")
	s.Observe("a", 2, clock.Now())
	must.Error(t, s.Acquire(t.Context(), "a", 0))
	clock.Advance(time.Second)
	must.NoError(t, s.Acquire(t.Context(), "a", 0))
	must.NoError(t, s.Acquire(t.Context(), "a", 0))
	err := s.Acquire(t.Context(), "a", 0)
	must.Eq(t, result.Overloaded, result.CodeOf(err))
	must.Eq(t, 500*time.Millisecond, result.RetryAfterOf(err))
	must.False(t, s.HasRoom("a"))
	must.True(t, s.HasRoom("b"))

	clock.Advance(time.Second)
	session.setLeader("other.1")
	must.False(t, s.takeAsLeader(TakeCall{Server: "a", Limit: 2}).Leads)
	session.setLeader("self.1")
	must.False(t, s.takeAsLeader(TakeCall{Server: "a", Limit: 2}).Taken)
}

// TestAcquire_LeaderUnreachable checks that a daemon without the leader spends only its
// own small part of a limit, from an empty bucket, and does not ask the leader for each
// request.
func TestAcquire_LeaderUnreachable(t *testing.T) {
	s, _, clock, peers := newTestService("other.1")
	s.Observe("a", 10, clock.Now())
	taken := 0
	for range 40 {
		if s.Acquire(t.Context(), "a", 0) == nil {
			taken++
		}
		clock.Advance(100 * time.Millisecond)
	}
	must.Between(t, 1, taken, 2)
	must.LessEq(t, 5, peers.calls)
}
