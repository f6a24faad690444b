package hedging

import (
	"context"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}
func (noMetrics) Gauge(string, int64) {}

type fakeSession struct {
	contract.Session
	view *kernel.Snapshot[contract.SessionView]
}

func (f fakeSession) View() *kernel.Snapshot[contract.SessionView] { return f.view }

// fakePeers connects daemons by their addresses. A daemon that is cut off is unreachable.
type fakePeers struct {
	daemons map[string]*service
	cut     map[string]bool
}

func (f *fakePeers) Call(_ context.Context, address, _ string, args, reply any) error {
	if f.cut[address] {
		return result.New(result.PeerUnreachable, "%s", address)
	}
	return (&Receiver{service: f.daemons[address]}).Take(args.(TakeCall), reply.(*TakeReply))
}

const testShare = 0.1

// newDaemons returns daemons of one region; the first is the pool.
func newDaemons(names ...string) (*fakePeers, *clockwork.FakeClock) {
	peers := &fakePeers{daemons: make(map[string]*service), cut: make(map[string]bool)}
	clock, log := clockwork.NewFakeClock(), logrus.New()
	log.SetOutput(io.Discard)
	live := make(map[string]membership.Member)
	for i, name := range names {
		live[name] = membership.Member{Name: name, RPCAddress: name, Zone: "zone", Strength: float64(len(names) - i)}
	}
	for _, name := range names {
		s := &service{
			clock: clock, log: logrus.NewEntry(log), metrics: noMetrics{}, peers: peers, region: "region",
			regions: map[structs.ZoneName]structs.RegionName{"zone": "region"},
			session: fakeSession{view: kernel.NewSnapshot(&contract.SessionView{Self: live[name], Live: live})},
		}
		s.init(testShare)
		peers.daemons[name] = s
	}
	return peers, clock
}

var lookup = contract.HedgeRequest{Key: hedge.Key{Service: "desk"}, Zone: "zone"}

// countRequests counts requests without the messages that Begin may send.
func (s *service) countRequests(count float64) {
	s.own.Add(s.clock.Now(), "desk", hedge.Tallies{"": {Requests: count}})
}

// TestAllow_PooledCounts checks that daemons with too few requests of their own may hedge
// within the share of all their requests.
func TestAllow_PooledCounts(t *testing.T) {
	peers, _ := newDaemons("a", "b", "c")
	allowed := 0
	for _, name := range []string{"a", "b", "c"} {
		peers.daemons[name].countRequests(7)
	}
	for _, name := range []string{"a", "b", "c"} {
		if peers.daemons[name].Allow(t.Context(), lookup) == hedge.Allowed {
			allowed++
		}
	}
	must.Eq(t, 2, allowed)
}

// TestAllow_PoolUnreachable checks that a daemon without the pool keeps its counts and
// spends only its own share.
func TestAllow_PoolUnreachable(t *testing.T) {
	peers, clock := newDaemons("a", "b")
	peers.cut["a"] = true
	b := peers.daemons["b"]
	b.countRequests(9)
	must.Eq(t, hedge.RefusedByNoResponse, b.Allow(t.Context(), lookup))
	must.Eq(t, hedge.RefusedByService, b.Allow(t.Context(), lookup), must.Sprint("the pool is not asked again at once"))
	b.countRequests(2)
	must.Eq(t, hedge.Allowed, b.Allow(t.Context(), lookup))
	clock.Advance(2 * poolRetryDelay)
	peers.cut["a"] = false
	must.Eq(t, hedge.RefusedByService, b.Allow(t.Context(), lookup))
}

// TestAllow_OtherPool checks that the pool of another region is asked while that of the own
// region does not answer.
func TestAllow_OtherPool(t *testing.T) {
	peers, _ := newDaemons("a", "b", "c")
	b := peers.daemons["b"]
	view := *b.session.View().Load()
	view.Live = maps.Clone(view.Live)
	view.Live["far"] = membership.Member{Name: "far", RPCAddress: "c", Zone: "far", Strength: 0.5}
	b.session.View().Publish(&view)
	b.regions["far"] = "other"
	peers.daemons["c"].pool.account.Add(b.clock.Now(), "desk", hedge.Tallies{"": {Requests: 100}})
	peers.cut["a"] = true
	must.Eq(t, hedge.Allowed, b.Allow(t.Context(), lookup))
}

// TestDeposit checks that counts that a daemon gives away allow hedges of another one, and
// that both together stay within the share.
func TestDeposit(t *testing.T) {
	peers, _ := newDaemons("a", "b", "c")
	b, c := peers.daemons["b"], peers.daemons["c"]
	b.countRequests(40)
	b.deposit(t.Context(), lookup.Key)
	allowed := 0
	for range 10 {
		for _, s := range []*service{b, c} {
			if s.Allow(t.Context(), lookup) == hedge.Allowed {
				allowed++
			}
		}
	}
	must.Eq(t, 4, allowed)
}

// TestLearnDelay checks that a daemon with few responses gets the delay that the pool has
// learned from others.
func TestLearnDelay(t *testing.T) {
	peers, _ := newDaemons("a", "b", "c")
	b, c := peers.daemons["b"], peers.daemons["c"]
	for range 20 {
		b.delays.Observe(b.clock.Now(), lookup.Key, 40*time.Millisecond)
		b.samples[lookup.Key] = append(b.samples[lookup.Key], 40*time.Millisecond)
	}
	b.learnDelay(t.Context(), lookup.Key)
	must.Eq(t, time.Second, c.Begin(lookup, time.Second))
	c.learnDelay(t.Context(), lookup.Key)
	must.Between(t, 40*time.Millisecond, c.Begin(lookup, time.Second), 100*time.Millisecond)
}

// TestTake_NoLimit checks that a daemon without a limit allows nothing to others.
func TestTake_NoLimit(t *testing.T) {
	peers, _ := newDaemons("a")
	peers.daemons["a"].share = 0
	var reply TakeReply
	must.NoError(t, (&Receiver{service: peers.daemons["a"]}).Take(TakeCall{Request: lookup}, &reply))
	must.Eq(t, hedge.RefusedByService, reply.Refusal)
}
