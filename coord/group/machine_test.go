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

// TestGroup_StateMachine drives a group with streams that fail, time out, move to
// other servers and change versions, and checks every finished sample against
// the tokens that the streams generated.
func TestGroup_StateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"token":  m.addToken,
			"break":  m.failStream,
			"silent": m.checkStreams,
			"":       m.checkInvariants,
		})
	})
}

const tokensPerSample = 6

type machine struct {
	group    *Group
	now      time.Time
	running  map[StreamID]StreamStart
	tokens   map[StreamID]int
	finished map[int]bool
	failed   bool
	size     int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		now: startTime, running: map[StreamID]StreamStart{}, tokens: map[StreamID]int{}, finished: map[int]bool{},
		size: rapid.IntRange(1, 4).Draw(t, "size"),
	}
	m.group = New(testLimits(m.size), StalenessBound{})
	m.apply(t, m.group.Begin())
	return m
}

func (m *machine) apply(t *rapid.T, effects Effects) {
	for _, id := range effects.Stops {
		delete(m.running, id)
	}
	for _, start := range effects.Starts {
		m.running[start.Stream], m.tokens[start.Stream] = start, start.PrefixTokens
		must.Eq(t, start.PrefixTokens, len(strings.Fields(start.Prefix)))
		m.group.HandlePlacement(m.now, start.Stream, structs.HostName(fmt.Sprint("h", start.Stream%2)))
	}
	for _, finished := range effects.Finished {
		must.False(t, m.finished[finished.SampleIndex])
		m.finished[finished.SampleIndex] = true
		m.checkFinished(t, finished)
	}
	m.failed = m.failed || effects.FailureCode != 0
}

// checkFinished recomputes the spans from the text.
func (m *machine) checkFinished(t *rapid.T, finished FinishedSample) {
	var spans []structs.VersionSpan
	for position, token := range strings.Fields(finished.Text) {
		var index int
		var version structs.WeightVersion
		_, err := fmt.Sscanf(token, "t%d@%d", &index, &version)
		must.NoError(t, err)
		must.Eq(t, position, index)
		if last := len(spans) - 1; last >= 0 && spans[last].Version == version {
			spans[last].Tokens++
			continue
		}
		spans = append(spans, structs.VersionSpan{Version: version, Tokens: 1})
	}
	must.Eq(t, spans, finished.Spans)
	must.SliceLen(t, tokensPerSample, strings.Fields(finished.Text))
}

// drawRunning draws a running stream, or returns zero when none runs. Actions do
// nothing then, because rapid requires one that is always possible.
func (m *machine) drawRunning(t *rapid.T) StreamID {
	ids := make([]StreamID, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "attempt")
}

func (m *machine) addToken(t *rapid.T) {
	id := m.drawRunning(t)
	if id == 0 {
		return
	}
	version := structs.WeightVersion(rapid.IntRange(1, 3).Draw(t, "version"))
	text := fmt.Sprintf("t%d@%d ", m.tokens[id], version)
	m.tokens[id]++
	last := m.tokens[id] == tokensPerSample
	if last {
		delete(m.running, id)
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	m.apply(t, m.group.HandleChunk(m.now, id, oneTokenChunk(text, version, last)))
}

func (m *machine) failStream(t *rapid.T) {
	id := m.drawRunning(t)
	if id == 0 {
		return
	}
	delete(m.running, id)
	code := rapid.SampledFrom([]result.Code{result.AnswerCut, result.BackendRefused, result.BackendBroke}).Draw(t, "code")
	m.apply(t, m.group.HandleStreamFailure(m.now, id, "", code))
}

func (m *machine) checkStreams(t *rapid.T) {
	checkTime, ok := m.group.NextCheck()
	if !ok {
		return
	}
	if checkTime.After(m.now) {
		m.now = checkTime
	}
	m.apply(t, m.group.CheckStreams(m.now))
}

func (m *machine) checkInvariants(t *rapid.T) {
	perSample := map[int]int{}
	for _, start := range m.running {
		perSample[start.SampleIndex]++
		must.Between(t, 1, perSample[start.SampleIndex], 2)
		must.False(t, m.finished[start.SampleIndex])
	}
	must.LessEq(t, testLimits(1).MaxHedges, m.group.Counts().Hedged)
	if !m.failed {
		must.Eq(t, len(m.finished) == m.size, m.group.Done())
		must.Eq(t, m.group.Done(), len(m.running) == 0)
	}
}
