package zone

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const span = 3 * time.Second

var (
	one = structs.Incarnation{Host: "one", Start: 1}
	two = structs.Incarnation{Host: "two", Start: 1}
)

// TestCollector_GrantsNothingBeforeItHasReadTheHead: a daemon whose grant had
// run out when its zone acknowledged a round, and that then becomes the
// collector, must not grant by what it knew before.
func TestCollector_GrantsNothingBeforeItHasReadTheHead(t *testing.T) {
	c := NewCollector(one, 7, span, Roster{one, two})
	c.SetStoreLease(10 * span)
	ask := LeaseRequest{Member: one, Term: 7, Echo: 1}
	must.False(t, c.HandleRequest(1, ask).Granted)
	must.False(t, c.MayAcknowledge(10*span-1, 1))
	c.SetGrantState(GrantState{Round: 5, Undecided: true, Revision: 4})
	must.True(t, c.HandleRequest(2, ask).Granted)
}

// TestCollector_GrantsNothingToOneThatHasNotFollowed: until a follower has
// followed the term, a former collector may count on it.
func TestCollector_GrantsNothingToOneThatHasNotFollowed(t *testing.T) {
	c := NewCollector(one, 7, span, Roster{one, two})
	c.SetStoreLease(10 * span)
	c.SetGrantState(GrantState{})
	must.False(t, c.HandleRequest(1, LeaseRequest{Member: two, Term: 6}).Granted)
	must.True(t, c.HandleRequest(2, LeaseRequest{Member: two, Term: 7, Echo: 1}).Granted)
}

// TestCollector_OldMessagesAreNoConfirmations: a collector that was frozen
// finds asks waiting that were sent long ago.
func TestCollector_OldMessagesAreNoConfirmations(t *testing.T) {
	c := NewCollector(one, 7, span, Roster{one, two})
	c.SetStoreLease(span)
	c.SetGrantState(GrantState{})
	must.True(t, c.HandleRequest(2, LeaseRequest{Member: two, Term: 7, Echo: 1}).Granted)
	thawed := 20 * span
	must.False(t, c.HandleRequest(thawed, LeaseRequest{Member: two, Term: 7, Echo: 2}).Granted)
	must.False(t, c.HandleRequest(thawed, LeaseRequest{Member: one, Term: 7, Echo: 2}).Granted)
	must.True(t, c.HandleRequest(thawed+1, LeaseRequest{Member: two, Term: 7, Echo: thawed}).Granted)
}
