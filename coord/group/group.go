package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Group is the state of a group that is being generated. It is not safe for
// concurrent use.
type Group struct {
	limits    Limits
	staleness StalenessBound
	samples   []sample
	streams   map[StreamID]*stream
	// lastID is the ID of the newest stream.
	lastID StreamID
	counts Counts
	// startedOthers is set once all samples are started, at the first token.
	startedOthers bool
	// bytesSent is set once bytes of the group may have reached a server.
	bytesSent bool
	// brokenServers holds the servers on which streams broke.
	brokenServers map[structs.HostName]bool
	// finishedRates holds the rates of the finished samples, in tokens per second.
	finishedRates []float64
	// rateFloor is the rate in tokens per second below which a stream is slow, as
	// of rateFloorAt. Zero means that it is unknown.
	rateFloor   float64
	rateFloorAt time.Time
	// failureCode is the reason why the group was given up, or zero.
	failureCode result.Code
}

// sample is the state of one sample of the group.
type sample struct {
	// longest is the longest output of a stream that has ended.
	longest output
	streams []StreamID
	// emptyStreams counts the streams in a row that ended without a token.
	emptyStreams int
	// avoid holds the servers that failed the sample.
	avoid    []structs.HostName
	finished bool
}

// stream is one stream of a sample.
type stream struct {
	id          StreamID
	sampleIndex int
	output      output
	// prefixTokens is the number of output tokens that the stream resumed from.
	prefixTokens int
	server       structs.HostName
	hasServer    bool
	// startedAt is when the stream was assigned its server. lastChunkAt is when its
	// last chunk arrived, or startedAt before the first one.
	startedAt, lastChunkAt time.Time
}

// New returns a group without streams. Begin starts it.
func New(limits Limits, staleness StalenessBound) *Group {
	return &Group{
		limits:        limits,
		staleness:     staleness,
		samples:       make([]sample, limits.Size),
		streams:       make(map[StreamID]*stream),
		brokenServers: make(map[structs.HostName]bool),
	}
}

// Begin starts the first sample. The others start at its first token.
func (g *Group) Begin() Effects {
	var effects Effects
	g.startStream(&effects, 0, output{}, 0)
	return effects
}

// SetStalenessBound replaces the bound on the output that streams resume from.
func (g *Group) SetStalenessBound(staleness StalenessBound) { g.staleness = staleness }

// Done reports whether every sample is finished.
func (g *Group) Done() bool { return len(g.finishedRates) == len(g.samples) }

// MayHaveRun reports whether bytes of the group may have reached a server.
func (g *Group) MayHaveRun() bool {
	for _, st := range g.streams {
		if st.hasServer {
			return true
		}
	}
	return g.bytesSent
}

// Counts returns the counts so far.
func (g *Group) Counts() Counts { return g.counts }

// HandlePlacement handles the assignment of a stream to a server, to which the
// request is now sent.
func (g *Group) HandlePlacement(now time.Time, id StreamID, server structs.HostName) {
	st := g.streams[id]
	if st == nil {
		return
	}
	st.server, st.hasServer, st.startedAt, st.lastChunkAt = server, true, now, now
}

// HandleChunk handles a chunk of a stream's response.
func (g *Group) HandleChunk(now time.Time, id StreamID, chunk Chunk) Effects {
	var effects Effects
	st := g.streams[id]
	if st == nil || g.failureCode != 0 {
		return effects
	}
	g.bytesSent = true
	if !chunk.hasVersion() {
		// The weight version of these tokens is unknown.
		effects.Stops = append(effects.Stops, id)
		g.handleFailure(&effects, now, st, result.BackendBroke)
		return effects
	}
	st.lastChunkAt = now
	st.output.addChunk(chunk, st.startedAt)
	if chunk.Tokens > 0 {
		g.samples[st.sampleIndex].emptyStreams = 0
		g.startOthers(&effects)
	}
	g.resolveHedge(&effects, st, chunk.Last)
	g.refreshRateFloor(now)
	return effects
}

// startOthers starts all samples but the first, once.
func (g *Group) startOthers(effects *Effects) {
	if g.startedOthers {
		return
	}
	g.startedOthers = true
	for i := 1; i < len(g.samples); i++ {
		g.startStream(effects, i, output{}, 0)
	}
}

// resolveHedge compares a stream that received a chunk with the other stream of
// its sample. A hedge that has more tokens than the slow stream replaces it. At
// its last chunk, a stream that is not behind finishes the sample, and one that
// is behind is removed.
func (g *Group) resolveHedge(effects *Effects, st *stream, last bool) {
	for _, id := range slices.Clone(g.samples[st.sampleIndex].streams) {
		other := g.streams[id]
		ahead := st.output.tokens > other.output.tokens || last && st.output.tokens == other.output.tokens
		switch {
		case other == st:
		case ahead && id < st.id, ahead && last:
			effects.Stops = append(effects.Stops, id)
			g.removeStream(other)
		case last:
			g.removeStream(st)
			return
		}
	}
	if last {
		g.finishSample(effects, st)
	}
}

// finishSample completes the sample of a stream with its output.
func (g *Group) finishSample(effects *Effects, st *stream) {
	g.removeStream(st)
	g.samples[st.sampleIndex].finished = true
	g.finishedRates = append(g.finishedRates, st.tokenRate())
	effects.Finished = append(effects.Finished, FinishedSample{
		SampleIndex: st.sampleIndex,
		Text:        string(st.output.text),
		Spans:       st.output.spans,
		Born:        st.output.born,
	})
}

// startStream starts a stream that continues from an output after a delay.
func (g *Group) startStream(effects *Effects, index int, from output, delay time.Duration) {
	g.lastID++
	st := &stream{id: g.lastID, sampleIndex: index, output: from.clone(), prefixTokens: from.tokens}
	g.streams[st.id] = st
	sm := &g.samples[index]
	sm.streams = append(sm.streams, st.id)
	effects.Starts = append(effects.Starts, StreamStart{
		Stream:       st.id,
		SampleIndex:  index,
		Prefix:       string(from.text),
		PrefixTokens: from.tokens,
		Avoid:        slices.Clone(sm.avoid),
		Delay:        delay,
	})
}

func (g *Group) removeStream(st *stream) {
	delete(g.streams, st.id)
	sm := &g.samples[st.sampleIndex]
	sm.streams = slices.DeleteFunc(sm.streams, func(id StreamID) bool { return id == st.id })
}
