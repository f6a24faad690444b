package contract

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

func TestEndReason(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	must.Eq(t, "cut by the server", EndReason(ctx, RunResult{Outcome: RunInterrupted}))
	must.Eq(t, "not started", EndReason(ctx, RunResult{Outcome: RunNotStarted}))
	cancel(CutMoved)
	run, cancelRun := context.WithCancelCause(ctx)
	defer cancelRun(nil)
	must.Eq(t, "moved", EndReason(run, RunResult{Outcome: RunInterrupted}))
	// The text was complete when the cut came.
	must.Eq(t, "whole", EndReason(run, RunResult{Outcome: RunCompleted}))
}

func TestReasons_HaveNames(t *testing.T) {
	for start := StartFirst; start <= StartRepeated; start++ {
		must.NotEq(t, "", start.String())
	}
	for cut := CutMoved; cut <= CutLeaving; cut++ {
		must.NotEq(t, "", cut.String())
	}
}
