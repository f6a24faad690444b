package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/resume"
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

// TestUncheckpointedParts_EscapedTexts guards against checkpoints that the store refuses
// because texts are long together, so that a takeover generates them all again.
func TestUncheckpointedParts_EscapedTexts(t *testing.T) {
	j := newTextJob("job-1", 0)
	j.items = nil
	for i := range 12 {
		it := newTextJob("", 0).items[0]
		it.Item.ID = batch.ItemID(fmt.Sprint("item-", i))
		for event := range 40 {
			it.text.Add(uint64(event+1), strings.Repeat("\x01", 2<<10), 1, resume.Origin{Service: "models", Software: "v1"})
		}
		j.items = append(j.items, it)
	}
	for stored := 0; stored < len(j.items); {
		parts := j.uncheckpointedParts()
		must.SliceNotEmpty(t, parts)
		must.Less(t, maxStoreValue, len(encode(parts)))
		for _, part := range parts {
			j.findItem(part.Item).checkpointOffset = len(part.Events)
		}
		stored += len(parts)
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
