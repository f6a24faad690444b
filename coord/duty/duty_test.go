package duty_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/duty"
)

const lease = 3 * time.Second

// TestTakeoverDelay_NoTurns plays holders that gain the duties in turns, each calling as
// soon and as long as it may. No holder may act again within the lease after another one
// has acted in between, and where fencing tokens are not checked no call may be in flight
// while a later holder calls.
func TestTakeoverDelay_NoTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := duty.Rules{HolderLease: lease, ChecksFencing: rapid.Bool().Draw(t, "checks"), CallTimeout: 2 * time.Second}
		type act struct {
			holder int
			at     time.Duration
		}
		var acts []act
		now := time.Duration(0)
		for token := range rapid.IntRange(2, 8).Draw(t, "tenures") {
			holder := rapid.IntRange(0, 1).Draw(t, "holder")
			tenure := rules.NewTenure(uint64(token), now)
			now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "held")) * time.Millisecond
			if !tenure.MayCall(now) {
				continue
			}
			for _, at := range []time.Duration{tenure.MayCallFrom, now} {
				if last := len(acts) - 1; last >= 0 && acts[last].holder != holder && !rules.ChecksFencing {
					must.GreaterEq(t, acts[last].at+rules.CallTimeout, at)
				}
				acts = append(acts, act{holder, at})
			}
		}
		for i, first := range acts {
			hasOther := false
			for _, later := range acts[i:] {
				hasOther = hasOther || later.holder != first.holder
				if hasOther && later.holder == first.holder {
					must.GreaterEq(t, lease, later.at-first.at)
				}
			}
		}
	})
}

// TestTenure_Backoff checks the pauses after calls that failed or were refused.
func TestTenure_Backoff(t *testing.T) {
	rules := duty.Rules{HolderLease: lease, ChecksFencing: true}
	tenure := rules.NewTenure(7, time.Minute)
	must.False(t, tenure.MayCall(time.Minute))
	must.Eq(t, lease, tenure.Wait("usage", time.Minute))
	now := time.Minute + lease
	must.True(t, tenure.MayCall(now))
	must.Eq(t, 0, tenure.Wait("usage", now))
	for _, pause := range []time.Duration{200, 400, 800, 1600, 2000, 2000} {
		tenure.Record("usage", duty.NotExecuted, now)
		must.Eq(t, pause*time.Millisecond, tenure.Wait("usage", now))
		must.Eq(t, 0, tenure.Wait("other", now))
	}
	tenure.Record("usage", duty.Executed, now)
	must.Eq(t, 0, tenure.Wait("usage", now))
}

// TestTenure_Conflicts checks that a subject that was refused is asked about seldom, and
// less often each time: the platform holds repeated calls against a daemon whose fencing
// token is too low.
func TestTenure_Conflicts(t *testing.T) {
	rules := duty.Rules{HolderLease: lease, ChecksFencing: true}
	tenure := rules.NewTenure(7, 0)
	now, calls := lease, 0
	for ; now < lease+20*time.Second; now += 100 * time.Millisecond {
		if tenure.Wait("usage", now) == 0 {
			tenure.Record("usage", duty.Conflict, now)
			calls++
		}
	}
	must.LessEq(t, 4, calls)
	must.Eq(t, time.Minute, func() time.Duration {
		for range 5 {
			tenure.Record("usage", duty.Conflict, now)
		}
		return tenure.Wait("usage", now)
	}())
}
