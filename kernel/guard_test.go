package kernel

import (
	"context"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// startGuarded starts a kernel without services and returns it.
func startGuarded(t *testing.T) *Kernel {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := New(Options{Registry: NewRegistry(), Log: log, Clock: clockwork.NewRealClock()})
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
	return k
}

// TestGuard_MessageAndTimer lets a message and a timer of the control loop panic.
// The loop must handle the others.
func TestGuard_MessageAndTimer(t *testing.T) {
	k := New(Options{Registry: NewRegistry(), Log: logrus.New()})
	k.options.Log.SetOutput(io.Discard)
	handled := make(chan int, 3)
	mailbox := NewMailbox(k.loop, 8, func(message int) {
		if message == 1 {
			panic("malformed message")
		}
		handled <- message
	})
	k.loop.AfterFunc(0, func() { panic("timer") })
	k.loop.AfterFunc(0, func() { handled <- 0 })
	must.NoError(t, k.Start(t.Context()))
	for _, message := range []int{1, 2} {
		must.NoError(t, mailbox.Post(message))
	}
	must.Eq(t, 0, <-handled)
	must.Eq(t, 2, <-handled)
	must.Eq(t, 2, k.guard.Count())
	must.NoError(t, k.Stop(t.Context()))
}

// TestGuard_Worker lets a call on a worker panic. Its result must still arrive,
// and the kernel must stop without a panic.
func TestGuard_Worker(t *testing.T) {
	k := New(Options{Registry: NewRegistry(), Log: logrus.New()})
	k.options.Log.SetOutput(io.Discard)
	results := make(chan error, 1)
	mailbox := NewMailbox(k.loop, 1, func(reply AsyncResult[int]) { results <- reply.Err })
	must.NoError(t, k.Start(t.Context()))
	RunAsync(k.workers, 0, mailbox, func(context.Context) (int, error) { panic("unexpected reply") })
	must.ErrorIs(t, <-results, ErrPanicked)
	must.NoError(t, k.Stop(t.Context()))
}

func TestGuard_LoopExecutor(t *testing.T) {
	k := startGuarded(t)
	executor := NewLoopExecutor(k.Loop())
	must.ErrorIs(t, executor.Do(t.Context(), func() { panic("status query") }), ErrPanicked)
	must.NoError(t, executor.Do(t.Context(), func() {}))
}

// TestGuard_InvariantViolation checks that only the violation of an invariant asks
// the process to stop.
func TestGuard_InvariantViolation(t *testing.T) {
	k := startGuarded(t)
	must.False(t, k.guard.Run("a message", func() { panic("other") }))
	select {
	case <-k.Failed():
		t.Fatal("the kernel failed after an ordinary panic")
	default:
	}
	for range 2 {
		must.False(t, k.guard.Run("a message", func() { panic(InvariantViolation{Reason: "two owners"}) }))
	}
	<-k.Failed()
}
