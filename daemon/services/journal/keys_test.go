package journal

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// TestSubmit_CompactsHead writes enough records to move some into segments, and
// expects all of them at the next owner.
func TestSubmit_CompactsHead(t *testing.T) {
	f := newTestFleet(t)
	first, second := f.start("a"), f.start("b")
	keys := keysIn(bucketOf("k"), 120)
	for _, key := range keys {
		_, err := first.Submit(t.Context(), f.request(key))
		must.NoError(t, err)
	}
	entries, err := f.store.List(t.Context(), strings.TrimSuffix(headKey(bucketOf("k")), "head")+"segments/")
	must.NoError(t, err)
	must.Positive(t, len(entries))
	first.gate.kill()
	for _, key := range keys {
		reply, err := second.Submit(t.Context(), f.request(key))
		if err != nil {
			// The outcome of the last submission may not have been committed.
			must.Eq(t, result.JournalTakeover, result.CodeOf(err))
			must.Eq(t, keys[len(keys)-1], key)
			continue
		}
		must.True(t, reply.Repeated)
	}
	must.Eq(t, len(keys), len(f.backend.Runs()))
}

// TestSubmit_KeyTooOld uses a key whose timestamp is before the key window.
// Pruning of records is tested in coord/journal.
func TestSubmit_KeyTooOld(t *testing.T) {
	f := newTestFleet(t)
	d := f.start("a")
	old := "01890000-0000-7000-8000-000000000000"
	_, err := d.Submit(t.Context(), f.request(old))
	must.Eq(t, result.KeyTooOld, result.CodeOf(err))
	must.Eq(t, 0, f.backendRuns(old))
}

func TestSubmit_LargeAnswerNotKept(t *testing.T) {
	f := newTestFleet(t)
	d := f.start("a")
	request := contract.SubmitRequest{Workspace: testWorkspace, Path: testPath, Key: "k", Body: make([]byte, journal.MaxAnswerBodyBytes+1)}
	_, err := d.Submit(t.Context(), request)
	must.NoError(t, err)
	_, err = d.Submit(t.Context(), request)
	must.Eq(t, result.AnswerNotKept, result.CodeOf(err))
	must.Eq(t, 1, f.backendRuns("k"))
}
