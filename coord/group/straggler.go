package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// NextCheck returns when Check must be called if nothing happens before, and
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

// Check resumes the samples of silent streams elsewhere and hedges slow ones.
func (g *Group) Check(now time.Time) Effects {
	var effects Effects
	ids := make([]AttemptID, 0, len(g.attempts))
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
		return at.heard.Add(g.limits.FirstToken)
	}
	return at.heard.Add(g.limits.Silence)
}

// slowAt is when a stream without another token has fallen below the share of
// the median rate. It is false while the stream may not be hedged.
func (g *Group) slowAt(at *attempt) (time.Time, bool) {
	enough := 2*len(g.rates) >= len(g.samples) && len(g.rates) > 0
	alone := len(g.samples[at.sample].live) == 1
	if !enough || !alone || g.counts.Hedged >= g.limits.Hedges {
		return time.Time{}, false
	}
	rate := g.limits.SlowShare * median(g.rates)
	if rate <= 0 {
		return time.Time{}, false
	}
	made := float64(at.answer.tokens - at.carried + 1)
	span := time.Duration(made / rate * float64(time.Second))
	return at.begun.Add(max(span, g.limits.Silence)), true
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

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
