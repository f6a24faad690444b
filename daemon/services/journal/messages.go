package journal

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// run is a submission that is being run.
type run struct {
	key       journal.Key
	operation uint64
	// committed is closed once the intent is in the store, and refused when
	// that takes too long.
	committed, refused chan struct{}
	// started belongs to the committer: it is set with committed.
	started bool
	// finished is closed once reply and err are set.
	finished chan struct{}
	reply    contract.SubmitReply
	err      error
}

// admission asks for a verdict on a request.
type admission struct {
	request journal.Request
	// lookOnly asks only whether the key is known.
	lookOnly bool
	reply    chan admitted
}

// admitted is the reply to an admission.
type admitted struct {
	verdict journal.Verdict
	record  journal.Record
	// run is set for VerdictRun and VerdictInProgress.
	run *run
	// draining means that the bucket takes no new requests because it is
	// being handed back, and cut that the store cannot be reached.
	draining, cut bool
}

// outcome is what became of a run.
type outcome struct {
	run    *run
	state  journal.State
	answer *journal.Answer
}

// written is the result of a write.
type written struct {
	revision outside.Revision
	err      error
}

// ask sends an admission and waits for the verdict. It fails with errLost,
// errCut or the error of ctx; no intent was noted then.
func (c *committer) ask(ctx context.Context, request journal.Request, lookOnly bool) (admitted, error) {
	a := admission{request: request, lookOnly: lookOnly, reply: make(chan admitted, 1)}
	select {
	case c.admissions <- a:
	case <-c.done:
		return admitted{}, errLost
	case <-ctx.Done():
		return admitted{}, ctx.Err()
	}
	select {
	case got := <-a.reply:
		switch {
		case got.draining:
			return got, c.awaitRelease(ctx)
		case got.cut:
			return got, errCut
		}
		return got, nil
	case <-c.done:
		return admitted{}, errLost
	}
}

// awaitRelease waits until the bucket is handed back, so that the request can
// go to the next owner.
func (c *committer) awaitRelease(ctx context.Context) error {
	select {
	case <-c.done:
		return errLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settle tells the loop what became of a run.
func (c *committer) settle(r *run, state journal.State, answer *journal.Answer) {
	select {
	case c.outcomes <- outcome{run: r, state: state, answer: answer}:
	case <-c.done:
	}
}
