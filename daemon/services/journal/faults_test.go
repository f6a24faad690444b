package journal

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	standin "github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/outside"
)

func TestFault_OwnerKilledBetweenIntentAndSend(t *testing.T) {
	b := newBench(t)
	owner, other, third := b.start("a"), b.start("b"), b.start("c")
	b.own(owner, "k")
	owner.plain.hook(owner.gate.kill, nil)
	_, err := other.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	_, err = third.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	must.Eq(t, 0, b.runs("k"))
}

func TestFault_OwnerKilledBetweenSendAndOutcome(t *testing.T) {
	b := newBench(t)
	owner, other, third := b.start("a"), b.start("b"), b.start("c")
	b.own(owner, "k")
	owner.plain.hook(nil, owner.gate.kill)
	_, err := other.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	_, err = third.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.JournalTakeover, result.CodeOf(err))
	must.Eq(t, 1, b.runs("k"))
}

// TestFault_FrozenOwnerWithAFullBatch freezes an owner with a batch in hand,
// replaces it, and thaws it: its write must fail, and each of its requests
// runs once, at the new owner.
func TestFault_FrozenOwnerWithAFullBatch(t *testing.T) {
	b := newBench(t)
	b.spans = shortSpans()
	owner, other := b.start("a"), b.start("b")
	keys := keysIn(bucketOf("k"), 20)
	b.own(owner, "k")
	frozen := make(chan struct{})
	var once sync.Once
	owner.store.hook(func(string) error {
		once.Do(func() {
			owner.gate.freeze()
			close(frozen)
		})
		return nil
	}, nil)
	var waiting sync.WaitGroup
	submit := func(d *daemon, key string) {
		waiting.Go(func() {
			reply, err := d.Submit(t.Context(), b.request(key))
			must.NoError(t, err)
			must.Eq(t, receipt(key), string(reply.Answer.Body))
		})
	}
	for _, key := range keys {
		submit(owner, key)
	}
	<-frozen
	// The new owner answers before the former one is thawed.
	reply, err := other.Submit(t.Context(), b.request(keys[0]))
	must.NoError(t, err)
	must.False(t, reply.Repeated)
	owner.gate.thaw()
	waiting.Wait()
	for _, key := range keys {
		must.Eq(t, 1, b.runs(key))
	}
}

func TestFault_AnswersOfWritesAreLost(t *testing.T) {
	b := newBench(t)
	d := b.start("a")
	var writes atomic.Int64
	d.store.hook(nil, func(string) error {
		if writes.Add(1)%2 == 0 {
			return outside.ErrUnavailable
		}
		return nil
	})
	for i := range 50 {
		_, err := d.Submit(t.Context(), b.request(keyOf(i)))
		must.NoError(t, err)
		must.Eq(t, 1, b.runs(keyOf(i)))
	}
}

func TestFault_RateLimitedStore(t *testing.T) {
	b := newBench(t)
	d := b.start("a")
	var writes atomic.Int64
	d.store.hook(func(string) error {
		if writes.Add(1)%3 == 0 {
			return outside.ErrRateLimited
		}
		return nil
	}, nil)
	keys := keysIn(bucketOf("k"), 12)
	b.own(d, "k")
	for _, key := range keys {
		_, err := d.Submit(t.Context(), b.request(key))
		must.NoError(t, err)
		must.Eq(t, 1, b.runs(key))
	}
}

func TestFault_StoreDownIsNotRun(t *testing.T) {
	b := newBench(t)
	b.due = 200 * time.Millisecond
	d := b.start("a")
	b.own(d, "k")
	b.store.SetFaults(store.Faults{Down: true})
	for _, key := range []string{"k", "unowned"} {
		_, err := d.Submit(t.Context(), b.request(key))
		must.Eq(t, result.JournalUnreached, result.CodeOf(err))
	}
	must.SliceEmpty(t, b.portal.Runs())
	b.store.SetFaults(store.Faults{})
	// A key that was refused as not run may be used again.
	for result.CodeOf(submitOnce(b, d, "k")) == result.JournalUnreached {
	}
	must.Eq(t, 1, b.runs("k"))
}

func submitOnce(b *bench, d *daemon, key string) error {
	_, err := d.Submit(b.t.Context(), b.request(key))
	return err
}

func TestFault_RetryElsewhereWhileTheFirstRuns(t *testing.T) {
	b := newBench(t)
	first, second := b.start("a"), b.start("b")
	sending, release := make(chan struct{}), make(chan struct{})
	first.plain.hook(func() {
		close(sending)
		<-release
	}, nil)
	done := make(chan error, 1)
	go func() {
		_, err := first.Submit(t.Context(), b.request("k"))
		done <- err
	}()
	<-sending
	_, err := second.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.StillRunning, result.CodeOf(err))
	close(release)
	must.NoError(t, <-done)
	reply, err := second.Submit(t.Context(), b.request("k"))
	must.NoError(t, err)
	must.True(t, reply.Repeated)
	must.Eq(t, 1, b.runs("k"))
}

func TestFault_CutAnswerIsUnknownForGood(t *testing.T) {
	b := newBench(t)
	first, second := b.start("a"), b.start("b")
	b.portal.SetFaults(standin.Faults{CutAfter: 3})
	_, err := first.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.MayHaveRun, result.OutcomeOf(err))
	b.portal.SetFaults(standin.Faults{})
	for _, d := range []*daemon{second, first} {
		_, err = d.Submit(t.Context(), b.request("k"))
		must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	}
	must.Eq(t, 1, b.runs("k"))
}

// TestFault_RaceForBuckets brings each key to all daemons at once, while no
// bucket has an owner.
func TestFault_RaceForBuckets(t *testing.T) {
	b := newBench(t)
	daemons := []*daemon{b.start("a"), b.start("b"), b.start("c"), b.start("d")}
	const keys = 40
	var fresh [keys]atomic.Int64
	var waiting sync.WaitGroup
	for i := range keys {
		for _, d := range daemons {
			waiting.Go(func() {
				reply, err := d.Submit(t.Context(), b.request(keyOf(i)))
				if err == nil && !reply.Repeated {
					fresh[i].Add(1)
				}
			})
		}
	}
	waiting.Wait()
	for i := range keys {
		must.Eq(t, 1, fresh[i].Load())
		must.Eq(t, 1, b.runs(keyOf(i)))
	}
}

func TestFault_LostReplyOfTheOwner(t *testing.T) {
	b := newBench(t)
	owner, other := b.start("a"), b.start("b")
	b.own(owner, "k")
	b.network.loseReplies("a", 1)
	reply, err := other.Submit(t.Context(), b.request("k"))
	must.NoError(t, err)
	must.Eq(t, receipt("k"), string(reply.Answer.Body))
	must.Eq(t, 1, b.runs("k"))
}

// TestFault_RefusalByTheServerIsUnknownForGood lets the server answer with
// status 503 after it has read the submission: its word is no proof that
// nothing ran.
func TestFault_RefusalByTheServerIsUnknownForGood(t *testing.T) {
	b := newBench(t)
	d := b.start("a")
	b.portal.SetFaults(standin.Faults{Leaving: true})
	_, err := d.Submit(t.Context(), b.request("key"))
	must.Eq(t, result.BackendRefused, result.CodeOf(err))
	must.Eq(t, result.MayHaveRun, result.OutcomeOf(err))
	b.portal.SetFaults(standin.Faults{})
	_, err = d.Submit(t.Context(), b.request("key"))
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	must.Eq(t, 0, b.runs("key"))
}
