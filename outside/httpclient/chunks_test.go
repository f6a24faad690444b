package httpclient

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/outside"
)

// FuzzReadChunks checks that a stream is complete only if its last chunk was
// read, and that no chunk has a negative number of tokens.
func FuzzReadChunks(f *testing.F) {
	f.Add([]byte("{\"text\":\"a\",\"tokens\":1,\"version\":3}\n{\"last\":true}\n"))
	f.Add([]byte("{\"tokens\":-1,\"last\":true}"))
	f.Add([]byte("{\"text\":\"cut"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var last outside.Chunk
		err := readChunks(bytes.NewReader(body), func(chunk outside.Chunk) error {
			must.False(t, last.Last)
			must.Between(t, 0, chunk.Tokens, maxChunkTokens)
			last = chunk
			return nil
		})
		must.Eq(t, last.Last, err == nil)
		if err != nil {
			must.Eq(t, result.AnswerCut, result.CodeOf(err))
		}
	})
}
