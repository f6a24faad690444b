package transport

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// TestReadPayload reads bodies of a declared and of an unknown length, whole, cut and
// without room for them.
func TestReadPayload(t *testing.T) {
	const length = 300_000
	text := strings.Repeat("abc", length/3)
	for _, declared := range []int64{length, -1} {
		claimed := int64(0)
		claim := func(bytes int64) error { claimed += bytes; return nil }
		payload, err := ReadPayload(iotest.DataErrReader(strings.NewReader(text)), declared, claim)
		must.NoError(t, err)
		must.Eq(t, text, string(payload.Bytes()))
		must.Eq(t, length, payload.Len())
		must.LessEq(t, int64(length+maxPieceBytes), claimed)

		cut := io.MultiReader(strings.NewReader(text[:1000]), iotest.ErrReader(io.ErrUnexpectedEOF))
		payload, err = ReadPayload(cut, declared, claim)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Eq(t, 1000, payload.Len())

		errFull := errors.New("no room")
		claimed = 0
		payload, err = ReadPayload(strings.NewReader(text), declared, func(bytes int64) error {
			if claimed += bytes; claimed > length/2 {
				return errFull
			}
			return nil
		})
		must.ErrorIs(t, err, errFull)
		must.LessEq(t, length/2, payload.Len())
	}
}
