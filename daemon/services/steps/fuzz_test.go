package steps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// FuzzDecodeHead checks that a head that is decoded without error survives a
// takeover, encoding and decoding.
func FuzzDecodeHead(f *testing.F) {
	now := time.Unix(1_700_000_000, 0).UTC()
	head := step.Head{Term: 1, Operation: 2, LastSealed: 1, Segments: []step.SegmentRef{{Version: step.Version{Step: 1}, NewestBirth: now, SealedAt: now}}}
	value, err := encodeHead(head)
	must.NoError(f, err)
	f.Add(value)
	f.Add([]byte(`{"sealed":3,"owed":[{"of":1,"samples":-4}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := decodeHead(value)
		if err != nil {
			return
		}
		_ = head.FirstKept()
		next := head.TakeOver(step.Owner{Address: "127.0.0.1:1"})
		encoded, err := encodeHead(next)
		must.NoError(t, err)
		again, err := decodeHead(encoded)
		must.NoError(t, err)
		must.True(t, again.SameWrite(next))
		must.Eq(t, len(head.Segments), len(again.Segments))
		for _, shortfall := range again.Shortfalls {
			must.Positive(t, shortfall.Samples)
		}
	})
}

// FuzzDecodeList checks that a list that is decoded without error is unchanged
// after encoding and decoding.
func FuzzDecodeList(f *testing.F) {
	id := structs.SampleID{Origin: structs.Incarnation{Host: "a", Start: 1}, Number: 7}
	list := step.SampleList{Version: step.Version{Step: 1}, Entries: []step.Entry{{ID: id, Holders: [step.HolderCount]structs.HostName{"a", "b"}}}}
	value, err := encodeList(list)
	must.NoError(f, err)
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Fuzz(func(t *testing.T, value []byte) {
		list, err := decodeList(value)
		if err != nil {
			return
		}
		encoded, err := encodeList(list)
		must.NoError(t, err)
		again, err := decodeList(encoded)
		must.NoError(t, err)
		must.Eq(t, list, again)
	})
}
