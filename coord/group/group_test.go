package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testLimits(size int) Limits {
	return Limits{
		Size: size, MaxHedges: 1, MaxBrokenServers: 3, MaxEmptyStreams: 4,
		FirstTokenTimeout: 10 * time.Second, ChunkTimeout: 2 * time.Second, StragglerRatio: 0.5,
		Backoff: 100 * time.Millisecond, MaxBackoff: time.Second,
	}
}

func oneTokenChunk(text string, version structs.WeightVersion, last bool) Chunk {
	return Chunk{Text: text, Tokens: 1, Version: version, Last: last}
}

func TestGroup_FirstTokenStartsOtherSamples(t *testing.T) {
	g := New(testLimits(3), StalenessBound{})
	must.SliceLen(t, 1, g.Begin().Starts)
	g.HandlePlacement(startTime, 1, "a")
	must.SliceLen(t, 2, g.HandleChunk(startTime, 1, oneTokenChunk("x", 1, false)).Starts)
	must.SliceEmpty(t, g.HandleChunk(startTime, 1, oneTokenChunk("y", 1, false)).Starts)
}

func TestGroup_ResumeRecordsBothVersions(t *testing.T) {
	g := New(testLimits(1), StalenessBound{})
	g.Begin()
	g.HandlePlacement(startTime, 1, "a")
	g.HandleChunk(startTime, 1, oneTokenChunk("x", 4, false))
	effects := g.HandleStreamFailure(startTime, 1, "a", result.AnswerCut)
	must.Eq(t, []StreamStart{{Stream: 2, Prefix: "x", PrefixTokens: 1, Avoid: []structs.HostName{"a"}}}, effects.Starts)
	g.HandlePlacement(startTime, 2, "b")
	finished := g.HandleChunk(startTime, 2, oneTokenChunk("y", 5, true))
	must.Eq(t, []FinishedSample{{
		Text:  "xy",
		Spans: []structs.VersionSpan{{Version: 4, Tokens: 1}, {Version: 5, Tokens: 1}},
		Born:  startTime,
	}}, finished.Finished)
	must.True(t, g.Done())
}

func TestGroup_StalePrefixDropped(t *testing.T) {
	for name, bound := range map[string]StalenessBound{"version": {MinVersion: 5}, "age": {MaxAge: time.Second}} {
		t.Run(name, func(t *testing.T) {
			g := New(testLimits(1), StalenessBound{})
			g.Begin()
			g.HandlePlacement(startTime, 1, "a")
			g.HandleChunk(startTime, 1, oneTokenChunk("x", 4, false))
			g.SetStalenessBound(bound)
			effects := g.HandleStreamFailure(startTime.Add(2*time.Second), 1, "a", result.AnswerCut)
			must.Eq(t, 0, effects.Starts[0].PrefixTokens)
			must.Eq(t, Counts{Resumed: 1, Restarted: 1}, g.Counts())
		})
	}
}

func TestGroup_MaxBrokenServers(t *testing.T) {
	g := New(testLimits(8), StalenessBound{})
	effects := g.Begin()
	for _, server := range []structs.HostName{"a", "b", "c"} {
		must.SliceLen(t, 1, effects.Starts)
		id := effects.Starts[0].Stream
		g.HandlePlacement(startTime, id, server)
		effects = g.HandleStreamFailure(startTime, id, server, result.BackendBroke)
	}
	must.Eq(t, result.BackendBroke, effects.FailureCode)
	must.SliceEmpty(t, effects.Starts)
	must.True(t, g.MayHaveRun())
}

func TestGroup_NoBackend(t *testing.T) {
	g := New(testLimits(2), StalenessBound{})
	effects := g.Begin()
	for range testLimits(2).MaxEmptyStreams {
		must.SliceLen(t, 1, effects.Starts)
		effects = g.HandleStreamFailure(startTime, effects.Starts[0].Stream, "", result.NoBackend)
	}
	must.Eq(t, result.NoBackend, effects.FailureCode)
	must.False(t, g.MayHaveRun())
}

func TestGroup_SilentStreamResumed(t *testing.T) {
	g := New(testLimits(1), StalenessBound{})
	g.Begin()
	g.HandlePlacement(startTime, 1, "a")
	g.HandleChunk(startTime, 1, oneTokenChunk("x", 1, false))
	checkTime, ok := g.NextCheck()
	must.True(t, ok)
	must.SliceEmpty(t, g.CheckStreams(checkTime.Add(-1)).Starts)
	effects := g.CheckStreams(checkTime)
	must.Eq(t, []StreamID{1}, effects.Stops)
	must.Eq(t, "x", effects.Starts[0].Prefix)
	must.SliceEmpty(t, g.HandleChunk(checkTime, 1, oneTokenChunk("late", 1, true)).Finished)
}

func TestGroup_HedgeReplacesSlowStream(t *testing.T) {
	g := New(testLimits(2), StalenessBound{})
	g.Begin()
	g.HandlePlacement(startTime, 1, "a")
	g.HandleChunk(startTime, 1, oneTokenChunk("x", 1, false))
	g.HandlePlacement(startTime, 2, "b")
	g.HandleChunk(startTime.Add(10*time.Millisecond), 1, oneTokenChunk("x", 1, true))
	g.HandleChunk(startTime.Add(1900*time.Millisecond), 2, oneTokenChunk("y", 1, false))
	checkTime, _ := g.NextCheck()
	hedge := g.CheckStreams(checkTime)
	must.Eq(t, []StreamStart{{Stream: 3, SampleIndex: 1, Prefix: "y", PrefixTokens: 1, Avoid: []structs.HostName{"b"}}}, hedge.Starts)
	g.HandlePlacement(checkTime, 3, "a")
	g.HandleChunk(checkTime, 2, oneTokenChunk("z", 1, false))
	must.SliceEmpty(t, g.HandleChunk(checkTime, 3, oneTokenChunk("Z", 2, false)).Stops)
	must.Eq(t, []StreamID{2}, g.HandleChunk(checkTime, 3, oneTokenChunk("Y", 2, false)).Stops)
	must.Eq(t, "yZYX", g.HandleChunk(checkTime, 3, oneTokenChunk("X", 2, true)).Finished[0].Text)
}

func TestGroup_HedgeBeforeFirstFinishedSample(t *testing.T) {
	g := New(testLimits(3), StalenessBound{})
	g.Begin()
	for id := StreamID(1); id <= 3; id++ {
		g.HandlePlacement(startTime, id, structs.HostName(fmt.Sprint("h", id)))
		g.HandleChunk(startTime, id, oneTokenChunk("x", 1, false))
	}
	for id, tokens := range map[StreamID]int{1: 100, 2: 100, 3: 1} {
		g.HandleChunk(startTime.Add(2*time.Second), id, Chunk{Text: "y", Tokens: tokens, Version: 1})
	}
	effects := g.CheckStreams(startTime.Add(2 * time.Second))
	must.SliceLen(t, 1, effects.Starts)
	must.Eq(t, 2, effects.Starts[0].SampleIndex)
	must.Eq(t, "xy", effects.Starts[0].Prefix)
	must.SliceEmpty(t, effects.Stops)
}
