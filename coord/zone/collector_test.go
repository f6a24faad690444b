package zone

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const testGrantDuration = 10 * time.Second

func member(host string, start uint64) structs.Incarnation {
	return structs.Incarnation{Host: structs.HostName(host), Start: start}
}

// newTestCollector returns a collector with a live store lease that follows
// itself.
func newTestCollector(self structs.Incarnation, roster Roster) *Collector {
	c := NewCollector(self, 2, testGrantDuration, roster)
	c.SetStoreLease(time.Hour)
	c.HandleRequest(0, Ask{Member: self, Term: 2})
	return c
}

// TestCollector_GrantRequiresState: a collector grants only between SetGrantState
// and SuspendGrants.
func TestCollector_GrantRequiresState(t *testing.T) {
	a := member("a", 1)
	c := newTestCollector(a, Roster{a})
	must.False(t, c.HandleRequest(1, Ask{Member: a, Term: 2}).Granted)
	c.SetGrantState(GrantState{Round: 1, Revision: 1})
	must.True(t, c.HandleRequest(2, Ask{Member: a, Term: 2}).Granted)
	c.SuspendGrants()
	must.Eq(t, Reply{Term: 2, Stamp: 3}, c.HandleRequest(3, Ask{Member: a, Term: 2}))
}

// TestCollector_PredecessorsExpireAfterRestarts: in a zone most of whose daemons
// have restarted, the older incarnations count as ended, so that the roster can
// be changed.
func TestCollector_PredecessorsExpireAfterRestarts(t *testing.T) {
	a, b := member("a", 2), member("b", 2)
	c := newTestCollector(a, Roster{member("a", 1), member("b", 1), member("c", 1)})
	must.False(t, c.PredecessorsExpired(3*testGrantDuration))
	c.HandleRequest(testGrantDuration, Ask{Member: b})
	must.True(t, c.PredecessorsExpired(4*testGrantDuration))
	must.True(t, c.ProposeRoster(4*testGrantDuration, c.Roster().With(a).With(b)))
}

// TestCollector_WaitsForFollowers: while more than half of the roster has not
// followed this collector, a former collector may have a majority, however long
// the others have followed.
func TestCollector_WaitsForFollowers(t *testing.T) {
	a := member("a", 1)
	c := newTestCollector(a, Roster{a, member("b", 1), member("c", 1)})
	must.False(t, c.PredecessorsExpired(time.Hour/2))
	c.HandleRequest(time.Second, Ask{Member: member("b", 1), Term: 2})
	must.False(t, c.PredecessorsExpired(time.Second+2*testGrantDuration))
	must.True(t, c.PredecessorsExpired(time.Second+2*testGrantDuration+1))
}

// TestCollector_NewMemberIsResponsive: a member that was just added is not removed
// before it has had the timeout to send a request.
func TestCollector_NewMemberIsResponsive(t *testing.T) {
	a, b := member("a", 1), member("b", 1)
	c := newTestCollector(a, Roster{a})
	now := 100 * testGrantDuration
	must.True(t, c.ProposeRoster(now, Roster{a, b}))
	c.ResolveRoster(now, Roster{a, b})
	must.SliceEmpty(t, c.UnresponsiveMembers(now+testGrantDuration, testGrantDuration))
	must.Eq(t, []structs.Incarnation{b}, c.UnresponsiveMembers(now+testGrantDuration+1, testGrantDuration))
}
