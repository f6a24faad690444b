package hosts

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/fleet"
)

// FuzzDelta checks that merging a collector's delta never lowers the version
// of the host list, and that another list fed with the resulting deltas is
// equal.
func FuzzDelta(f *testing.F) {
	f.Add([]byte(`{"whole":true,"to":3,"set":[{"name":"a","address":"127.0.0.1:1"}]}`), []byte(`{"from":3,"to":4,"removed":["a"]}`))
	f.Add([]byte(`{"from":9,"to":1}`), []byte(`{"whole":true,"to":1,"set":[{"name":"a"},{"name":"a","leaving":true}]}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		known, other := fleet.New(), fleet.New()
		for _, encoded := range [][]byte{first, second} {
			var delta fleet.Delta
			if json.Unmarshal(encoded, &delta) != nil {
				continue
			}
			before := known.Version()
			must.Eq(t, known.Merge(delta), known.Version() > before)
			must.True(t, known.Version() >= before)
			encodedDelta, err := json.Marshal(known.Since(other.Version()))
			must.NoError(t, err)
			var decoded fleet.Delta
			must.NoError(t, json.Unmarshal(encodedDelta, &decoded))
			other.Merge(decoded)
			must.Eq(t, known.Hosts(), other.Hosts())
		}
	})
}
