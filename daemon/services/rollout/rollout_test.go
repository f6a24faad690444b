package rollout

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/engine"
	"github.com/flamingobeam/flamingobeam/outside"
)

func newRequest(class structs.Class) contract.RolloutRequest {
	return contract.RolloutRequest{Workspace: workspace, Class: class, Group: "g1", Prompt: prompt, MaxTokens: 40}
}

// sampleLength returns the number of tokens of a sample of newRequest.
func sampleLength(sample int) int {
	request := newRequest(structs.ClassRollout)
	return engine.LengthOf(outside.GenerateRequest{Prompt: prompt, MaxTokens: request.MaxTokens, Seed: sampleSeed(request, sample)})
}

// checkSamples checks that the samples are complete, distinct, scored and added to the
// steps, and that their spans match those encoded in their bodies.
func (h *harness) checkSamples(samples []structs.Sample) {
	must.SliceLen(h.t, groupSize, samples)
	ids := map[structs.SampleID]bool{}
	for i, sample := range samples {
		spans, err := engine.SpansOf(string(sample.Body))
		must.NoError(h.t, err)
		must.Eq(h.t, spans, sample.Spans)
		total := 0
		for _, span := range spans {
			total += span.Tokens
		}
		must.Eq(h.t, sampleLength(i), total)
		must.Positive(h.t, sample.Reward)
		ids[sample.ID] = true
	}
	must.MapLen(h.t, groupSize, ids)
	must.Eq(h.t, samples, h.addedSamples)
}

// TestRollout_WeightSwapMidStream checks that the spans of a sample name both versions if
// the engine swaps its weights while it generates the sample.
func TestRollout_WeightSwapMidStream(t *testing.T) {
	h := newHarness(t, 1, defaultLimits)
	h.engines[0].SetFaults(engine.Faults{StallAfter: 5})
	var seen atomic.Int64
	h.onChunk = func(_ string, chunk outside.Chunk) {
		if seen.Add(int64(chunk.Tokens)) != 5*groupSize {
			return
		}
		_, err := h.engines[0].Order(context.Background(), outside.Order{Version: 2, Term: 1})
		must.NoError(t, err)
		h.engines[0].SetFaults(engine.Faults{})
	}
	reply, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	h.checkSamples(reply.Samples)
	for i, sample := range reply.Samples {
		must.Eq(t, []structs.VersionSpan{{Version: 1, Tokens: 5}, {Version: 2, Tokens: sampleLength(i) - 5}}, sample.Spans)
	}
}

// TestRollout_BalancerReports checks the requests and outcomes that the balancer gets
// for streams and calls to judges.
func TestRollout_BalancerReports(t *testing.T) {
	h := newHarness(t, 1, defaultLimits)
	h.newestVersion = 2
	_, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	must.Len(t, 2*groupSize, h.serverRequests)
	fingerprints := map[structs.ServiceName]quarantine.Fingerprint{}
	for _, each := range h.serverRequests {
		picked, outcome := each.request, each.outcome
		must.NotEq(t, 0, picked.Fingerprint)
		must.NoError(t, outcome.Err)
		fingerprints[picked.Service] = picked.Fingerprint
		if picked.Service == judgeName {
			must.Greater(t, int64(len(prompt)), outcome.Bytes)
			continue
		}
		must.Eq(t, promptAffinity(prompt), picked.Affinity)
		must.Eq(t, 1, picked.MinVersion)
		must.Eq(t, 1, outcome.Version)
		must.Between(t, 1, outcome.Units, 40)
		must.Greater(t, int64(len(prompt)+outcome.Units), outcome.Bytes)
	}
	must.NotEq(t, fingerprints[model], fingerprints[judgeName])
}

// TestRollout_ResumesCutStream checks that a cut stream is resumed on another engine after
// its last token, and that the spans name the versions of both engines.
func TestRollout_ResumesCutStream(t *testing.T) {
	h := newHarness(t, 2, defaultLimits)
	h.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	reply, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	h.checkSamples(reply.Samples)
	for i, sample := range reply.Samples {
		must.Eq(t, []structs.VersionSpan{{Version: 1, Tokens: 7}, {Version: 2, Tokens: sampleLength(i) - 7}}, sample.Spans)
	}
	for _, record := range h.engines[1].Records() {
		must.Eq(t, 7, record.PrefixTokens)
	}
}

// TestRollout_DropsStalePrefix checks that a sample starts anew if its prefix is older than
// the staleness bound.
func TestRollout_DropsStalePrefix(t *testing.T) {
	h := newHarness(t, 2, defaultLimits)
	h.newestVersion = 3
	h.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	reply, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	h.checkSamples(reply.Samples)
	for _, sample := range reply.Samples {
		must.Eq(t, 2, sample.OldestVersion())
	}
}

// TestRollout_EngineCrash checks that a crash of an engine loses neither samples nor
// tokens.
func TestRollout_EngineCrash(t *testing.T) {
	h := newHarness(t, 2, defaultLimits)
	h.engines[0].SetFaults(engine.Faults{StallAfter: 3})
	var seen atomic.Int64
	h.onChunk = func(_ string, chunk outside.Chunk) {
		if seen.Add(int64(chunk.Tokens)) == 3*groupSize {
			h.engines[0].Crash()
			h.servers[0].Listener.Close()
		}
	}
	reply, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	h.checkSamples(reply.Samples)
	for _, sample := range reply.Samples {
		must.Eq(t, structs.VersionSpan{Version: 1, Tokens: 3}, sample.Spans[0])
	}
}

// TestRollout_HungEngine checks that streams on a hung engine are resumed on another.
func TestRollout_HungEngine(t *testing.T) {
	limits := defaultLimits
	limits.ChunkTimeout, limits.MaxBrokenServers, limits.MaxEmptyStreams = 50*time.Millisecond, 1<<20, 1<<20
	h := newHarness(t, 2, limits)
	h.engines[0].SetFaults(engine.Faults{StallAfter: 3})
	reply, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	h.checkSamples(reply.Samples)
}

func TestRollout_HedgesSlowStream(t *testing.T) {
	limits := defaultLimits
	limits.ChunkTimeout = time.Second
	h := newHarness(t, 1, limits)
	h.addEngine(slowTokensPerSecond)
	const slowStreamPick = 2
	h.firstIndex = func(pick int) int {
		if pick == slowStreamPick {
			return 1
		}
		return 0
	}
	reply, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	h.checkSamples(reply.Samples)
	must.Eq(t, 1, h.counters["rollout.hedged"])
	must.SliceLen(t, 1, h.engines[1].Records())
}

// TestRollout_LimitsCrashesPerPrompt checks that a prompt that crashes engines crashes no
// more than MaxBrokenServers of them.
func TestRollout_LimitsCrashesPerPrompt(t *testing.T) {
	limits := defaultLimits
	limits.MaxBrokenServers = 2
	h := newHarness(t, 3, limits)
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{CrashMarker: "fertiliser"})
	}
	_, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.Eq(t, result.GroupUnfinished, result.CodeOf(err))
	must.SliceEmpty(t, h.addedSamples)
	_, err = h.Platform().Engine.FetchLoad(t.Context(), h.backends[model][2].Address)
	must.NoError(t, err)
}

// TestRollout_FailureOutcome checks that a failed rollout has a code with the outcome NotRun
// only if no engine got a request.
func TestRollout_FailureOutcome(t *testing.T) {
	limits := defaultLimits
	limits.Backoff, limits.MaxBackoff = time.Millisecond, time.Millisecond
	h := newHarness(t, 0, limits)
	_, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.Eq(t, result.NoBackend, result.CodeOf(err))

	h = newHarness(t, 1, limits)
	h.engines[0].SetFaults(engine.Faults{Leaving: true})
	_, err = h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.Eq(t, result.GroupUnfinished, result.CodeOf(err))
	must.Eq(t, 1, h.badRequests)
}

// TestRollout_JudgeFailure checks that no sample is added to the steps if the judge fails.
func TestRollout_JudgeFailure(t *testing.T) {
	h := newHarness(t, 1, defaultLimits)
	h.backends[judgeName] = nil
	for _, host := range []string{"bad-1", "bad-2", "bad-3"} {
		h.addServer(judgeName, host, httptest.NewServer(engine.New(engine.DefaultOptions()).Handler()))
	}
	_, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.Eq(t, result.GroupUnfinished, result.CodeOf(err))
	must.SliceEmpty(t, h.addedSamples)
}

// TestRollout_RetriesTransientAddErrors checks that samples are added exactly once if the
// steps refuse them at first.
func TestRollout_RetriesTransientAddErrors(t *testing.T) {
	h := newHarness(t, 1, defaultLimits)
	h.addErrors = []result.Code{result.PeerUnreachable, result.StoreUnavailable}
	reply, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
	must.NoError(t, err)
	h.checkSamples(reply.Samples)
}

// TestRollout_NoRetryOfOtherAddErrors checks that samples are not added again if the first
// call may have run or its error is permanent.
func TestRollout_NoRetryOfOtherAddErrors(t *testing.T) {
	for code, want := range map[result.Code]result.Code{
		result.OutcomeUnknown:   result.OutcomeUnknown,
		result.UnknownWorkspace: result.GroupUnfinished,
	} {
		h := newHarness(t, 1, defaultLimits)
		h.addErrors = []result.Code{code}
		_, err := h.rollout.Rollout(t.Context(), newRequest(structs.ClassRollout))
		must.Eq(t, want, result.CodeOf(err))
		must.SliceEmpty(t, h.addedSamples)
	}
}

// TestDraft_ResumesStalePrefix checks that the staleness bound does not apply to Drafts.
func TestDraft_ResumesStalePrefix(t *testing.T) {
	h := newHarness(t, 2, defaultLimits)
	h.newestVersion = 9
	h.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	draft, err := h.rollout.Draft(t.Context(), newRequest(structs.ClassDraft))
	must.NoError(t, err)
	must.Eq(t, structs.VersionSpan{Version: 1, Tokens: 7}, draft.Spans[0])
}

func TestDraft_NotAddedToSteps(t *testing.T) {
	h := newHarness(t, 2, defaultLimits)
	h.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	draft, err := h.rollout.Draft(t.Context(), newRequest(structs.ClassDraft))
	must.NoError(t, err)
	spans, err := engine.SpansOf(string(draft.Body))
	must.NoError(t, err)
	must.Eq(t, spans, draft.Spans)
	must.SliceLen(t, 2, spans)
	must.SliceEmpty(t, h.addedSamples)
}
