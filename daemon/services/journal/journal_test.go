package journal

import (
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

func TestSubmit_RunsOnceAndRepeatsTheAnswer(t *testing.T) {
	b := newBench(t)
	first, second := b.start("a"), b.start("b")
	reply, err := first.Submit(t.Context(), b.request("k"))
	must.NoError(t, err)
	must.False(t, reply.Repeated)
	must.Eq(t, receipt("k"), string(reply.Answer.Body))
	for _, d := range []*daemon{first, second} {
		reply, err = d.Submit(t.Context(), b.request("k"))
		must.NoError(t, err)
		must.True(t, reply.Repeated)
		must.Eq(t, receipt("k"), string(reply.Answer.Body))
	}
	must.Eq(t, 1, b.runs("k"))
}

func TestSubmit_RefusesAKeyOfAnotherRequest(t *testing.T) {
	b := newBench(t)
	d := b.start("a")
	_, err := d.Submit(t.Context(), b.request("k"))
	must.NoError(t, err)
	other := b.request("k")
	other.Body = []byte("another claim")
	_, err = d.Submit(t.Context(), other)
	must.Eq(t, result.KeyReused, result.CodeOf(err))
	must.Eq(t, 1, b.runs("k"))
}

// TestSubmit_SurvivesAPlannedStop hands buckets back and finds the recorded
// answers at the next owner.
// TestSubmit_QuarantinedIsRefusedBeforeItsIntent also holds what the balancer
// is told of a submission.
func TestSubmit_QuarantinedIsRefusedBeforeItsIntent(t *testing.T) {
	b := newBench(t)
	d := b.start("a")
	_, err := d.Submit(t.Context(), b.request("k"))
	must.NoError(t, err)
	print := d.backends.asked[0].Fingerprint
	must.NotEq(t, 0, print)
	must.Between(t, int64(len("claim k")+len(receipt("k"))), d.backends.finished[0].Bytes, 1000)
	d.backends.poison = print
	again := b.request("another key")
	again.Body = b.request("k").Body
	b.own(d, again.Key)
	var writes atomic.Int64
	d.store.hook(func(string) error { writes.Add(1); return nil }, nil)
	_, err = d.Submit(t.Context(), again)
	must.Eq(t, result.Quarantined, result.CodeOf(err))
	must.Zero(t, writes.Load())
	reply, err := d.Submit(t.Context(), b.request("k"))
	must.NoError(t, err)
	must.True(t, reply.Repeated)
}

func TestSubmit_SurvivesAPlannedStop(t *testing.T) {
	b := newBench(t)
	first, second := b.start("a"), b.start("b")
	for i := range 50 {
		_, err := first.Submit(t.Context(), b.request(keyOf(i)))
		must.NoError(t, err)
	}
	first.stop()
	for i := range 50 {
		reply, err := second.Submit(t.Context(), b.request(keyOf(i)))
		must.NoError(t, err)
		must.True(t, reply.Repeated)
		must.Eq(t, 1, b.runs(keyOf(i)))
	}
}

func TestStop_LeavesNoGoroutine(t *testing.T) {
	b := newBench(t)
	b.plain = instantPlain{}
	running := goleak.IgnoreCurrent()
	first, second := b.start("a"), b.start("b")
	for i := range 20 {
		for _, d := range []*daemon{first, second} {
			_, err := d.Submit(t.Context(), b.request(keyOf(i)))
			must.NoError(t, err)
		}
	}
	first.stop()
	second.stop()
	goleak.VerifyNone(t, running)
}
