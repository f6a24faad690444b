package journal

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/outside"
)

// FuzzRecords checks that a bucket can be claimed from any readable head and
// segment, in a higher term, and that what the new owner writes can be read
// back.
func FuzzRecords(f *testing.F) {
	record := `{"key":{"workspace":"a","name":"k"},"state":"intent","until":"2000-01-01T00:00:00Z"}`
	f.Add([]byte(`{"term":3,"operation":4,"recent":[`+record+`],"segments":[{"number":1,"term":2,"count":1,"bytes":9}],"next_segment":1}`),
		[]byte(`{"ref":{"number":1,"term":2,"count":1,"bytes":9},"records":[`+record+`]}`))
	f.Add([]byte(`{"segments":[{"number":1,"bytes":-1},{"number":1}]}`), []byte(`{"ref":{"number":2},"records":[`+record+`,`+record+`]}`))
	f.Fuzz(func(t *testing.T, headValue, segmentValue []byte) {
		ctx := t.Context()
		values := store.New(store.Limits{Writes: 1e9, Reads: 1e9}, 1)
		buckets := &bucketStore{store: values}
		put := func(key string, value []byte) {
			_, err := values.CompareAndSwap(ctx, key, 0, value, 0)
			must.NoError(t, err)
		}
		if len(headValue) > outside.MaxValueBytes || len(segmentValue) > outside.MaxValueBytes {
			return
		}
		put(headKey(0), headValue)
		head, revision, err := buckets.readHead(ctx, 0)
		if err != nil {
			return
		}
		for i, ref := range head.Segments {
			if i == 0 || ref != head.Segments[0] {
				_, _ = values.CompareAndSwap(ctx, segmentKey(0, ref), 0, segmentValue, 0)
			}
		}
		segments, err := buckets.readSegments(ctx, 0, &head)
		if err != nil {
			return
		}
		ownedBucket, proposal := journal.ClaimBucket(head, segments, structs.Incarnation{Host: "self", Start: 1}, "127.0.0.1:1", journal.GroupCommit())
		must.Eq(t, head.Term+1, proposal.Head.Term)
		for _, kept := range proposal.Head.Recent {
			must.NotEq(t, journal.StateIntent, kept.State)
		}
		_, err = buckets.write(ctx, 0, proposal, revision)
		must.NoError(t, err)
		ownedBucket.MarkCommitted()
		ownedBucket.Release()
		released, ok := ownedBucket.Propose(time.Now())
		must.True(t, ok)
		encoded, err := json.Marshal(released.Head)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(encoded, &head))
		must.False(t, head.Owned())
	})
}
