package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func limits(size int) Limits {
	return Limits{
		Size: size, MaxHedges: 1, MaxBrokenServers: 3, MaxEmptyStreams: 4,
		FirstTokenTimeout: 10 * time.Second, ChunkTimeout: 2 * time.Second, StragglerRatio: 0.5,
		Backoff: 100 * time.Millisecond, MaxBackoff: time.Second,
	}
}

func piece(text string, version structs.WeightVersion, last bool) Chunk {
	return Chunk{Text: text, Tokens: 1, Version: version, Last: last}
}

func TestGroup_FirstTokenBeginsTheOthers(t *testing.T) {
	g := New(limits(3), StalenessBound{})
	must.SliceLen(t, 1, g.Begin().Starts)
	g.HandlePlacement(start, 1, "a")
	must.SliceLen(t, 2, g.HandleChunk(start, 1, piece("x", 1, false)).Starts)
	must.SliceEmpty(t, g.HandleChunk(start, 1, piece("y", 1, false)).Starts)
}

func TestGroup_BrokenStreamGoesOnElsewhereAndNamesBothVersions(t *testing.T) {
	g := New(limits(1), StalenessBound{})
	g.Begin()
	g.HandlePlacement(start, 1, "a")
	g.HandleChunk(start, 1, piece("x", 4, false))
	effects := g.HandleStreamFailure(start, 1, "a", result.AnswerCut)
	must.Eq(t, []StreamStart{{Stream: 2, Prefix: "x", PrefixTokens: 1, Avoid: []structs.HostName{"a"}}}, effects.Starts)
	g.HandlePlacement(start, 2, "b")
	done := g.HandleChunk(start, 2, piece("y", 5, true))
	must.Eq(t, []FinishedSample{{
		Text:  "xy",
		Spans: []structs.VersionSpan{{Version: 4, Tokens: 1}, {Version: 5, Tokens: 1}},
		Born:  start,
	}}, done.Finished)
	must.True(t, g.Done())
}

func TestGroup_StalePrefixIsLeftBehind(t *testing.T) {
	for name, fresh := range map[string]StalenessBound{"version": {MinVersion: 5}, "age": {MaxAge: time.Second}} {
		t.Run(name, func(t *testing.T) {
			g := New(limits(1), StalenessBound{})
			g.Begin()
			g.HandlePlacement(start, 1, "a")
			g.HandleChunk(start, 1, piece("x", 4, false))
			g.SetStalenessBound(fresh)
			effects := g.HandleStreamFailure(start.Add(2*time.Second), 1, "a", result.AnswerCut)
			must.Eq(t, 0, effects.Starts[0].PrefixTokens)
			must.Eq(t, Counts{Resumed: 1, Restarted: 1}, g.Counts())
		})
	}
}

func TestGroup_PromptThatBreaksServersIsGivenUp(t *testing.T) {
	g := New(limits(8), StalenessBound{})
	effects := g.Begin()
	for _, server := range []structs.HostName{"a", "b", "c"} {
		must.SliceLen(t, 1, effects.Starts)
		id := effects.Starts[0].Stream
		g.HandlePlacement(start, id, server)
		effects = g.HandleStreamFailure(start, id, server, result.BackendBroke)
	}
	must.Eq(t, result.BackendBroke, effects.FailureCode)
	must.SliceEmpty(t, effects.Starts)
	must.True(t, g.MayHaveRun())
}

func TestGroup_NothingSentWhileNobodyTakesIt(t *testing.T) {
	g := New(limits(2), StalenessBound{})
	effects := g.Begin()
	for range limits(2).MaxEmptyStreams {
		must.SliceLen(t, 1, effects.Starts)
		effects = g.HandleStreamFailure(start, effects.Starts[0].Stream, "", result.NoBackend)
	}
	must.Eq(t, result.NoBackend, effects.FailureCode)
	must.False(t, g.MayHaveRun())
}

func TestGroup_SilentStreamIsStoppedAndResumed(t *testing.T) {
	g := New(limits(1), StalenessBound{})
	g.Begin()
	g.HandlePlacement(start, 1, "a")
	g.HandleChunk(start, 1, piece("x", 1, false))
	due, ok := g.NextCheck()
	must.True(t, ok)
	must.SliceEmpty(t, g.CheckStreams(due.Add(-1)).Starts)
	effects := g.CheckStreams(due)
	must.Eq(t, []StreamID{1}, effects.Stops)
	must.Eq(t, "x", effects.Starts[0].Prefix)
	must.SliceEmpty(t, g.HandleChunk(due, 1, piece("late", 1, true)).Finished)
}

func TestGroup_HedgeStaysOnlyOnceAhead(t *testing.T) {
	g := New(limits(2), StalenessBound{})
	g.Begin()
	g.HandlePlacement(start, 1, "a")
	g.HandleChunk(start, 1, piece("x", 1, false))
	g.HandlePlacement(start, 2, "b")
	g.HandleChunk(start.Add(10*time.Millisecond), 1, piece("x", 1, true))
	g.HandleChunk(start.Add(1900*time.Millisecond), 2, piece("y", 1, false))
	due, _ := g.NextCheck()
	hedge := g.CheckStreams(due)
	must.Eq(t, []StreamStart{{Stream: 3, SampleIndex: 1, Prefix: "y", PrefixTokens: 1, Avoid: []structs.HostName{"b"}}}, hedge.Starts)
	g.HandlePlacement(due, 3, "a")
	g.HandleChunk(due, 2, piece("z", 1, false))
	must.SliceEmpty(t, g.HandleChunk(due, 3, piece("Z", 2, false)).Stops)
	must.Eq(t, []StreamID{2}, g.HandleChunk(due, 3, piece("Y", 2, false)).Stops)
	must.Eq(t, "yZYX", g.HandleChunk(due, 3, piece("X", 2, true)).Finished[0].Text)
}

func TestGroup_SlowStreamIsHedgedBeforeAnySampleIsWhole(t *testing.T) {
	g := New(limits(3), StalenessBound{})
	g.Begin()
	for id := StreamID(1); id <= 3; id++ {
		g.HandlePlacement(start, id, structs.HostName(fmt.Sprint("h", id)))
		g.HandleChunk(start, id, piece("x", 1, false))
	}
	for id, tokens := range map[StreamID]int{1: 100, 2: 100, 3: 1} {
		g.HandleChunk(start.Add(2*time.Second), id, Chunk{Text: "y", Tokens: tokens, Version: 1})
	}
	effects := g.CheckStreams(start.Add(2 * time.Second))
	must.SliceLen(t, 1, effects.Starts)
	must.Eq(t, 2, effects.Starts[0].SampleIndex)
	must.Eq(t, "xy", effects.Starts[0].Prefix)
	must.SliceEmpty(t, effects.Stops)
}
