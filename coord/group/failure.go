package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// HandleStreamFailure tells that a stream ended before its last chunk, on a server or, when
// that is empty, without having got one.
func (g *Group) HandleStreamFailure(now time.Time, id StreamID, server structs.HostName, code result.Code) Effects {
	var effects Effects
	at := g.attempts[id]
	if at == nil || g.failed != 0 {
		return effects
	}
	if server != "" {
		at.server = server
	}
	g.broke(&effects, now, at, code)
	return effects
}

// broke ends a stream and resumes its sample, unless a hedge still runs.
func (g *Group) broke(effects *Effects, now time.Time, at *attempt, code result.Code) {
	g.remove(at)
	sm := &g.samples[at.sample]
	if at.answer.tokens > sm.best.tokens {
		sm.best = at.answer
	}
	if at.answer.tokens == at.carried {
		sm.fruitless++
	}
	g.blame(sm, at.server, code)
	if len(sm.live) > 0 {
		return
	}
	if g.hopeless(sm, code) {
		g.fail(effects, code)
		return
	}
	g.counts.Resumed++
	g.start(effects, at.sample, g.carry(now, sm), g.delay(sm))
}

// blame remembers where a stream broke, so that the sample avoids it.
func (g *Group) blame(sm *sample, server structs.HostName, code result.Code) {
	if mayHaveRun(code) {
		g.sent = true
	}
	if server == "" {
		if code == result.NoBackend {
			// Nobody else is left; those avoided so far may have recovered.
			sm.avoid = nil
		}
		return
	}
	if !slices.Contains(sm.avoid, server) {
		sm.avoid = append(sm.avoid, server)
	}
	if mayHaveRun(code) && !result.IsBackendRefusal(code) {
		g.broken[server] = true
	}
}

// mayHaveRun reports whether bytes may have reached a server.
func mayHaveRun(code result.Code) bool {
	entry, known := result.Lookup(code)
	return !known || entry.Outcome != result.NotRun
}

// hopeless reports whether a sample cannot be finished.
func (g *Group) hopeless(sm *sample, code result.Code) bool {
	switch code {
	case result.NoBackend, result.Overloaded, result.FairShareExceeded, result.BackendRefused,
		result.BackendOverloaded, result.AnswerCut, result.BackendBroke, result.OutcomeUnknown:
		return len(g.broken) >= g.limits.MaxBrokenServers || sm.fruitless >= g.limits.MaxEmptyStreams
	default:
		return true
	}
}

// fail gives the group up.
func (g *Group) fail(effects *Effects, reason result.Code) {
	g.failed, g.sent = reason, g.MayHaveRun()
	effects.FailureCode = reason
	effects.Starts = nil
	for id := range g.attempts {
		effects.Stops = append(effects.Stops, id)
	}
	slices.Sort(effects.Stops)
	clear(g.attempts)
}

// carry returns what a sample's next stream goes on from.
func (g *Group) carry(now time.Time, sm *sample) answer {
	if sm.best.tokens > 0 && !sm.best.freshAt(now, g.fresh) {
		g.counts.Restarted++
		sm.best = answer{}
	}
	return sm.best
}

func (g *Group) delay(sm *sample) time.Duration {
	if sm.fruitless == 0 {
		return 0
	}
	delay := g.limits.Backoff
	for i := 1; i < sm.fruitless && delay < g.limits.MaxBackoff; i++ {
		delay *= 2
	}
	return min(delay, g.limits.MaxBackoff)
}
