package jobs

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// TestObservePreemptions lets an engine preempt one of two runs, and then stop with both.
// Only the first shows that it has too many, and not for long.
func TestObservePreemptions(t *testing.T) {
	s, f, j := newFleetService()
	now := s.loop.Now()
	state := s.engineStateOf(f.entries.Load().All["old"])
	record := func(it *item, last time.Duration) {
		it.progress = &contract.Progress{}
		for event := range 20 {
			it.progress.RecordEvent(now.Add(last - time.Duration(19-event)*50*time.Millisecond))
		}
	}
	record(j.items[0], 0)
	record(j.items[1], -time.Second)
	s.observePreemptions(j, now)
	must.True(t, now.Before(state.preemptsUntil))
	must.False(t, now.Add(placement.PreemptionTTL).Before(state.preemptsUntil))
	state.preemptsUntil = time.Time{}
	record(j.items[0], -time.Second)
	s.observePreemptions(j, now)
	must.True(t, state.preemptsUntil.IsZero())
}

// TestRecordEngineState_Tokens follows the expected tokens of runs through the end of one of
// them and a restart of the engine with the other.
func TestRecordEngineState_Tokens(t *testing.T) {
	s, f, j := newFleetService()
	old := f.entries.Load().All["old"]
	short, long := s.expectedTokens(j, j.items[0], 10), s.expectedTokens(j, j.items[1], 100)
	must.Eq(t, 110, short+long)
	state := s.engineStateOf(old)
	state.localItems, state.tokens = 2, short+long
	s.recordEngineState(runOutcome{item: j.items[0], server: old, tokens: short, result: contract.RunResult{Outcome: contract.RunCompleted}}, s.loop.Now())
	must.Eq(t, long, state.tokens)
	restarted := old
	restarted.Started++
	state = s.engineStateOf(restarted)
	must.Eq(t, long, state.tokens)
	s.recordEngineState(runOutcome{item: j.items[1], server: old, tokens: long, result: contract.RunResult{Outcome: contract.RunInterrupted}}, s.loop.Now())
	must.Zero(t, state.tokens)
	must.Zero(t, state.localItems)
}
