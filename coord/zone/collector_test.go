package zone

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const testSpan = 10 * time.Second

func member(host string, start uint64) structs.Incarnation {
	return structs.Incarnation{Host: structs.HostName(host), Start: start}
}

// newCollecting returns a collector with a live store lease that follows
// itself.
func newCollecting(self structs.Incarnation, roster Roster) *Collector {
	c := NewCollector(self, 2, testSpan, roster)
	c.SetStoreLease(time.Hour)
	c.HandleRequest(0, LeaseRequest{Member: self, Term: 2})
	return c
}

func TestCollector_grantsOnlyWhatItHasLearned(t *testing.T) {
	a := member("a", 1)
	c := newCollecting(a, Roster{a})
	must.False(t, c.HandleRequest(1, LeaseRequest{Member: a, Term: 2}).Granted)
	c.SetGrantState(GrantState{Round: 1, Revision: 1})
	must.True(t, c.HandleRequest(2, LeaseRequest{Member: a, Term: 2}).Granted)
	c.SuspendGrants()
	must.Eq(t, LeaseReply{Term: 2, Stamp: 3}, c.HandleRequest(3, LeaseRequest{Member: a, Term: 2}))
}

// A zone most of whose daemons have restarted can settle again: the older
// incarnations have ended.
func TestCollector_settlesAfterRestarts(t *testing.T) {
	a, b := member("a", 2), member("b", 2)
	c := newCollecting(a, Roster{member("a", 1), member("b", 1), member("c", 1)})
	must.False(t, c.PredecessorsExpired(3*testSpan))
	c.HandleRequest(testSpan, LeaseRequest{Member: b})
	must.True(t, c.PredecessorsExpired(4*testSpan))
	must.True(t, c.ProposeRoster(4*testSpan, c.Roster().With(a).With(b)))
}

// A stranger that may follow a former collector is waited for, however long
// the others have followed, when strangers are more than half.
func TestCollector_waitsForAMajorityOfStrangers(t *testing.T) {
	a := member("a", 1)
	c := newCollecting(a, Roster{a, member("b", 1), member("c", 1)})
	must.False(t, c.PredecessorsExpired(time.Hour/2))
	c.HandleRequest(time.Second, LeaseRequest{Member: member("b", 1), Term: 2})
	must.False(t, c.PredecessorsExpired(time.Second+2*testSpan))
	must.True(t, c.PredecessorsExpired(time.Second+2*testSpan+1))
}

func TestCollector_keepsAMemberThatHasJustJoined(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	c := newCollecting(a, Roster{a})
	now := 100 * testSpan
	must.True(t, c.ProposeRoster(now, Roster{a, b}))
	c.ResolveRoster(now, Roster{a, b})
	must.SliceEmpty(t, c.UnresponsiveMembers(now+testSpan, testSpan))
	must.Eq(t, []structs.Incarnation{b}, c.UnresponsiveMembers(now+testSpan+1, testSpan))
}
