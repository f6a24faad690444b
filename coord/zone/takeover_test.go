package zone

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const takeoverGrantDuration = 3 * time.Second

var (
	one = structs.Incarnation{Host: "one", Start: 1}
	two = structs.Incarnation{Host: "two", Start: 1}
)

// TestCollector_NoGrantBeforeHeadRead: a daemon whose grant had expired when its
// zone acknowledged a round, and that then becomes the collector, must not grant
// with the state that it had before.
func TestCollector_NoGrantBeforeHeadRead(t *testing.T) {
	c := NewCollector(one, 7, takeoverGrantDuration, Roster{one, two})
	c.SetStoreLease(10 * takeoverGrantDuration)
	request := Ask{Member: one, Term: 7, Echo: 1}
	must.False(t, c.HandleRequest(1, request).Granted)
	must.False(t, c.MayAcknowledge(10*takeoverGrantDuration-1, 1))
	c.SetGrantState(GrantState{Round: 5, Undecided: true, Revision: 4})
	must.True(t, c.HandleRequest(2, request).Granted)
}

// TestCollector_NoGrantBeforeTermAdopted: until a follower has adopted the term, a
// former collector may count it in its majority.
func TestCollector_NoGrantBeforeTermAdopted(t *testing.T) {
	c := NewCollector(one, 7, takeoverGrantDuration, Roster{one, two})
	c.SetStoreLease(10 * takeoverGrantDuration)
	c.SetGrantState(GrantState{})
	must.False(t, c.HandleRequest(1, Ask{Member: two, Term: 6}).Granted)
	must.True(t, c.HandleRequest(2, Ask{Member: two, Term: 7, Echo: 1}).Granted)
}

// TestCollector_StaleConfirmations: a collector that was paused must not count
// requests that were sent long ago as confirmations.
func TestCollector_StaleConfirmations(t *testing.T) {
	c := NewCollector(one, 7, takeoverGrantDuration, Roster{one, two})
	c.SetStoreLease(takeoverGrantDuration)
	c.SetGrantState(GrantState{})
	must.True(t, c.HandleRequest(2, Ask{Member: two, Term: 7, Echo: 1}).Granted)
	resumed := 20 * takeoverGrantDuration
	must.False(t, c.HandleRequest(resumed, Ask{Member: two, Term: 7, Echo: 2}).Granted)
	must.False(t, c.HandleRequest(resumed, Ask{Member: one, Term: 7, Echo: 2}).Granted)
	must.True(t, c.HandleRequest(resumed+1, Ask{Member: two, Term: 7, Echo: resumed}).Granted)
}
