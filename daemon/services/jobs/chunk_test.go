package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
)

// maxStoreValue is the size of a value that every store of the platform accepts, in bytes.
const maxStoreValue = 1 << 20

// TestFirstChunk_EscapedOutputs guards against results that are never listed, because
// together they exceed a value of the store once their outputs are escaped.
func TestFirstChunk_EscapedOutputs(t *testing.T) {
	for _, text := range []string{"<", "&", "a", "\n", `"`, `\`, "\x01", "\x7f", "\u2028", "é", "\xff"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			output := strings.Repeat(text, 80<<10/len(text))
			must.LessEq(t, encodedLen(output), len(encode(output))-2)
			var pending []batch.Result
			for i := range 12 {
				pending = append(pending, batch.Result{ID: batch.ItemID(fmt.Sprint("item-", i)), Output: output})
			}
			for listed := 0; listed < len(pending); {
				chunk := firstChunk(pending[listed:])
				must.Less(t, maxStoreValue, len(encode(chunk)))
				listed += len(chunk)
			}
		})
	}
}

// TestEncode_ReadByEarlierReleases checks that what encode writes is the same JSON value as
// what earlier releases wrote.
func TestEncode_ReadByEarlierReleases(t *testing.T) {
	result := batch.Result{ID: "item", Output: "if a < b && c > d {\n\t\"x\"\u2028}"}
	var read batch.Result
	must.NoError(t, json.Unmarshal(encode(result), &read))
	must.Eq(t, result, read)
}
