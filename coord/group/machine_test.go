package group

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestGroup_StateMachine drives a group with streams that move, break, fall
// silent and change versions, and checks every finished sample against the
// tokens that the streams really made.
func TestGroup_StateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"token":  m.token,
			"break":  m.breakOff,
			"silent": m.silence,
			"":       m.check,
		})
	})
}

const answerTokens = 6

type machine struct {
	group    *Group
	now      time.Time
	live     map[StreamID]StreamStart
	made     map[StreamID]int
	finished map[int]bool
	failed   bool
	size     int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		now: start, live: map[StreamID]StreamStart{}, made: map[StreamID]int{}, finished: map[int]bool{},
		size: rapid.IntRange(1, 4).Draw(t, "size"),
	}
	m.group = New(limits(m.size), StalenessBound{})
	m.apply(t, m.group.Begin())
	return m
}

func (m *machine) apply(t *rapid.T, effects Effects) {
	for _, id := range effects.Stops {
		delete(m.live, id)
	}
	for _, begun := range effects.Starts {
		m.live[begun.Stream], m.made[begun.Stream] = begun, begun.PrefixTokens
		must.Eq(t, begun.PrefixTokens, len(strings.Fields(begun.Prefix)))
		m.group.HandlePlacement(m.now, begun.Stream, structs.HostName(fmt.Sprint("h", begun.Stream%2)))
	}
	for _, done := range effects.Finished {
		must.False(t, m.finished[done.SampleIndex])
		m.finished[done.SampleIndex] = true
		m.checkFinished(t, done)
	}
	m.failed = m.failed || effects.FailureCode != 0
}

// checkFinished recomputes the spans from the text.
func (m *machine) checkFinished(t *rapid.T, done FinishedSample) {
	var spans []structs.VersionSpan
	for place, token := range strings.Fields(done.Text) {
		var index int
		var version structs.WeightVersion
		_, err := fmt.Sscanf(token, "t%d@%d", &index, &version)
		must.NoError(t, err)
		must.Eq(t, place, index)
		if last := len(spans) - 1; last >= 0 && spans[last].Version == version {
			spans[last].Tokens++
			continue
		}
		spans = append(spans, structs.VersionSpan{Version: version, Tokens: 1})
	}
	must.Eq(t, spans, done.Spans)
	must.SliceLen(t, answerTokens, strings.Fields(done.Text))
}

// pick draws a running stream, or zero when none runs; rapid wants an action
// that is always possible.
func (m *machine) pick(t *rapid.T) StreamID {
	ids := make([]StreamID, 0, len(m.live))
	for id := range m.live {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "attempt")
}

func (m *machine) token(t *rapid.T) {
	id := m.pick(t)
	if id == 0 {
		return
	}
	version := structs.WeightVersion(rapid.IntRange(1, 3).Draw(t, "version"))
	text := fmt.Sprintf("t%d@%d ", m.made[id], version)
	m.made[id]++
	last := m.made[id] == answerTokens
	if last {
		delete(m.live, id)
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	m.apply(t, m.group.HandleChunk(m.now, id, piece(text, version, last)))
}

func (m *machine) breakOff(t *rapid.T) {
	id := m.pick(t)
	if id == 0 {
		return
	}
	delete(m.live, id)
	code := rapid.SampledFrom([]result.Code{result.AnswerCut, result.BackendRefused, result.BackendBroke}).Draw(t, "code")
	m.apply(t, m.group.HandleStreamFailure(m.now, id, "", code))
}

func (m *machine) silence(t *rapid.T) {
	due, ok := m.group.NextCheck()
	if !ok {
		return
	}
	if due.After(m.now) {
		m.now = due
	}
	m.apply(t, m.group.CheckStreams(m.now))
}

func (m *machine) check(t *rapid.T) {
	perSample := map[int]int{}
	for _, begun := range m.live {
		perSample[begun.SampleIndex]++
		must.Between(t, 1, perSample[begun.SampleIndex], 2)
		must.False(t, m.finished[begun.SampleIndex])
	}
	must.LessEq(t, limits(1).MaxHedges, m.group.Counts().Hedged)
	if !m.failed {
		must.Eq(t, len(m.finished) == m.size, m.group.Done())
		must.Eq(t, m.group.Done(), len(m.live) == 0)
	}
}
