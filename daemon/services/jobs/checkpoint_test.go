package jobs

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func TestHandleCheckpoint_TextDiscardedMeanwhile(t *testing.T) {
	j := newTextJob("job-1", 20)
	s := newTextService(j)
	it := j.items[0]
	part, ok := it.uncheckpointedPart()
	must.True(t, ok)
	it.text, it.resumeOffset, it.checkpointOffset = &generatedText{}, 0, 0
	s.handleCheckpoint(checkpointOutcome{id: "job-1", parts: []textPart{part}})
	for event := range 30 {
		it.text.Add(uint64(event+1), "later", 1, resume.Origin{Service: "models", Software: "v2"})
	}
	later, ok := it.uncheckpointedPart()
	must.True(t, ok)
	stored := make(map[batch.ItemID]*contract.Text)
	appendPart(stored, part)
	appendPart(stored, later)
	must.Len(t, 30, stored["item"].Events)
	must.SliceNotContains(t, stored["item"].Events, "event")
}

func TestAppendPart_OtherOrigin(t *testing.T) {
	stored := make(map[batch.ItemID]*contract.Text)
	origin := resume.Origin{Service: "models", Software: "v1"}
	appendPart(stored, textPart{Item: "item", Events: []string{"a", "b"}, Origin: origin})
	appendPart(stored, textPart{Item: "item", After: 2, Events: []string{"c"}, Origin: resume.Origin{Service: "models", Software: "v2"}})
	must.Eq(t, []string{"a", "b"}, stored["item"].Events)
	must.Eq(t, resume.Position{Last: 2, Origin: origin}, stored["item"].Position())
}
