package kernel

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

func runLoop(t *testing.T, clock clockwork.Clock) *Loop {
	t.Helper()
	loop := NewLoop(clock)
	ctx, cancel := context.WithCancel(context.Background())
	go loop.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-loop.Done()
	})
	return loop
}

func TestLoop_SerializesMessages(t *testing.T) {
	loop := runLoop(t, clockwork.NewRealClock())
	executor := NewLoopExecutor(loop)
	total := 0
	mailbox := NewMailbox(loop, 1000, func(n int) { total += n })
	var senders sync.WaitGroup
	for range 10 {
		senders.Go(func() {
			for range 100 {
				_ = mailbox.Post(1)
			}
		})
	}
	senders.Wait()
	seen := 0
	must.NoError(t, executor.Do(t.Context(), func() { seen = total }))
	// The first call may run before the last messages are handled, because the
	// executor's mailbox is drained first. The second call runs after them.
	must.NoError(t, executor.Do(t.Context(), func() { seen = total }))
	must.Eq(t, 1000, seen)
}

func TestMailbox_RejectsWhenFull(t *testing.T) {
	loop := NewLoop(clockwork.NewFakeClock())
	mailbox := NewMailbox(loop, 2, func(int) {})
	must.NoError(t, mailbox.Post(1))
	must.NoError(t, mailbox.Post(2))
	must.ErrorIs(t, mailbox.Post(3), ErrMailboxFull)
	must.Eq(t, 1, mailbox.Dropped())
}

// TestRunAsync_FullMailbox makes more calls than the mailbox has room for while the
// loop is busy. Each call must have its result.
func TestRunAsync_FullMailbox(t *testing.T) {
	const calls = 50
	loop, workers := NewLoop(clockwork.NewFakeClock()), NewWorkers(calls)
	defer workers.Stop()
	seen := make(map[int]bool)
	results := NewMailbox(loop, 2, func(result AsyncResult[int]) { seen[result.Value] = true })
	for i := range calls {
		RunAsync(workers, time.Second, results, func(context.Context) (int, error) { return i, nil })
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		loop.runOnce()
		return len(seen) == calls
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	must.Eq(t, 0, results.Dropped())
}

// TestMailbox_PostWaitEnds checks that a wait for room ends with its context.
func TestMailbox_PostWaitEnds(t *testing.T) {
	mailbox := NewMailbox(NewLoop(clockwork.NewFakeClock()), 1, func(int) {})
	must.NoError(t, mailbox.PostWait(t.Context(), 1))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	must.ErrorIs(t, mailbox.PostWait(ctx, 2), context.DeadlineExceeded)
}

func TestCoalescingMailbox_KeepsNewestPerKey(t *testing.T) {
	loop := NewLoop(clockwork.NewFakeClock())
	got := map[string]int{}
	mailbox := NewCoalescingMailbox(loop, 2, func(key string, n int) { got[key] = n })
	must.NoError(t, mailbox.Post("a", 1))
	must.NoError(t, mailbox.Post("a", 2))
	must.NoError(t, mailbox.Post("b", 3))
	must.ErrorIs(t, mailbox.Post("c", 4), ErrMailboxFull)
	must.Eq(t, 2, loop.runOnce())
	must.Eq(t, map[string]int{"a": 2, "b": 3}, got)
}

func TestLoop_Timers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loop := NewLoop(clock)
	var fired []string
	loop.AfterFunc(2*time.Second, func() { fired = append(fired, "second") })
	loop.AfterFunc(time.Second, func() { fired = append(fired, "first") })
	loop.CancelTimer(loop.AfterFunc(time.Second, func() { fired = append(fired, "never") }))
	must.Eq(t, 0, loop.runOnce())
	clock.Advance(3 * time.Second)
	must.Eq(t, 2, loop.runOnce())
	must.Eq(t, []string{"first", "second"}, fired)
}

func TestSnapshot_Watch(t *testing.T) {
	one, two := 1, 2
	snapshot := NewSnapshot(&one)
	value, replaced := snapshot.Watch()
	must.Eq(t, 1, *value)
	snapshot.Publish(&two)
	<-replaced
	must.Eq(t, 2, *snapshot.Load())
}

func TestSubscribe_DeliversNewestValue(t *testing.T) {
	loop := runLoop(t, clockwork.NewRealClock())
	workers := NewWorkers(1)
	defer workers.Stop()
	one, two := 1, 2
	snapshot := NewSnapshot(&one)
	seen := make(chan int, 2)
	Subscribe(loop, workers, snapshot, func(value *int) { seen <- *value })
	must.Eq(t, 1, <-seen)
	snapshot.Publish(&two)
	must.Eq(t, 2, <-seen)
}
