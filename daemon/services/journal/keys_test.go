package journal

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func TestSubmit_FoldsAFullHead(t *testing.T) {
	b := newBench(t)
	first, second := b.start("a"), b.start("b")
	keys := keysIn(bucketOf("k"), 120)
	for _, key := range keys {
		_, err := first.Submit(t.Context(), b.request(key))
		must.NoError(t, err)
	}
	entries, err := b.store.List(t.Context(), strings.TrimSuffix(headKey(bucketOf("k")), "head")+"segments/")
	must.NoError(t, err)
	must.Positive(t, len(entries))
	first.gate.kill()
	for _, key := range keys {
		reply, err := second.Submit(t.Context(), b.request(key))
		if err != nil {
			// The outcome of the last one may not have been committed.
			must.Eq(t, result.JournalTakeover, result.CodeOf(err))
			must.Eq(t, keys[len(keys)-1], key)
			continue
		}
		must.True(t, reply.Repeated)
	}
	must.Eq(t, len(keys), len(b.portal.Runs()))
}

// TestSubmit_RefusesAnOldKey uses a key that bears a time before the window.
// That records are pruned is tested in coord/journal.
func TestSubmit_RefusesAnOldKey(t *testing.T) {
	b := newBench(t)
	d := b.start("a")
	old := "01890000-0000-7000-8000-000000000000"
	_, err := d.Submit(t.Context(), b.request(old))
	must.Eq(t, result.KeyTooOld, result.CodeOf(err))
	must.Eq(t, 0, b.runs(old))
}

func TestSubmit_DoesNotKeepALargeAnswer(t *testing.T) {
	b := newBench(t)
	d := b.start("a")
	request := contract.SubmitRequest{Workspace: workspace, Path: testPath, Key: "k", Body: make([]byte, journal.MaxAnswerBodyBytes+1)}
	_, err := d.Submit(t.Context(), request)
	must.NoError(t, err)
	_, err = d.Submit(t.Context(), request)
	must.Eq(t, result.AnswerNotKept, result.CodeOf(err))
	must.Eq(t, 1, b.runs("k"))
}
