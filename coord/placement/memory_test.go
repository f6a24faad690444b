package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const engineTokens = 40000

// placeLongTexts places 24 long texts and 40 short ones on 8 engines, half of them a third
// slower, and returns the tokens that the fullest engine is expected to need, and the most
// texts on one.
func placeLongTexts(withMemory bool) (tokens, texts int) {
	engines := make([]Engine, 8)
	for i, server := range newServers(len(engines)) {
		engines[i] = Engine{Server: server, Pace: 40 * time.Millisecond, BestPace: 40 * time.Millisecond, Memory: TokenMemory{Capacity: engineTokens}}
		if i%2 == 0 {
			engines[i].Pace = 53 * time.Millisecond
		}
	}
	selector := NewEngineSelector(engines, 0, 1)
	for text := range 64 {
		events, need := 110, 7000
		if text >= 24 {
			events, need = 10, 900
		}
		choice, ok := 0, false
		if withMemory {
			choice, ok = selector.SelectFitting(events, need, nil, resume.Position{})
		} else {
			choice, ok = selector.Select(events, nil, resume.Position{})
		}
		if !ok {
			break
		}
		selector.AssignTokens(choice, need)
	}
	for i := range engines {
		tokens, texts = max(tokens, engines[i].Memory.Expected), max(texts, engines[i].LocalItems)
	}
	return tokens, texts
}

// TestSelectFitting_LongTexts plays a step with many long texts. None of them is placed where
// the memory is taken while others have room, and all slots are used.
func TestSelectFitting_LongTexts(t *testing.T) {
	without, _ := placeLongTexts(false)
	with, texts := placeLongTexts(true)
	must.Greater(t, engineTokens, without)
	must.LessEq(t, int(memoryShare*engineTokens), with)
	must.Eq(t, 8, texts)
}

// TestSelectFitting_ForeignRoom places an item where only an engine that is left to another
// model has memory, without free slots. The item does not wait for it.
func TestSelectFitting_ForeignRoom(t *testing.T) {
	servers := newServers(2)
	engines := []Engine{
		{Server: servers[0], Pace: 40 * time.Millisecond, Memory: TokenMemory{Capacity: engineTokens, Expected: engineTokens}},
		{Server: servers[1], Pace: 40 * time.Millisecond, Memory: TokenMemory{Capacity: engineTokens}, IsForeign: true, OtherItems: 8},
	}
	choice, ok := NewEngineSelector(engines, 0, 1).SelectFitting(10, 900, nil, resume.Position{})
	must.True(t, ok)
	must.Eq(t, 0, choice)
}

// TestSelectFitting_NoRoom places an item for which no engine has memory, and one where the
// memory is unknown.
func TestSelectFitting_NoRoom(t *testing.T) {
	servers := newServers(2)
	full := TokenMemory{Capacity: engineTokens, Expected: engineTokens}
	engines := []Engine{{Server: servers[0], Pace: 40 * time.Millisecond, Memory: full}, {Server: servers[1], Pace: 50 * time.Millisecond, Memory: full}}
	choice, ok := NewEngineSelector(engines, 0, 1).SelectFitting(10, 900, nil, resume.Position{})
	must.True(t, ok)
	must.Eq(t, 0, choice)
	engines[1].Memory = TokenMemory{Expected: engineTokens}
	choice, _ = NewEngineSelector(engines, 0, 1).SelectFitting(10, 900, nil, resume.Position{})
	must.Eq(t, 1, choice)
	choice, _ = NewEngineSelector(engines, 0, 1).SelectFitting(10, 900, []structs.HostName{servers[1].ID}, resume.Position{})
	must.Eq(t, 0, choice)
}

func TestExpectedTokens(t *testing.T) {
	must.Eq(t, 3000, ExpectedTokens(2, 6000, 4, engineTokens, 8))
	must.Eq(t, engineTokens/4, ExpectedTokens(2, 0, 0, engineTokens, 8))
	must.Zero(t, ExpectedTokens(2, 0, 0, 0, 8))
}

// TestPreempted tells a preempted run from an engine that has stopped.
func TestPreempted(t *testing.T) {
	pace := 50 * time.Millisecond
	moving, silent := RunSilence{Silence: pace / 2, Pace: pace}, RunSilence{Silence: time.Second, Pace: pace}
	must.Eq(t, 1, Preempted([]RunSilence{moving, silent, moving}))
	must.Zero(t, Preempted([]RunSilence{silent, silent}))
	must.Zero(t, Preempted([]RunSilence{moving, {Silence: 300 * time.Millisecond, Pace: pace}}))
	must.Zero(t, Preempted([]RunSilence{moving, {Silence: time.Second, Pace: 300 * time.Millisecond}}))
}

// TestEngineSelector_Preempts places items on engines of which one preempts. It gets some only
// where the others are full or much slower.
func TestEngineSelector_Preempts(t *testing.T) {
	servers := newServers(2)
	engines := []Engine{
		{Server: servers[0], Pace: 40 * time.Millisecond, Preempts: true},
		{Server: servers[1], Pace: 50 * time.Millisecond},
	}
	selector := NewEngineSelector(engines, 0, 1)
	for range servers[1].Slots - 2 {
		choice, ok := selector.Select(20, nil, resume.Position{})
		must.True(t, ok)
		must.Eq(t, 1, choice)
		selector.Assign(choice)
	}
	foreign := Engine{Server: servers[0], IsForeign: true, Preempts: true}
	must.False(t, foreign.TakesNow())
}
