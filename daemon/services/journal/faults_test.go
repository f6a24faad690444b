package journal

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	emulator "github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/outside"
)

func TestFault_OwnerKilledBetweenIntentAndSend(t *testing.T) {
	f := newTestFleet(t)
	owner, other, third := f.start("a"), f.start("b"), f.start("c")
	f.makeOwner(owner, "k")
	owner.plain.setHooks(owner.gate.kill, nil)
	_, err := other.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	_, err = third.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	must.Eq(t, 0, f.backendRuns("k"))
}

func TestFault_OwnerKilledBetweenSendAndOutcome(t *testing.T) {
	f := newTestFleet(t)
	owner, other, third := f.start("a"), f.start("b"), f.start("c")
	f.makeOwner(owner, "k")
	owner.plain.setHooks(nil, owner.gate.kill)
	_, err := other.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	_, err = third.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	must.Eq(t, 1, f.backendRuns("k"))
}

// TestFault_OwnerFrozenDuringWrite freezes an owner during a write, lets
// another daemon claim the bucket, and thaws it. The former owner's write must
// fail, and each request must run once, at the new owner.
func TestFault_OwnerFrozenDuringWrite(t *testing.T) {
	f := newTestFleet(t)
	f.timeouts = shortTimeouts()
	owner, other := f.start("a"), f.start("b")
	keys := keysIn(bucketOf("k"), 20)
	f.makeOwner(owner, "k")
	frozen := make(chan struct{})
	var once sync.Once
	owner.store.setHooks(func(string) error {
		once.Do(func() {
			owner.gate.freeze()
			close(frozen)
		})
		return nil
	}, nil)
	var wg sync.WaitGroup
	submit := func(d *daemon, key string) {
		wg.Go(func() {
			reply, err := d.Submit(t.Context(), f.request(key))
			must.NoError(t, err)
			must.Eq(t, expectedReceipt(key), string(reply.Answer.Body))
		})
	}
	for _, key := range keys {
		submit(owner, key)
	}
	<-frozen
	// The new owner answers before the former one is thawed.
	reply, err := other.Submit(t.Context(), f.request(keys[0]))
	must.NoError(t, err)
	must.False(t, reply.Repeated)
	owner.gate.thaw()
	wg.Wait()
	for _, key := range keys {
		must.Eq(t, 1, f.backendRuns(key))
	}
}

// TestFault_LostWriteReplies loses every second reply of the store to a write
// that took effect.
func TestFault_LostWriteReplies(t *testing.T) {
	f := newTestFleet(t)
	d := f.start("a")
	var writes atomic.Int64
	d.store.setHooks(nil, func(string) error {
		if writes.Add(1)%2 == 0 {
			return outside.ErrUnavailable
		}
		return nil
	})
	for i := range 50 {
		_, err := d.Submit(t.Context(), f.request(keyOf(i)))
		must.NoError(t, err)
		must.Eq(t, 1, f.backendRuns(keyOf(i)))
	}
}

func TestFault_RateLimitedStore(t *testing.T) {
	f := newTestFleet(t)
	d := f.start("a")
	var writes atomic.Int64
	d.store.setHooks(func(string) error {
		if writes.Add(1)%3 == 0 {
			return outside.ErrRateLimited
		}
		return nil
	}, nil)
	keys := keysIn(bucketOf("k"), 12)
	f.makeOwner(d, "k")
	for _, key := range keys {
		_, err := d.Submit(t.Context(), f.request(key))
		must.NoError(t, err)
		must.Eq(t, 1, f.backendRuns(key))
	}
}

func TestFault_StoreOutage(t *testing.T) {
	f := newTestFleet(t)
	f.timeout = 200 * time.Millisecond
	d := f.start("a")
	f.makeOwner(d, "k")
	f.store.SetFaults(store.Faults{Down: true})
	for _, key := range []string{"k", "unowned"} {
		_, err := d.Submit(t.Context(), f.request(key))
		must.Eq(t, result.JournalUnreached, result.CodeOf(err))
	}
	must.SliceEmpty(t, f.backend.Runs())
	f.store.SetFaults(store.Faults{})
	// A key that was refused as not run may be used again.
	for result.CodeOf(submitOnce(f, d, "k")) == result.JournalUnreached {
	}
	must.Eq(t, 1, f.backendRuns("k"))
}

func submitOnce(f *testFleet, d *daemon, key string) error {
	_, err := d.Submit(f.t.Context(), f.request(key))
	return err
}

func TestFault_ConcurrentRetryAtOtherDaemon(t *testing.T) {
	f := newTestFleet(t)
	first, second := f.start("a"), f.start("b")
	sending, release := make(chan struct{}), make(chan struct{})
	first.plain.setHooks(func() {
		close(sending)
		<-release
	}, nil)
	done := make(chan error, 1)
	go func() {
		_, err := first.Submit(t.Context(), f.request("k"))
		done <- err
	}()
	<-sending
	_, err := second.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.StillRunning, result.CodeOf(err))
	close(release)
	must.NoError(t, <-done)
	reply, err := second.Submit(t.Context(), f.request("k"))
	must.NoError(t, err)
	must.True(t, reply.Repeated)
	must.Eq(t, 1, f.backendRuns("k"))
}

// TestFault_TruncatedBackendResponse checks that the outcome stays unknown for
// retries.
func TestFault_TruncatedBackendResponse(t *testing.T) {
	f := newTestFleet(t)
	first, second := f.start("a"), f.start("b")
	f.backend.SetFaults(emulator.Faults{CutAfter: 3})
	_, err := first.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.MayHaveRun, result.OutcomeOf(err))
	f.backend.SetFaults(emulator.Faults{})
	for _, d := range []*daemon{second, first} {
		_, err = d.Submit(t.Context(), f.request("k"))
		must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	}
	must.Eq(t, 1, f.backendRuns("k"))
}

// TestFault_ConcurrentClaims submits each key to all daemons at once while no
// bucket has an owner.
func TestFault_ConcurrentClaims(t *testing.T) {
	f := newTestFleet(t)
	daemons := []*daemon{f.start("a"), f.start("b"), f.start("c"), f.start("d")}
	const keys = 40
	var fresh [keys]atomic.Int64
	var wg sync.WaitGroup
	for i := range keys {
		for _, d := range daemons {
			wg.Go(func() {
				reply, err := d.Submit(t.Context(), f.request(keyOf(i)))
				if err == nil && !reply.Repeated {
					fresh[i].Add(1)
				}
			})
		}
	}
	wg.Wait()
	for i := range keys {
		must.Eq(t, 1, fresh[i].Load())
		must.Eq(t, 1, f.backendRuns(keyOf(i)))
	}
}

func TestFault_LostOwnerReply(t *testing.T) {
	f := newTestFleet(t)
	owner, other := f.start("a"), f.start("b")
	f.makeOwner(owner, "k")
	f.network.loseReplies("a", 1)
	reply, err := other.Submit(t.Context(), f.request("k"))
	must.NoError(t, err)
	must.Eq(t, expectedReceipt("k"), string(reply.Answer.Body))
	must.Eq(t, 1, f.backendRuns("k"))
}

// TestFault_BackendRefusal makes the server respond with status 503 after it
// has read the submission. The status is no proof that nothing ran, so the
// outcome is unknown, also for retries.
func TestFault_BackendRefusal(t *testing.T) {
	f := newTestFleet(t)
	d := f.start("a")
	f.backend.SetFaults(emulator.Faults{Leaving: true})
	_, err := d.Submit(t.Context(), f.request("key"))
	must.Eq(t, result.BackendRefused, result.CodeOf(err))
	must.Eq(t, result.MayHaveRun, result.OutcomeOf(err))
	f.backend.SetFaults(emulator.Faults{})
	_, err = d.Submit(t.Context(), f.request("key"))
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	must.Eq(t, 0, f.backendRuns("key"))
}
