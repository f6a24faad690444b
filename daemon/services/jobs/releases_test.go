package jobs

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// submitReplyOfEarlierRelease is SubmitReply without the fields that were added since.
type submitReplyOfEarlierRelease struct {
	Code   result.Code
	Detail string
}

// recode encodes a value as net/rpc does and decodes it into another type.
func recode(t *testing.T, from, into any) {
	t.Helper()
	var buffer bytes.Buffer
	must.NoError(t, gob.NewEncoder(&buffer).Encode(from))
	must.NoError(t, gob.NewDecoder(&buffer).Decode(into))
}

// TestSubmitReply_Releases checks that releases with and without NotWritten read each
// other's replies.
func TestSubmitReply_Releases(t *testing.T) {
	var earlier submitReplyOfEarlierRelease
	recode(t, SubmitReply{Code: result.StoreUnavailable, Detail: "down", NotWritten: true}, &earlier)
	must.Eq(t, submitReplyOfEarlierRelease{Code: result.StoreUnavailable, Detail: "down"}, earlier)
	var current SubmitReply
	recode(t, earlier, &current)
	must.Eq(t, SubmitReply{Code: result.StoreUnavailable, Detail: "down"}, current)
}
