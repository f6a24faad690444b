package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// HandleStreamFailure handles a stream that ended before its last chunk. The server
// is empty if the stream was not assigned one.
func (g *Group) HandleStreamFailure(now time.Time, id StreamID, server structs.HostName, code result.Code) Effects {
	var effects Effects
	st := g.streams[id]
	if st == nil || g.failureCode != 0 {
		return effects
	}
	if server != "" {
		st.server = server
	}
	g.handleFailure(&effects, now, st, code)
	return effects
}

// handleFailure removes a failed stream. It resumes the sample unless another
// stream of it still runs, or aborts the group.
func (g *Group) handleFailure(effects *Effects, now time.Time, st *stream, code result.Code) {
	g.removeStream(st)
	sm := &g.samples[st.sampleIndex]
	if st.output.tokens > sm.longest.tokens {
		sm.longest = st.output
	}
	if st.output.tokens == st.prefixTokens {
		sm.emptyStreams++
	}
	g.recordFailure(sm, st.server, code)
	if len(sm.streams) > 0 {
		return
	}
	if g.unrecoverable(sm, code) {
		g.abort(effects, code)
		return
	}
	g.counts.Resumed++
	g.startStream(effects, st.sampleIndex, g.resumePrefix(now, sm), g.backoff(sm))
}

// recordFailure records the server of a failed stream, so that the sample avoids
// it, and whether the prompt may have run there.
func (g *Group) recordFailure(sm *sample, server structs.HostName, code result.Code) {
	if mayHaveRun(code) {
		g.bytesSent = true
	}
	if server == "" {
		if code == result.NoBackend {
			// No other server is left; the avoided ones may have recovered.
			sm.avoid = nil
		}
		return
	}
	if !slices.Contains(sm.avoid, server) {
		sm.avoid = append(sm.avoid, server)
	}
	if mayHaveRun(code) && !result.IsBackendRefusal(code) {
		g.brokenServers[server] = true
	}
}

// mayHaveRun reports whether a request that failed with code may have reached a
// server.
func mayHaveRun(code result.Code) bool {
	entry, known := result.Lookup(code)
	return !known || entry.Outcome != result.NotRun
}

// unrecoverable reports whether a failed sample must not be resumed: the code rules
// out a retry, or a limit on failures is reached.
func (g *Group) unrecoverable(sm *sample, code result.Code) bool {
	switch code {
	case result.NoBackend, result.Overloaded, result.FairShareExceeded, result.BackendRefused,
		result.BackendOverloaded, result.AnswerCut, result.BackendBroke, result.OutcomeUnknown:
		return len(g.brokenServers) >= g.limits.MaxBrokenServers || sm.emptyStreams >= g.limits.MaxEmptyStreams
	default:
		return true
	}
}

// abort gives up the group and stops all its streams.
func (g *Group) abort(effects *Effects, reason result.Code) {
	g.failureCode, g.bytesSent = reason, g.MayHaveRun()
	effects.FailureCode = reason
	effects.Starts = nil
	for id := range g.streams {
		effects.Stops = append(effects.Stops, id)
	}
	slices.Sort(effects.Stops)
	clear(g.streams)
}

// resumePrefix returns the output from which a sample's next stream continues. It
// is empty when the longest output so far is too stale.
func (g *Group) resumePrefix(now time.Time, sm *sample) output {
	if sm.longest.tokens > 0 && !sm.longest.withinBound(now, g.staleness) {
		g.counts.Restarted++
		sm.longest = output{}
	}
	return sm.longest
}

// backoff returns the delay before a sample's next stream. It doubles with each
// stream in a row that ended without a token, up to MaxBackoff.
func (g *Group) backoff(sm *sample) time.Duration {
	if sm.emptyStreams == 0 {
		return 0
	}
	delay := g.limits.Backoff
	for i := 1; i < sm.emptyStreams && delay < g.limits.MaxBackoff; i++ {
		delay *= 2
	}
	return min(delay, g.limits.MaxBackoff)
}
