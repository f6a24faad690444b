package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Group is the state of a group in the making. It is not safe for concurrent
// use.
type Group struct {
	limits   Limits
	fresh    StalenessBound
	samples  []sample
	attempts map[StreamID]*attempt
	next     StreamID
	counts   Counts
	// primed is set once an engine has made a token of the group.
	primed bool
	// sent is set once bytes of the group may have reached a server.
	sent bool
	// broken are the servers on which streams broke.
	broken map[structs.HostName]bool
	// rates are the token rates of the whole samples, a second.
	rates []float64
	// floor is the rate below which a stream is slow, as of floorAt.
	floor   float64
	floorAt time.Time
	failed  result.Code
}

// sample is one place of the group.
type sample struct {
	// best is the longest answer of a stream that has ended.
	best      answer
	live      []StreamID
	fruitless int
	avoid     []structs.HostName
	whole     bool
}

// attempt is one stream.
type attempt struct {
	id     StreamID
	sample int
	answer answer
	// carried is the count of tokens that the stream began with.
	carried int
	server  structs.HostName
	placed  bool
	// begun is when it got its server, and heard when it last made a chunk.
	begun, heard time.Time
}

// New returns a group that has not begun.
func New(limits Limits, fresh StalenessBound) *Group {
	return &Group{
		limits:   limits,
		fresh:    fresh,
		samples:  make([]sample, limits.Size),
		attempts: make(map[StreamID]*attempt),
		broken:   make(map[structs.HostName]bool),
	}
}

// Begin starts the first sample.
func (g *Group) Begin() Effects {
	var effects Effects
	g.start(&effects, 0, answer{}, 0)
	return effects
}

// SetStalenessBound replaces the bounds on what is carried over.
func (g *Group) SetStalenessBound(fresh StalenessBound) { g.fresh = fresh }

// Done reports whether every sample is whole.
func (g *Group) Done() bool { return len(g.rates) == len(g.samples) }

// MayHaveRun reports whether bytes of the group may have reached a server.
func (g *Group) MayHaveRun() bool {
	for _, at := range g.attempts {
		if at.placed {
			return true
		}
	}
	return g.sent
}

// Counts returns what it took so far.
func (g *Group) Counts() Counts { return g.counts }

// HandlePlacement tells that a stream was given a server, to which it now goes.
func (g *Group) HandlePlacement(now time.Time, id StreamID, server structs.HostName) {
	at := g.attempts[id]
	if at == nil {
		return
	}
	at.server, at.placed, at.begun, at.heard = server, true, now, now
}

// HandleChunk tells of a piece of a stream's answer.
func (g *Group) HandleChunk(now time.Time, id StreamID, chunk Chunk) Effects {
	var effects Effects
	at := g.attempts[id]
	if at == nil || g.failed != 0 {
		return effects
	}
	g.sent = true
	if !chunk.attributed() {
		// Nobody could say which weights made these tokens.
		effects.Stops = append(effects.Stops, id)
		g.broke(&effects, now, at, result.BackendBroke)
		return effects
	}
	at.heard = now
	at.answer.add(chunk, at.begun)
	if chunk.Tokens > 0 {
		g.samples[at.sample].fruitless = 0
		g.prime(&effects)
	}
	g.settleHedge(&effects, at, chunk.Last)
	g.refreshFloor(now)
	return effects
}

// prime begins the other samples.
func (g *Group) prime(effects *Effects) {
	if g.primed {
		return
	}
	g.primed = true
	for i := 1; i < len(g.samples); i++ {
		g.start(effects, i, answer{}, 0)
	}
}

// settleHedge keeps a hedge that has come ahead of the stream it was begun
// beside, and ends the sample with the last chunk of a stream that is not
// behind.
func (g *Group) settleHedge(effects *Effects, at *attempt, last bool) {
	for _, id := range slices.Clone(g.samples[at.sample].live) {
		rival := g.attempts[id]
		ahead := at.answer.tokens > rival.answer.tokens || last && at.answer.tokens == rival.answer.tokens
		switch {
		case rival == at:
		case ahead && id < at.id, ahead && last:
			effects.Stops = append(effects.Stops, id)
			g.remove(rival)
		case last:
			g.remove(at)
			return
		}
	}
	if last {
		g.finish(effects, at)
	}
}

func (g *Group) finish(effects *Effects, at *attempt) {
	g.remove(at)
	g.samples[at.sample].whole = true
	g.rates = append(g.rates, at.rate())
	effects.Finished = append(effects.Finished, FinishedSample{
		SampleIndex: at.sample,
		Text:        string(at.answer.text),
		Spans:       at.answer.spans,
		Born:        at.answer.born,
	})
}

func (g *Group) start(effects *Effects, index int, from answer, delay time.Duration) {
	g.next++
	at := &attempt{id: g.next, sample: index, answer: from.clone(), carried: from.tokens}
	g.attempts[at.id] = at
	sm := &g.samples[index]
	sm.live = append(sm.live, at.id)
	effects.Starts = append(effects.Starts, StreamStart{
		Stream:       at.id,
		SampleIndex:  index,
		Prefix:       string(from.text),
		PrefixTokens: from.tokens,
		Avoid:        slices.Clone(sm.avoid),
		Delay:        delay,
	})
}

func (g *Group) remove(at *attempt) {
	delete(g.attempts, at.id)
	sm := &g.samples[at.sample]
	sm.live = slices.DeleteFunc(sm.live, func(id StreamID) bool { return id == at.id })
}
