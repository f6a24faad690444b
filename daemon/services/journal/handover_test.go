package journal

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/outside"
)

// TestFault_LostRepliesThenStoreOutage loses both replies of an owner to a
// submission that ran, while the store goes down. The caller must not get an
// error that means "not run".
func TestFault_LostRepliesThenStoreOutage(t *testing.T) {
	f := newTestFleet(t)
	owner, other := f.start("a"), f.start("b")
	f.makeOwner(owner, "k")
	owner.plain.setHooks(nil, func() { f.store.SetFaults(store.Faults{Down: true}) })
	f.network.loseReplies("a", 2)
	_, err := other.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	must.Eq(t, 1, f.backendRuns("k"))
	f.store.SetFaults(store.Faults{})
}

// TestFault_OwnerWithoutStore lets a daemon that reaches the store take over
// from an owner that does not, and then restores the former owner's access.
func TestFault_OwnerWithoutStore(t *testing.T) {
	f := newTestFleet(t)
	owner, other := f.start("a"), f.start("b")
	f.makeOwner(owner, "k")
	owner.store.setHooks(func(string) error { return outside.ErrUnavailable }, nil)
	reply, err := other.Submit(t.Context(), f.request("k"))
	must.NoError(t, err)
	must.Eq(t, expectedReceipt("k"), string(reply.Answer.Body))
	_, err = owner.Submit(t.Context(), f.request("k"))
	must.Eq(t, result.JournalUnreached, result.CodeOf(err))
	owner.store.setHooks(nil, nil)
	for {
		reply, err = owner.Submit(t.Context(), f.request("k"))
		if result.CodeOf(err) != result.JournalUnreached {
			break
		}
	}
	must.NoError(t, err)
	must.True(t, reply.Repeated)
	must.Eq(t, 1, f.backendRuns("k"))
}

// TestFault_PlannedStop stops an owner with one request in flight, which must
// finish, while another arrives, which must run at the next owner.
func TestFault_PlannedStop(t *testing.T) {
	f := newTestFleet(t)
	owner, other := f.start("a"), f.start("b")
	keys := keysIn(bucketOf("k"), 2)
	f.makeOwner(owner, "k")
	sending, release := make(chan struct{}), make(chan struct{})
	var sends atomic.Int32
	owner.plain.setHooks(func() {
		if sends.Add(1) > 1 {
			t.Error("the stopping owner sent a submission that arrived after its stop")
			return
		}
		close(sending)
		<-release
	}, nil)
	var wg sync.WaitGroup
	submit := func(key string) {
		wg.Go(func() {
			_, err := other.Submit(t.Context(), f.request(key))
			must.NoError(t, err)
		})
	}
	submit(keys[0])
	<-sending
	wg.Go(owner.stop)
	for !isStopping(t, owner) {
	}
	submit(keys[1])
	close(release)
	wg.Wait()
	for _, key := range keys {
		must.Eq(t, 1, f.backendRuns(key))
		reply, err := other.Submit(t.Context(), f.request(key))
		must.NoError(t, err)
		must.True(t, reply.Repeated)
	}
}

// TestFault_AdmissionAfterDrainRequest delivers an admission before the request
// to drain that was sent earlier. It must not be admitted.
func TestFault_AdmissionAfterDrainRequest(t *testing.T) {
	f := newTestFleet(t)
	owner := f.start("a")
	f.makeOwner(owner, "k")
	running := owner.view.Load().owners[bucketOf("k")].committer
	// The loop has ended, so the test's goroutine holds the bucket's state.
	owner.stopCommitters()
	<-running.done
	running.drain <- struct{}{}
	request := submission{SubmitRequest: f.request("k")}
	admit := admitRequest{request: request.journalRequest(), reply: make(chan admitResult, 1)}
	running.handleAdmitRequest(admit)
	result := <-admit.reply
	must.True(t, result.draining)
	must.MapEmpty(t, running.executions)
}

// TestFault_SubmissionAfterHandBack forwards a submission to an owner that has
// handed its buckets back but still serves calls. It must run at the next owner.
func TestFault_SubmissionAfterHandBack(t *testing.T) {
	f := newTestFleet(t)
	owner, other := f.start("a"), f.start("b")
	keys := keysIn(bucketOf("k"), 2)
	f.makeOwner(owner, "k")
	_, err := other.Submit(t.Context(), f.request(keys[0]))
	must.NoError(t, err)
	owner.stop()
	_, err = other.Submit(t.Context(), f.request(keys[1]))
	must.NoError(t, err)
	must.Eq(t, 1, f.backendRuns(keys[1]))
}

func isStopping(t *testing.T, d *daemon) bool {
	t.Helper()
	stopping := false
	must.NoError(t, d.calls.Do(t.Context(), func() { stopping = d.stopping }))
	return stopping
}
