package contract

import (
	"context"

	"github.com/pkg/errors"
)

// RunStart is why a run starts. It is a label of logs and metrics.
type RunStart uint8

// The reasons for starts.
const (
	// StartFirst is the first run of an item.
	StartFirst RunStart = iota
	// StartResumed continues a text of an earlier owner, of an ended job or of a
	// checkpoint.
	StartResumed
	// StartMoved continues the text of a run that was stopped because it was slow or its
	// server leaves.
	StartMoved
	// StartContinued continues the text of a run that ended too early.
	StartContinued
	// StartDeclined follows a run that its server did not start.
	StartDeclined
	// StartRepeated follows a failure, or a text that could not be used.
	StartRepeated
)

// String returns the name of the reason in logs and metrics.
func (r RunStart) String() string {
	return [...]string{"first", "resumed", "moved", "continued", "declined", "repeated"}[r]
}

// StartAfter returns why an item starts again after a run with an outcome.
func StartAfter(outcome RunOutcome) RunStart {
	switch outcome {
	case RunInterrupted:
		return StartContinued
	case RunNotStarted, RunUnreachable, RunStaleWeights:
		return StartDeclined
	}
	return StartRepeated
}

// RunCut is why the daemon itself stops a run. It is the cause with which the context of
// the run is canceled, and a label of logs and metrics.
type RunCut uint8

// The reasons for cuts.
const (
	// CutMoved stops a slow run, which continues on another server.
	CutMoved RunCut = iota + 1
	// CutReplaced stops a run whose item got a longer text.
	CutReplaced
	// CutJobEnded stops the runs of a job that its caller ended.
	CutJobEnded
	// CutOwnerChanged stops the runs of a job that another daemon owns now.
	CutOwnerChanged
	// CutStopping stops the runs of a daemon that stops.
	CutStopping
	// CutStalled stops a run without an event for too long.
	CutStalled
	// CutLeaving stops a run that would not finish before its server leaves.
	CutLeaving
)

// Error implements error.
func (c RunCut) Error() string { return "run cut: " + c.String() }

// String returns the name of the reason in logs and metrics.
func (c RunCut) String() string {
	return [...]string{"", "moved", "replaced", "job ended", "owner changed", "stopping", "stalled", "leaving"}[c]
}

// EndReason returns the reason for the end of a run for logs and metrics: why the daemon
// stopped it, or else the outcome, which is that of the server. The context is that of
// the run.
func EndReason(ctx context.Context, result RunResult) string {
	var cut RunCut
	if result.Outcome != RunCompleted && errors.As(context.Cause(ctx), &cut) {
		return cut.String()
	}
	if result.Outcome == RunInterrupted {
		return "cut by the server"
	}
	return result.Outcome.String()
}
