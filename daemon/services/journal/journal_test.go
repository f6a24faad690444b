package journal

import (
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

func TestSubmit_ReplaysAnswer(t *testing.T) {
	f := newTestFleet(t)
	first, second := f.start("a"), f.start("b")
	reply, err := first.Submit(t.Context(), f.request("k"))
	must.NoError(t, err)
	must.False(t, reply.Repeated)
	must.Eq(t, expectedReceipt("k"), string(reply.Answer.Body))
	for _, d := range []*daemon{first, second} {
		reply, err = d.Submit(t.Context(), f.request("k"))
		must.NoError(t, err)
		must.True(t, reply.Repeated)
		must.Eq(t, expectedReceipt("k"), string(reply.Answer.Body))
	}
	must.Eq(t, 1, f.backendRuns("k"))
}

func TestSubmit_KeyReused(t *testing.T) {
	f := newTestFleet(t)
	d := f.start("a")
	_, err := d.Submit(t.Context(), f.request("k"))
	must.NoError(t, err)
	other := f.request("k")
	other.Body = []byte("another claim")
	_, err = d.Submit(t.Context(), other)
	must.Eq(t, result.KeyReused, result.CodeOf(err))
	must.Eq(t, 1, f.backendRuns("k"))
}

// TestSubmit_Quarantined checks that a quarantined submission is refused before
// its intent is written, and that a recorded answer is still replayed. It also
// checks the fingerprint and the byte count that the balancer gets.
func TestSubmit_Quarantined(t *testing.T) {
	f := newTestFleet(t)
	d := f.start("a")
	_, err := d.Submit(t.Context(), f.request("k"))
	must.NoError(t, err)
	fingerprint := d.backends.picks[0].Fingerprint
	must.NotEq(t, 0, fingerprint)
	must.Between(t, int64(len("claim k")+len(expectedReceipt("k"))), d.backends.outcomes[0].Bytes, 1000)
	d.backends.quarantined = fingerprint
	again := f.request("another key")
	again.Body = f.request("k").Body
	f.makeOwner(d, again.Key)
	var writes atomic.Int64
	d.store.setHooks(func(string) error { writes.Add(1); return nil }, nil)
	_, err = d.Submit(t.Context(), again)
	must.Eq(t, result.Quarantined, result.CodeOf(err))
	must.Zero(t, writes.Load())
	reply, err := d.Submit(t.Context(), f.request("k"))
	must.NoError(t, err)
	must.True(t, reply.Repeated)
}

// TestSubmit_ReplayAfterHandBack stops an owner, which hands its buckets back,
// and expects the recorded answers from the next owner.
func TestSubmit_ReplayAfterHandBack(t *testing.T) {
	f := newTestFleet(t)
	first, second := f.start("a"), f.start("b")
	for i := range 50 {
		_, err := first.Submit(t.Context(), f.request(keyOf(i)))
		must.NoError(t, err)
	}
	first.stop()
	for i := range 50 {
		reply, err := second.Submit(t.Context(), f.request(keyOf(i)))
		must.NoError(t, err)
		must.True(t, reply.Repeated)
		must.Eq(t, 1, f.backendRuns(keyOf(i)))
	}
}

func TestStop_NoGoroutineLeak(t *testing.T) {
	f := newTestFleet(t)
	f.plainClient = instantPlain{}
	running := goleak.IgnoreCurrent()
	first, second := f.start("a"), f.start("b")
	for i := range 20 {
		for _, d := range []*daemon{first, second} {
			_, err := d.Submit(t.Context(), f.request(keyOf(i)))
			must.NoError(t, err)
		}
	}
	first.stop()
	second.stop()
	goleak.VerifyNone(t, running)
}
