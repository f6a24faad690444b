package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// TestOwnResults_NothingIsListedOnlyOnAFreshWord gives an owner a log that is
// two results long and an old word of the store: the results may be read, but
// that there are no more must be asked of the store.
func TestOwnResults_NothingIsListedOnlyOnAFreshWord(t *testing.T) {
	view := jobView{total: 5, results: []batch.Result{{ID: "a"}, {ID: "b"}}}
	read := func(verified time.Duration, after int) (contract.ResultsReply, bool) {
		s := &service{}
		view.verified = verified
		s.views.Store("job", kernel.NewSnapshot(&view))
		return s.ownResults(context.Background(), contract.ResultsRequest{ID: "job", After: after})
	}
	old, fresh := boottime.Now()-2*trustFor, boottime.Now()
	reply, ok := read(old, 1)
	must.True(t, ok)
	must.Len(t, 1, reply.Results)
	_, ok = read(old, 2)
	must.False(t, ok)
	reply, ok = read(fresh+time.Hour, 2)
	must.True(t, ok)
	must.Len(t, 0, reply.Results)
}

func TestCommit_ChunksStayWithinAValueOfTheStore(t *testing.T) {
	big := batch.Result{Output: string(make([]byte, maxChunk-1000))}
	must.Len(t, 1, firstChunk([]batch.Result{big, big}))
	must.Len(t, 1, firstChunk([]batch.Result{{Output: string(make([]byte, 2*maxChunk))}}))
	must.Len(t, 2, firstChunk([]batch.Result{{Output: "a"}, {Output: "b"}}))
}

func TestAddPart_LeavesOutWhatDoesNotFollow(t *testing.T) {
	texts := map[batch.ItemID]*contract.Text{}
	addPart(texts, textPart{Item: "a", After: 0, Events: []string{"1", "2"}})
	addPart(texts, textPart{Item: "a", After: 3, Events: []string{"4"}})
	must.Eq(t, 2, texts["a"].Last)
	addPart(texts, textPart{Item: "a", After: 2, Events: []string{"3"}, Whole: true})
	must.Eq(t, []string{"1", "2", "3"}, texts["a"].Events)
	must.True(t, texts["a"].Whole)
	addPart(texts, textPart{Item: "a", After: 0, Events: []string{"x"}})
	must.Eq(t, []string{"x"}, texts["a"].Events)
	must.False(t, texts["a"].Whole)
}
