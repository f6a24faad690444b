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

// setLeader publishes a view in which this daemon, "self.1", and others are live.
func (f *fakeSession) setLeader(leader string, others ...string) {
	live := map[string]membership.Member{"self.1": {Name: "self.1"}}
	for _, name := range others {
		live[name] = membership.Member{Name: name, RPCAddress: name}
	}
	f.view.Publish(&contract.SessionView{Self: live["self.1"], Live: live, Leader: leader})
}

// fakePeers fail all calls but those to reachable daemons, which hand out everything.
type fakePeers struct {
	kernel.Base
	reachable string
	calls     []string
	// toDeputy is whether the last call asked for a deputy.
	toDeputy bool
}

func (f *fakePeers) Call(_ context.Context, address, _ string, args, reply any) error {
	f.calls, f.toDeputy = append(f.calls, address), args.(TakeCall).ToDeputy
	if address != f.reachable {
		return errors.New("unreachable")
	}
	*reply.(*TakeReply) = TakeReply{HandsOut: true, Taken: true}
	return nil
}

func newTestService(leader string) (*service, *fakeSession, *clockwork.FakeClock, *fakePeers) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock, peers := clockwork.NewFakeClock(), &fakePeers{}
	session := &fakeSession{view: kernel.NewSnapshot(&contract.SessionView{})}
	session.setLeader(leader, "other.1")
	return &service{
		limited: make(map[structs.HostName]*limitedServer), clock: clock, log: logrus.NewEntry(log),
		metrics: noMetrics{}, session: session, peers: peers,
	}, session, clock, peers
}

// TestObserve_OlderResponse checks that a late response without a limit does not end a
// limit that the response to a later request named.
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
	session.setLeader("other.1", "other.1")
	must.False(t, s.takeAsLeader(TakeCall{Server: "a", Limit: 2}).HandsOut)
	session.setLeader("self.1", "other.1")
	must.False(t, s.takeAsLeader(TakeCall{Server: "a", Limit: 2}).Taken)
}

// acquireFor asks for a request each 100 ms and returns how many were granted.
func acquireFor(t *testing.T, s *service, clock *clockwork.FakeClock, length time.Duration) int {
	taken := 0
	for range length / (100 * time.Millisecond) {
		if s.Acquire(t.Context(), "a", 0) == nil {
			taken++
		}
		clock.Advance(100 * time.Millisecond)
	}
	return taken
}

// TestAcquire_NobodyReachable checks that a daemon which reaches neither the leader nor
// its deputy spends only its own small part of a limit, from an empty bucket, and does
// not ask the leader for each request.
func TestAcquire_NobodyReachable(t *testing.T) {
	s, session, clock, peers := newTestService("other.1")
	session.setLeader("other.1", "other.1", "deputy.1")
	s.Observe("a", 10, clock.Now())
	must.Between(t, 1, acquireFor(t, s, clock, 4*time.Second), 5)
	must.LessEq(t, 5, count(peers.calls, "other.1"))
}

func count(calls []string, address string) int {
	n := 0
	for _, call := range calls {
		if call == address {
			n++
		}
	}
	return n
}

// TestAcquire_LeaderDead lets the leader be gone before there is another one. A daemon
// must be served by the deputy.
func TestAcquire_LeaderDead(t *testing.T) {
	s, session, clock, peers := newTestService("other.1")
	session.setLeader("other.1", "other.1", "deputy.1")
	peers.reachable = "deputy.1"
	s.Observe("a", 10, clock.Now())
	must.Eq(t, 40, acquireFor(t, s, clock, 4*time.Second))
}

// TestTake_AsDeputy checks that a deputy passes calls on to a leader that it reaches, which
// must not take them for calls to a deputy in case it leads no longer, and that it hands
// out requests within the limit itself while it does not reach the leader.
func TestTake_AsDeputy(t *testing.T) {
	s, _, clock, peers := newTestService("other.1")
	receiver := &Receiver{service: s}
	taken := func() int {
		n := 0
		for range 40 {
			var reply TakeReply
			must.NoError(t, receiver.Take(TakeCall{Server: "a", Limit: 2, ToDeputy: true}, &reply))
			must.True(t, reply.HandsOut)
			if reply.Taken {
				n++
			}
			clock.Advance(100 * time.Millisecond)
		}
		return n
	}
	must.Between(t, 6, taken(), 10)
	peers.reachable = "other.1"
	clock.Advance(leaderRetryDelay)
	must.Eq(t, 40, taken())
	must.False(t, peers.toDeputy)
}
