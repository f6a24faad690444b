package jobs

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/batch"
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

// ownershipOfEarlierRelease is batch.Ownership without the fields that were added since.
type ownershipOfEarlierRelease struct {
	Owner     string `json:"owner"`
	Epoch     uint64 `json:"epoch"`
	Ended     bool   `json:"ended,omitempty"`
	Submitted int64  `json:"submitted"`
}

// TestOwnership_Releases lets an earlier release rewrite the record of a job's ownership,
// and announce it. The job must keep its workspace; a job that never had one belongs to
// none in particular.
func TestOwnership_Releases(t *testing.T) {
	own := batch.Ownership{Owner: "daemon-1", Epoch: 1, Submitted: 7, Workspace: "north"}
	var earlier ownershipOfEarlierRelease
	recode(t, own, &earlier)
	must.Eq(t, ownershipOfEarlierRelease{Owner: "daemon-1", Epoch: 1, Submitted: 7}, earlier)
	s := newService()
	s.rememberOwner("job", ownershipRecord{Ownership: own, revision: 3})
	var announced batch.Ownership
	recode(t, earlier, &announced)
	s.rememberOwner("job", ownershipRecord{Ownership: announced, revision: 4})
	workspace, err := s.workspaceOf(t.Context(), "job")
	must.NoError(t, err)
	must.Eq(t, "north", string(workspace))

	s.jobStore = newJobStore(nil)
	s.jobStore.jobs["rewritten"], s.jobStore.jobs["old"] = &batch.Job{Workspace: "south"}, &batch.Job{}
	s.rememberOwner("rewritten", ownershipRecord{Ownership: announced})
	s.rememberOwner("old", ownershipRecord{Ownership: announced})
	must.NoError(t, s.checkScope(t.Context(), access.Scope{Workspace: "south"}, "rewritten"))
	must.Eq(t, result.StoreUnavailable, result.CodeOf(s.checkScope(t.Context(), access.Scope{Workspace: "south"}, "old")))
	must.NoError(t, s.checkScope(t.Context(), access.Scope{All: true}, "old"))
}
