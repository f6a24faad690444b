package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/outside"
)

func event(revision int) outside.Record {
	return outside.Record{Key: fmt.Sprintf("k%d", revision), Revision: outside.Revision(revision)}
}

func TestHub_GivesWhatCameAfterARevision(t *testing.T) {
	h := newHub()
	_, _, err := h.since(0)
	must.ErrorIs(t, err, errNoHub)
	h.reset([]outside.Record{event(2)}, 5)
	h.add([]outside.Record{event(6), event(8)}, 9)
	found, _, err := h.since(6)
	must.NoError(t, err)
	must.Eq(t, []outside.Record{event(8)}, found.Records)
	must.False(t, found.Full)
	must.Eq(t, 9, found.through)
}

// TestHub_GivesAllToADaemonThatIsFarBehind holds that nobody needs to read the
// store whole because history is gone.
func TestHub_GivesAllToADaemonThatIsFarBehind(t *testing.T) {
	h := newHub()
	h.reset([]outside.Record{event(2), event(3)}, 5)
	h.add([]outside.Record{{Key: "k2", Revision: 6, Removed: true}, event(7)}, 7)
	found, _, err := h.since(4)
	must.NoError(t, err)
	must.True(t, found.Full)
	must.Eq(t, []outside.Record{event(3), event(7)}, found.Records)
}

func TestHub_KeepsTheNewestEventOfAKey(t *testing.T) {
	h := newHub()
	h.reset(nil, 4)
	h.add([]outside.Record{{Key: "a", Revision: 5}, {Key: "b", Revision: 6}, {Key: "a", Revision: 7}}, 7)
	found, _, err := h.since(4)
	must.NoError(t, err)
	must.Eq(t, []outside.Record{{Key: "b", Revision: 6}, {Key: "a", Revision: 7}}, found.Records)
}

func TestHub_SaysNothingOnceTheStoreIsLost(t *testing.T) {
	h := newHub()
	h.reset(nil, 5)
	_, changed, err := h.since(5)
	must.NoError(t, err)
	h.lose()
	<-changed
	_, _, err = h.since(5)
	must.ErrorIs(t, err, errNoHub)
	h.add([]outside.Record{event(6)}, 6)
	_, _, err = h.since(5)
	must.ErrorIs(t, err, errNoHub)
}

func TestHub_OldRemovalsGo(t *testing.T) {
	h := newHub()
	h.reset(nil, 0)
	for revision := 1; revision <= hubRemovals+1; revision++ {
		h.add([]outside.Record{{Key: fmt.Sprint(revision), Revision: outside.Revision(revision), Removed: true}}, outside.Revision(revision))
	}
	kept := hubRemovals + 1 - (hubRemovals+1)/2
	must.MapLen(t, kept, h.records)
	found, _, err := h.since(outside.Revision((hubRemovals + 1) / 2))
	must.NoError(t, err)
	must.False(t, found.Full)
	must.Len(t, kept, found.Records)
	found, _, err = h.since(1)
	must.NoError(t, err)
	must.True(t, found.Full)
	must.SliceEmpty(t, found.Records)
}

func ask(h *hub, after outside.Revision) NewsReply {
	s := &service{tracks: []*track{{prefix: "a/", hub: h}}}
	var reply NewsReply
	if err := (&Receiver{service: s}).News(NewsCall{Prefix: "a/", After: after}, &reply); err != nil {
		panic(err)
	}
	return reply
}

func TestNews_AHubThatIsNotFreshSaysSo(t *testing.T) {
	h := newHub()
	h.reset(nil, 3)
	must.False(t, ask(h, 3).Heard)
	h.note(0)
	must.True(t, ask(h, 3).Heard)
}

// TestNews_AgesAddUp lets news pass through a daemon that heard them a while ago:
// whoever asks it must not take them for fresher than they are.
func TestNews_AgesAddUp(t *testing.T) {
	h := newHub()
	h.reset(nil, 3)
	h.note(time.Second)
	h.note(2 * time.Second) // Older than what is known.
	reply := ask(h, 3)
	must.True(t, reply.Heard)
	must.Between(t, time.Second, reply.Age, 2*time.Second)
	other := newHub()
	other.note(reply.Age)
	must.True(t, other.isFresh())
	other = newHub()
	other.note(reply.Age + freshFor)
	must.False(t, other.isFresh())
}

func TestNumberOf_ErrorsCrossByNumber(t *testing.T) {
	for number, failure := range failures {
		must.Eq(t, number, numberOf(failure))
	}
	must.Eq(t, len(failures)-1, numberOf(fmt.Errorf("other")))
}
