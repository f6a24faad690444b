package ledger

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/outside"
)

func event(revision int) outside.Record {
	return outside.Record{Key: fmt.Sprintf("k%d", revision), Revision: outside.Revision(revision)}
}

func TestHub_GivesWhatCameAfterARevision(t *testing.T) {
	h := newHub()
	_, _, _, err := h.since(0)
	must.ErrorIs(t, err, errNoHub)
	h.reset(5)
	h.add([]outside.Record{event(6), event(8)}, 9)
	news, through, _, err := h.since(6)
	must.NoError(t, err)
	must.Eq(t, []outside.Record{event(8)}, news)
	must.Eq(t, 9, through)
	_, _, _, err = h.since(4)
	must.ErrorIs(t, err, outside.ErrCompacted)
}

func TestHub_SaysNothingOnceTheStoreIsLost(t *testing.T) {
	h := newHub()
	h.reset(5)
	_, _, changed, err := h.since(5)
	must.NoError(t, err)
	h.lose()
	<-changed
	_, _, _, err = h.since(5)
	must.ErrorIs(t, err, errNoHub)
}

func TestHub_OldEventsGo(t *testing.T) {
	h := newHub()
	h.reset(0)
	for revision := 1; revision <= hubEvents+10; revision++ {
		h.add([]outside.Record{event(revision)}, outside.Revision(revision))
	}
	_, _, _, err := h.since(9)
	must.ErrorIs(t, err, outside.ErrCompacted)
	news, _, _, err := h.since(10)
	must.NoError(t, err)
	must.Len(t, hubEvents, news)
}

func TestNews_AFollowerThatIsNotFreshSaysSo(t *testing.T) {
	s := &service{}
	s.tracks = []*track{{service: s, prefix: "a/", hub: newHub()}}
	s.tracks[0].hub.reset(3)
	var reply NewsReply
	must.NoError(t, (&Receiver{service: s}).News(NewsCall{Prefix: "a/", After: 3}, &reply))
	must.False(t, reply.Heard)
}

func TestNumberOf_ErrorsCrossByNumber(t *testing.T) {
	for number, failure := range failures {
		must.Eq(t, number, numberOf(failure))
	}
	must.Eq(t, len(failures)-1, numberOf(fmt.Errorf("other")))
}
