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

func request(class structs.Class) contract.RolloutRequest {
	return contract.RolloutRequest{Workspace: workspace, Class: class, Group: "g1", Prompt: prompt, MaxTokens: 40}
}

// lengthOf is how many tokens a sample of request has.
func lengthOf(sample int) int {
	asked := request(structs.ClassRollout)
	return engine.LengthOf(outside.GenerateRequest{Prompt: prompt, MaxTokens: asked.MaxTokens, Seed: seedOf(asked, sample)})
}

// checkSamples recomputes each sample's spans from its body.
func (b *bench) checkSamples(samples []structs.Sample) {
	must.SliceLen(b.t, groupSize, samples)
	ids := map[structs.SampleID]bool{}
	for i, sample := range samples {
		spans, err := engine.SpansOf(string(sample.Body))
		must.NoError(b.t, err)
		must.Eq(b.t, spans, sample.Spans)
		total := 0
		for _, span := range spans {
			total += span.Tokens
		}
		must.Eq(b.t, lengthOf(i), total)
		must.Positive(b.t, sample.Reward)
		ids[sample.ID] = true
	}
	must.MapLen(b.t, groupSize, ids)
	must.Eq(b.t, samples, b.added)
}

func TestRollout_SwapInMidStreamIsNamed(t *testing.T) {
	b := newBench(t, 1, defaultLimits)
	b.engines[0].SetFaults(engine.Faults{StallAfter: 5})
	var seen atomic.Int64
	b.onChunk = func(_ string, chunk outside.Chunk) {
		if seen.Add(int64(chunk.Tokens)) != 5*groupSize {
			return
		}
		_, err := b.engines[0].Order(context.Background(), outside.Order{Version: 2, Term: 1})
		must.NoError(t, err)
		b.engines[0].SetFaults(engine.Faults{})
	}
	reply, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	b.checkSamples(reply.Samples)
	for i, sample := range reply.Samples {
		must.Eq(t, []structs.VersionSpan{{Version: 1, Tokens: 5}, {Version: 2, Tokens: lengthOf(i) - 5}}, sample.Spans)
	}
}

// TestRollout_TellsTheBalancerOfItsWork holds what routing needs of streams and
// judgements.
func TestRollout_TellsTheBalancerOfItsWork(t *testing.T) {
	b := newBench(t, 1, defaultLimits)
	b.newest = 2
	_, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	must.Len(t, 2*groupSize, b.attempts)
	prints := map[structs.ServiceName]quarantine.Fingerprint{}
	for _, each := range b.attempts {
		asked, seen := each.request, each.outcome
		must.NotEq(t, 0, asked.Fingerprint)
		must.NoError(t, seen.Err)
		prints[asked.Service] = asked.Fingerprint
		if asked.Service == judgeName {
			must.Greater(t, int64(len(prompt)), seen.Bytes)
			continue
		}
		must.Eq(t, affinityOf(prompt), asked.Affinity)
		must.Eq(t, 1, asked.MinVersion)
		must.Eq(t, 1, seen.Version)
		must.Between(t, 1, seen.Units, 40)
		must.Greater(t, int64(len(prompt)+seen.Units), seen.Bytes)
	}
	must.NotEq(t, prints[model], prints[judgeName])
}

func TestRollout_CutStreamIsResumedAndBothPartsNamed(t *testing.T) {
	b := newBench(t, 2, defaultLimits)
	b.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	reply, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	b.checkSamples(reply.Samples)
	for i, sample := range reply.Samples {
		must.Eq(t, []structs.VersionSpan{{Version: 1, Tokens: 7}, {Version: 2, Tokens: lengthOf(i) - 7}}, sample.Spans)
	}
	for _, record := range b.engines[1].Records() {
		must.Eq(t, 7, record.PrefixTokens)
	}
}

func TestRollout_StalePrefixIsMadeAnew(t *testing.T) {
	b := newBench(t, 2, defaultLimits)
	b.newest = 3
	b.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	reply, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	b.checkSamples(reply.Samples)
	for _, sample := range reply.Samples {
		must.Eq(t, 2, sample.OldestVersion())
	}
}

func TestRollout_KilledEngineLosesNoSample(t *testing.T) {
	b := newBench(t, 2, defaultLimits)
	b.engines[0].SetFaults(engine.Faults{StallAfter: 3})
	var seen atomic.Int64
	b.onChunk = func(_ string, chunk outside.Chunk) {
		if seen.Add(int64(chunk.Tokens)) == 3*groupSize {
			b.engines[0].Crash()
			b.servers[0].Listener.Close()
		}
	}
	reply, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	b.checkSamples(reply.Samples)
	for _, sample := range reply.Samples {
		must.Eq(t, structs.VersionSpan{Version: 1, Tokens: 3}, sample.Spans[0])
	}
}

func TestRollout_HungEngineIsLeft(t *testing.T) {
	limits := defaultLimits
	limits.ChunkTimeout, limits.MaxBrokenServers, limits.MaxEmptyStreams = 50*time.Millisecond, 1<<20, 1<<20
	b := newBench(t, 2, limits)
	b.engines[0].SetFaults(engine.Faults{StallAfter: 3})
	reply, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	b.checkSamples(reply.Samples)
}

func TestRollout_SlowStreamIsHedged(t *testing.T) {
	limits := defaultLimits
	limits.ChunkTimeout = time.Second
	b := newBench(t, 1, limits)
	b.addEngine(slowTokens)
	const slowPick = 2
	b.first = func(pick int) int {
		if pick == slowPick {
			return 1
		}
		return 0
	}
	reply, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	b.checkSamples(reply.Samples)
	must.Eq(t, 1, b.counts["rollout.hedged"])
	must.SliceLen(t, 1, b.engines[1].Records())
}

func TestRollout_PromptThatCrashesEnginesSparesTheRest(t *testing.T) {
	limits := defaultLimits
	limits.MaxBrokenServers = 2
	b := newBench(t, 3, limits)
	for _, e := range b.engines {
		e.SetFaults(engine.Faults{CrashMarker: "fertiliser"})
	}
	_, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.Eq(t, result.GroupUnfinished, result.CodeOf(err))
	must.SliceEmpty(t, b.added)
	_, err = b.Platform().Engine.FetchLoad(t.Context(), b.hosts[model][2].Address)
	must.NoError(t, err)
}

func TestRollout_RefusalIsNotRunOnlyWhenNothingWasSent(t *testing.T) {
	limits := defaultLimits
	limits.Backoff, limits.MaxBackoff = time.Millisecond, time.Millisecond
	b := newBench(t, 0, limits)
	_, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.Eq(t, result.NoBackend, result.CodeOf(err))

	b = newBench(t, 1, limits)
	b.engines[0].SetFaults(engine.Faults{Leaving: true})
	_, err = b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.Eq(t, result.GroupUnfinished, result.CodeOf(err))
	must.Eq(t, 1, b.bad)
}

func TestRollout_WithoutJudgementNothingIsDelivered(t *testing.T) {
	b := newBench(t, 1, defaultLimits)
	b.hosts[judgeName] = nil
	for _, host := range []string{"bad-1", "bad-2", "bad-3"} {
		b.listen(judgeName, host, httptest.NewServer(engine.New(engine.DefaultOptions()).Handler()))
	}
	_, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.Eq(t, result.GroupUnfinished, result.CodeOf(err))
	must.SliceEmpty(t, b.added)
}

func TestRollout_StepsThatRefuseForAWhileGetTheGroupOnce(t *testing.T) {
	b := newBench(t, 1, defaultLimits)
	b.refusals = []result.Code{result.PeerUnreachable, result.StoreUnavailable}
	reply, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
	must.NoError(t, err)
	b.checkSamples(reply.Samples)
}

func TestRollout_StepsThatMayHaveTakenTheGroupAreNotAskedAgain(t *testing.T) {
	for code, want := range map[result.Code]result.Code{
		result.OutcomeUnknown:   result.OutcomeUnknown,
		result.UnknownWorkspace: result.GroupUnfinished,
	} {
		b := newBench(t, 1, defaultLimits)
		b.refusals = []result.Code{code}
		_, err := b.rollout.Rollout(t.Context(), request(structs.ClassRollout))
		must.Eq(t, want, result.CodeOf(err))
		must.SliceEmpty(t, b.added)
	}
}

func TestDraft_GoesOnFromAStalePrefix(t *testing.T) {
	b := newBench(t, 2, defaultLimits)
	b.newest = 9
	b.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	draft, err := b.rollout.Draft(t.Context(), request(structs.ClassDraft))
	must.NoError(t, err)
	must.Eq(t, structs.VersionSpan{Version: 1, Tokens: 7}, draft.Spans[0])
}

func TestDraft_IsWholeAndNoSampleOfAStep(t *testing.T) {
	b := newBench(t, 2, defaultLimits)
	b.engines[0].SetFaults(engine.Faults{CutAfter: 7})
	draft, err := b.rollout.Draft(t.Context(), request(structs.ClassDraft))
	must.NoError(t, err)
	spans, err := engine.SpansOf(string(draft.Body))
	must.NoError(t, err)
	must.Eq(t, spans, draft.Spans)
	must.SliceLen(t, 2, spans)
	must.SliceEmpty(t, b.added)
}
