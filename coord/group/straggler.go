package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// NextCheck returns the time at which CheckStreams must be called unless another
// event comes first, or false when no check is due.
func (g *Group) NextCheck() (time.Time, bool) {
	var next time.Time
	found := false
	for _, st := range g.streams {
		check, ok := g.checkTime(st)
		if ok && (!found || check.Before(next)) {
			next, found = check, true
		}
	}
	return next, found
}

// CheckStreams stops silent streams, resumes their samples on other servers, and
// hedges slow streams.
func (g *Group) CheckStreams(now time.Time) Effects {
	var effects Effects
	g.updateRateFloor(now)
	ids := make([]StreamID, 0, len(g.streams))
	for id := range g.streams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		st := g.streams[id]
		if st == nil || !st.hasServer || g.failureCode != 0 {
			continue
		}
		if !now.Before(g.silentTime(st)) {
			effects.Stops = append(effects.Stops, id)
			g.handleFailure(&effects, now, st, result.AnswerCut)
			continue
		}
		if slow, ok := g.slowTime(st); ok && !now.Before(slow) {
			g.startHedge(&effects, now, st)
		}
	}
	return effects
}

// checkTime returns when a stream without further chunks becomes silent or slow,
// whichever comes first, or false while it has no server.
func (g *Group) checkTime(st *stream) (time.Time, bool) {
	if !st.hasServer {
		return time.Time{}, false
	}
	check := g.silentTime(st)
	if slow, ok := g.slowTime(st); ok && slow.Before(check) {
		check = slow
	}
	return check, true
}

// silentTime returns when a stream without further chunks has timed out.
func (g *Group) silentTime(st *stream) time.Time {
	if st.output.tokens == st.prefixTokens {
		return st.lastChunkAt.Add(g.limits.FirstTokenTimeout)
	}
	return st.lastChunkAt.Add(g.limits.ChunkTimeout)
}

// slowTime returns when a stream without further tokens falls below the rate
// floor, or false while it may not be hedged.
func (g *Group) slowTime(st *stream) (time.Time, bool) {
	alone := len(g.samples[st.sampleIndex].streams) == 1
	if g.rateFloor <= 0 || !alone || g.counts.Hedged >= g.limits.MaxHedges {
		return time.Time{}, false
	}
	generated := float64(st.output.tokens - st.prefixTokens + 1)
	duration := time.Duration(generated / g.rateFloor * float64(time.Second))
	return st.startedAt.Add(max(duration, g.limits.ChunkTimeout)), true
}

// rateFloorRefreshDivisor sets the age from which the rate floor is recomputed,
// as a fraction of ChunkTimeout.
const rateFloorRefreshDivisor = 8

// refreshRateFloor recomputes the rate floor once it is old. Sorting the rates for
// every chunk would be expensive in large groups.
func (g *Group) refreshRateFloor(now time.Time) {
	if now.Sub(g.rateFloorAt) >= g.limits.ChunkTimeout/rateFloorRefreshDivisor {
		g.updateRateFloor(now)
	}
}

func (g *Group) updateRateFloor(now time.Time) {
	g.rateFloor, g.rateFloorAt = g.computeRateFloor(), now
}

// computeRateFloor returns the rate, in tokens per second, below which a stream is
// slow. It is zero until the rates of at least half of the samples are known,
// from finished samples and from streams that have run for ChunkTimeout.
func (g *Group) computeRateFloor() float64 {
	rates := slices.Clone(g.finishedRates)
	for _, st := range g.streams {
		if st.hasServer && st.lastChunkAt.Sub(st.startedAt) >= g.limits.ChunkTimeout {
			rates = append(rates, st.tokenRate())
		}
	}
	if len(rates) == 0 || 2*len(rates) < len(g.samples) {
		return 0
	}
	slices.Sort(rates)
	return g.limits.StragglerRatio * rates[len(rates)/2]
}

// minRateDuration is the shortest duration used to compute a rate, which keeps the
// rate finite.
const minRateDuration = time.Millisecond

// tokenRate returns the tokens per second that the stream generated up to its last
// chunk, without its prefix.
func (st *stream) tokenRate() float64 {
	seconds := max(st.lastChunkAt.Sub(st.startedAt), minRateDuration).Seconds()
	return float64(st.output.tokens-st.prefixTokens) / seconds
}

// startHedge starts a second stream that continues from the last chunk of a slow
// one, or from the prompt when the slow one's output is too stale.
func (g *Group) startHedge(effects *Effects, now time.Time, st *stream) {
	g.counts.Hedged++
	sm := &g.samples[st.sampleIndex]
	if !slices.Contains(sm.avoid, st.server) {
		sm.avoid = append(sm.avoid, st.server)
	}
	from := st.output
	if !from.withinBound(now, g.staleness) {
		from = output{}
	}
	g.startStream(effects, st.sampleIndex, from, 0)
}
