package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// NextCheck returns when CheckStreams must be called if nothing happens before, and
// false when it need not be.
func (g *Group) NextCheck() (time.Time, bool) {
	var next time.Time
	found := false
	for _, at := range g.attempts {
		due, ok := g.checkAt(at)
		if ok && (!found || due.Before(next)) {
			next, found = due, true
		}
	}
	return next, found
}

// CheckStreams resumes the samples of silent streams elsewhere and hedges slow ones.
func (g *Group) CheckStreams(now time.Time) Effects {
	var effects Effects
	g.setFloor(now)
	ids := make([]StreamID, 0, len(g.attempts))
	for id := range g.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		at := g.attempts[id]
		if at == nil || !at.placed || g.failed != 0 {
			continue
		}
		if !now.Before(g.silentAt(at)) {
			effects.Stops = append(effects.Stops, id)
			g.broke(&effects, now, at, result.AnswerCut)
			continue
		}
		if slowAt, ok := g.slowAt(at); ok && !now.Before(slowAt) {
			g.hedge(&effects, now, at)
		}
	}
	return effects
}

// checkAt is when a stream counts as silent or slow, whichever comes first.
func (g *Group) checkAt(at *attempt) (time.Time, bool) {
	if !at.placed {
		return time.Time{}, false
	}
	due := g.silentAt(at)
	if slowAt, ok := g.slowAt(at); ok && slowAt.Before(due) {
		due = slowAt
	}
	return due, true
}

func (g *Group) silentAt(at *attempt) time.Time {
	if at.answer.tokens == at.carried {
		return at.heard.Add(g.limits.FirstTokenTimeout)
	}
	return at.heard.Add(g.limits.ChunkTimeout)
}

// slowAt is when a stream without another token has fallen below the lowest
// rate wanted. It is false while the stream may not be hedged.
func (g *Group) slowAt(at *attempt) (time.Time, bool) {
	alone := len(g.samples[at.sample].live) == 1
	if g.floor <= 0 || !alone || g.counts.Hedged >= g.limits.MaxHedges {
		return time.Time{}, false
	}
	made := float64(at.answer.tokens - at.carried + 1)
	span := time.Duration(made / g.floor * float64(time.Second))
	return at.begun.Add(max(span, g.limits.ChunkTimeout)), true
}

// floorShare divides ChunkTimeout into the time for which a rate floor holds.
const floorShare = 8

// refreshFloor computes the rate floor anew once the last one is old, because
// to sort the rates at each chunk would cost large groups much.
func (g *Group) refreshFloor(now time.Time) {
	if now.Sub(g.floorAt) >= g.limits.ChunkTimeout/floorShare {
		g.setFloor(now)
	}
}

func (g *Group) setFloor(now time.Time) { g.floor, g.floorAt = g.rateFloor(), now }

// rateFloor is the token rate, a second, below which a stream is slow. It is
// zero until the rates of half of the samples are known, from whole samples
// and from streams that have run for a while.
func (g *Group) rateFloor() float64 {
	rates := slices.Clone(g.rates)
	for _, at := range g.attempts {
		if at.placed && at.heard.Sub(at.begun) >= g.limits.ChunkTimeout {
			rates = append(rates, at.rate())
		}
	}
	if len(rates) == 0 || 2*len(rates) < len(g.samples) {
		return 0
	}
	slices.Sort(rates)
	return g.limits.StragglerRatio * rates[len(rates)/2]
}

// shortest keeps a rate finite.
const shortest = time.Millisecond

// rate is how many tokens a stream made in a second, up to its last chunk.
func (at *attempt) rate() float64 {
	seconds := max(at.heard.Sub(at.begun), shortest).Seconds()
	return float64(at.answer.tokens-at.carried) / seconds
}

// hedge begins a second stream from a slow one's last chunk.
func (g *Group) hedge(effects *Effects, now time.Time, at *attempt) {
	g.counts.Hedged++
	sm := &g.samples[at.sample]
	if !slices.Contains(sm.avoid, at.server) {
		sm.avoid = append(sm.avoid, at.server)
	}
	from := at.answer
	if !from.freshAt(now, g.fresh) {
		from = answer{}
	}
	g.start(effects, at.sample, from, 0)
}
