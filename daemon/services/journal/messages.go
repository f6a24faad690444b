package journal

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// execution is an admitted submission until its outcome is recorded.
type execution struct {
	key       journal.Key
	operation uint64
	// committed is closed once the intent is in the store, and refused when the
	// store has been unreachable for too long before that.
	committed, refused chan struct{}
	// isCommitted is set when committed is closed. It belongs to the
	// committer's goroutine.
	isCommitted bool
	// finished is closed once reply and err are set.
	finished chan struct{}
	reply    contract.SubmitReply
	err      error
}

// admitRequest asks the committer whether a submission may run.
type admitRequest struct {
	request journal.Request
	// lookupOnly limits the request to a lookup of the key; no intent is
	// recorded.
	lookupOnly bool
	reply      chan admitResult
}

// admitResult is the reply to an admitRequest.
type admitResult struct {
	verdict journal.Verdict
	record  journal.Record
	// execution is set for VerdictRun, and for VerdictInProgress while the
	// execution is known.
	execution *execution
	// draining means that the bucket is being handed back and admits no new
	// requests, and storeUnreachable that intents cannot be committed.
	draining, storeUnreachable bool
}

// outcome is the outcome of an execution, as the journal records it.
type outcome struct {
	execution *execution
	state     journal.State
	answer    *journal.Answer
}

// writeResult is the result of writing a proposal.
type writeResult struct {
	revision outside.Revision
	err      error
}

// requestAdmission asks the committer for a verdict. It fails with
// errOwnerChanged, errStoreUnreachable or the error of ctx; no intent was
// recorded then.
func (c *committer) requestAdmission(ctx context.Context, request journal.Request, lookupOnly bool) (admitResult, error) {
	r := admitRequest{request: request, lookupOnly: lookupOnly, reply: make(chan admitResult, 1)}
	select {
	case c.admissions <- r:
	case <-c.done:
		return admitResult{}, errOwnerChanged
	case <-ctx.Done():
		return admitResult{}, ctx.Err()
	}
	select {
	case admission := <-r.reply:
		switch {
		case admission.draining:
			return admission, c.awaitRelease(ctx)
		case admission.storeUnreachable:
			return admission, errStoreUnreachable
		}
		return admission, nil
	case <-c.done:
		return admitResult{}, errOwnerChanged
	}
}

// awaitRelease waits until the bucket is handed back, so that the request can
// be sent to the next owner.
func (c *committer) awaitRelease(ctx context.Context) error {
	select {
	case <-c.done:
		return errOwnerChanged
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reportOutcome sends the outcome of an execution to the committer, unless the
// bucket is no longer owned.
func (c *committer) reportOutcome(e *execution, state journal.State, answer *journal.Answer) {
	select {
	case c.outcomes <- outcome{execution: e, state: state, answer: answer}:
	case <-c.done:
	}
}
