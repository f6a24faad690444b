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
		Size: size, Hedges: 1, BrokenServers: 3, FruitlessStarts: 4,
		FirstToken: 10 * time.Second, Silence: 2 * time.Second, SlowShare: 0.5,
		Backoff: 100 * time.Millisecond, MaxBackoff: time.Second,
	}
}

func piece(text string, version structs.WeightVersion, last bool) Chunk {
	return Chunk{Text: text, Tokens: 1, Version: version, Last: last}
}

func TestGroup_FirstTokenBeginsTheOthers(t *testing.T) {
	g := New(limits(3), Freshness{})
	must.SliceLen(t, 1, g.Begin().Starts)
	g.Placed(start, 1, "a")
	must.SliceLen(t, 2, g.Chunk(start, 1, piece("x", 1, false)).Starts)
	must.SliceEmpty(t, g.Chunk(start, 1, piece("y", 1, false)).Starts)
}

func TestGroup_BrokenStreamGoesOnElsewhereAndNamesBothVersions(t *testing.T) {
	g := New(limits(1), Freshness{})
	g.Begin()
	g.Placed(start, 1, "a")
	g.Chunk(start, 1, piece("x", 4, false))
	effects := g.Broke(start, 1, "a", result.AnswerCut)
	must.Eq(t, []Start{{Attempt: 2, Prefix: "x", Tokens: 1, Avoid: []structs.HostName{"a"}}}, effects.Starts)
	g.Placed(start, 2, "b")
	done := g.Chunk(start, 2, piece("y", 5, true))
	must.Eq(t, []Finished{{
		Text:  "xy",
		Spans: []structs.VersionSpan{{Version: 4, Tokens: 1}, {Version: 5, Tokens: 1}},
		Born:  start,
	}}, done.Finished)
	must.True(t, g.Done())
}

func TestGroup_StalePrefixIsLeftBehind(t *testing.T) {
	for name, fresh := range map[string]Freshness{"version": {Oldest: 5}, "age": {Age: time.Second}} {
		t.Run(name, func(t *testing.T) {
			g := New(limits(1), Freshness{})
			g.Begin()
			g.Placed(start, 1, "a")
			g.Chunk(start, 1, piece("x", 4, false))
			g.Freshen(fresh)
			effects := g.Broke(start.Add(2*time.Second), 1, "a", result.AnswerCut)
			must.Eq(t, 0, effects.Starts[0].Tokens)
			must.Eq(t, Counts{Resumed: 1, Restarted: 1}, g.Counts())
		})
	}
}

func TestGroup_PromptThatBreaksServersIsGivenUp(t *testing.T) {
	g := New(limits(8), Freshness{})
	effects := g.Begin()
	for _, server := range []structs.HostName{"a", "b", "c"} {
		must.SliceLen(t, 1, effects.Starts)
		id := effects.Starts[0].Attempt
		g.Placed(start, id, server)
		effects = g.Broke(start, id, server, result.BackendBroke)
	}
	must.Eq(t, result.BackendBroke, effects.Failed)
	must.SliceEmpty(t, effects.Starts)
	must.True(t, g.Sent())
}

func TestGroup_NothingSentWhileNobodyTakesIt(t *testing.T) {
	g := New(limits(2), Freshness{})
	effects := g.Begin()
	for range limits(2).FruitlessStarts {
		must.SliceLen(t, 1, effects.Starts)
		effects = g.Broke(start, effects.Starts[0].Attempt, "", result.NoBackend)
	}
	must.Eq(t, result.NoBackend, effects.Failed)
	must.False(t, g.Sent())
}

func TestGroup_SilentStreamIsStoppedAndResumed(t *testing.T) {
	g := New(limits(1), Freshness{})
	g.Begin()
	g.Placed(start, 1, "a")
	g.Chunk(start, 1, piece("x", 1, false))
	due, ok := g.NextCheck()
	must.True(t, ok)
	must.SliceEmpty(t, g.Check(due.Add(-1)).Starts)
	effects := g.Check(due)
	must.Eq(t, []AttemptID{1}, effects.Stops)
	must.Eq(t, "x", effects.Starts[0].Prefix)
	must.SliceEmpty(t, g.Chunk(due, 1, piece("late", 1, true)).Finished)
}

func TestGroup_HedgeStaysOnlyOnceAhead(t *testing.T) {
	g := New(limits(2), Freshness{})
	g.Begin()
	g.Placed(start, 1, "a")
	g.Chunk(start, 1, piece("x", 1, false))
	g.Placed(start, 2, "b")
	g.Chunk(start.Add(10*time.Millisecond), 1, piece("x", 1, true))
	g.Chunk(start.Add(1900*time.Millisecond), 2, piece("y", 1, false))
	due, _ := g.NextCheck()
	hedge := g.Check(due)
	must.Eq(t, []Start{{Attempt: 3, Sample: 1, Prefix: "y", Tokens: 1, Avoid: []structs.HostName{"b"}}}, hedge.Starts)
	g.Placed(due, 3, "a")
	g.Chunk(due, 2, piece("z", 1, false))
	must.SliceEmpty(t, g.Chunk(due, 3, piece("Z", 2, false)).Stops)
	must.Eq(t, []AttemptID{2}, g.Chunk(due, 3, piece("Y", 2, false)).Stops)
	must.Eq(t, "yZYX", g.Chunk(due, 3, piece("X", 2, true)).Finished[0].Text)
}

func TestGroup_SlowStreamIsHedgedBeforeAnySampleIsWhole(t *testing.T) {
	g := New(limits(3), Freshness{})
	g.Begin()
	for id := AttemptID(1); id <= 3; id++ {
		g.Placed(start, id, structs.HostName(fmt.Sprint("h", id)))
		g.Chunk(start, id, piece("x", 1, false))
	}
	for id, tokens := range map[AttemptID]int{1: 100, 2: 100, 3: 1} {
		g.Chunk(start.Add(2*time.Second), id, Chunk{Text: "y", Tokens: tokens, Version: 1})
	}
	effects := g.Check(start.Add(2 * time.Second))
	must.SliceLen(t, 1, effects.Starts)
	must.Eq(t, 2, effects.Starts[0].Sample)
	must.Eq(t, "xy", effects.Starts[0].Prefix)
	must.SliceEmpty(t, effects.Stops)
}
