package journal

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/outside"
)

// TestFault_ARanSubmissionIsNeverToldNotRun loses both replies of an owner
// after the submission ran, and then the store.
func TestFault_ARanSubmissionIsNeverToldNotRun(t *testing.T) {
	b := newBench(t)
	owner, other := b.start("a"), b.start("b")
	b.own(owner, "k")
	owner.plain.hook(nil, func() { b.store.SetFaults(store.Faults{Down: true}) })
	b.network.loseReplies("a", 2)
	_, err := other.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	must.Eq(t, 1, b.runs("k"))
	b.store.SetFaults(store.Faults{})
}

// TestFault_OwnerCutFromTheStore lets a daemon that reaches the store take over
// from an owner that does not, and then heals the owner.
func TestFault_OwnerCutFromTheStore(t *testing.T) {
	b := newBench(t)
	owner, other := b.start("a"), b.start("b")
	b.own(owner, "k")
	owner.store.hook(func(string) error { return outside.ErrUnavailable }, nil)
	reply, err := other.Submit(t.Context(), b.request("k"))
	must.NoError(t, err)
	must.Eq(t, receipt("k"), string(reply.Answer.Body))
	_, err = owner.Submit(t.Context(), b.request("k"))
	must.Eq(t, result.JournalUnreached, result.CodeOf(err))
	owner.store.hook(nil, nil)
	for {
		reply, err = owner.Submit(t.Context(), b.request("k"))
		if result.CodeOf(err) != result.JournalUnreached {
			break
		}
	}
	must.NoError(t, err)
	must.True(t, reply.Repeated)
	must.Eq(t, 1, b.runs("k"))
}

// TestFault_PlannedStopCutsOffNoRequest stops an owner with one request in
// flight and another arriving, which runs at the next owner.
func TestFault_PlannedStopCutsOffNoRequest(t *testing.T) {
	b := newBench(t)
	owner, other := b.start("a"), b.start("b")
	keys := keysIn(bucketOf("k"), 2)
	b.own(owner, "k")
	sending, release := make(chan struct{}), make(chan struct{})
	owner.plain.hook(func() {
		close(sending)
		<-release
	}, nil)
	var waiting sync.WaitGroup
	submit := func(key string) {
		waiting.Go(func() {
			_, err := other.Submit(t.Context(), b.request(key))
			must.NoError(t, err)
		})
	}
	submit(keys[0])
	<-sending
	waiting.Go(owner.stop)
	for !isStopping(t, owner) {
	}
	submit(keys[1])
	close(release)
	waiting.Wait()
	for _, key := range keys {
		must.Eq(t, 1, b.runs(key))
		reply, err := other.Submit(t.Context(), b.request(key))
		must.NoError(t, err)
		must.True(t, reply.Repeated)
	}
}

func isStopping(t *testing.T, d *daemon) bool {
	t.Helper()
	stopping := false
	must.NoError(t, d.calls.Do(t.Context(), func() { stopping = d.stopping }))
	return stopping
}
