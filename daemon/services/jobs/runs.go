package jobs

import (
	"cmp"
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// maxAvoided bounds the servers that an item avoids after failed runs.
const maxAvoided = 2

// runOutcome is the outcome of an item's run.
type runOutcome struct {
	job    string
	epoch  uint64
	model  structs.ServiceName
	item   *item
	server catalog.Server
	// tokens is what the run was expected to need of the engine's memory.
	tokens int
	result contract.RunResult
	// endedAt is when the run ended.
	endedAt time.Time
}

// startRun runs an item on an engine.
func (s *service) startRun(j *job, it *item, server catalog.Server, eventsLeft int, pace time.Duration, now time.Time) {
	ctx, cancel := context.WithCancelCause(j.ctx)
	it.phase, it.server, it.startedAt, it.cancel, it.isMoving = phaseRunning, server.ID, now, cancel, false
	it.slowSince = time.Time{}
	it.progress = &contract.Progress{}
	state, tokens := s.engineStateOf(server), s.expectedTokens(j, it, eventsLeft)
	state.beginRun(now)
	state.tokens += tokens
	s.runsChanged()
	request := contract.RunRequest{
		Job: &j.Job, HasWorkspaces: j.Workspace != "" || s.hasWorkspaces(), Item: it.Item, Server: server, Urgency: placement.Urgency(eventsLeft, pace, j.deadline().Sub(now), j.route.priority), Text: it.text,
		Start: it.nextStart(), Timeout: max(time.Second, j.submittedAt.Add(j.route.itemTTL).Sub(now)), SingleVersion: j.route.singleVersion,
	}
	s.metrics.Count("jobs.runs_started."+request.Start.String(), 1)
	progress := it.progress
	id, epoch, model := j.ID, j.ownership.Epoch, j.Model
	s.workers.Go(func(workersCtx context.Context) {
		defer cancel(nil)
		// A run that panics is no failure of the engine and is made again.
		result := contract.RunResult{Outcome: contract.RunInterrupted, Text: request.Text, Err: kernel.ErrPanicked}
		defer func() {
			outcome := runOutcome{job: id, epoch: epoch, model: model, item: it, server: server, tokens: tokens, result: result, endedAt: time.Now()}
			postOutcome(workersCtx, s, s.runOutcomes, outcome, id)
		}()
		result = s.engineRunner.Run(ctx, request, progress)
	})
}

// handleRunOutcome applies the outcome of a run on the control goroutine.
func (s *service) handleRunOutcome(outcome runOutcome) {
	it, result := outcome.item, outcome.result
	now := s.loop.Now()
	s.recordEngineState(outcome, now)
	j := s.ownedJobs[outcome.job]
	if j == nil || j.ownership.Epoch != outcome.epoch || it.phase != phaseRunning {
		return
	}
	it.phase, it.resumeOffset, it.waitingSince = phaseWaiting, len(result.Text.Events), now
	it.start = contract.StartAfter(result.Outcome)
	if it.isMoving && result.Outcome == contract.RunInterrupted {
		it.start = contract.StartMoved
	}
	if replacement := it.replacement; replacement != nil {
		it.replacement = nil
		if replacement.Last > it.text.Last && result.Outcome != contract.RunCompleted {
			it.text, it.resumeOffset, it.checkpointOffset = replacement, len(replacement.Events), 0
			s.schedulePlacement()
			return
		}
	}
	if s.hasReplacedSoftware(outcome.server) {
		s.discardText(j, it, "its engine was replaced by another software version under the same name")
		s.schedulePlacement()
		return
	}
	switch result.Outcome {
	case contract.RunCompleted:
		if s.mayStartItems(j) {
			s.judgeItem(j, it)
		}
	case contract.RunImpossible:
		s.giveUpItem(j, it, "a server said that it can never be done")
	case contract.RunFailed:
		it.failures++
		if hasUsedAttempts(it.failures, j.route.maxAttempts) {
			s.giveUpItem(j, it, "its attempts failed")
			break
		}
		it.avoidServer(outcome.server.ID)
	case contract.RunOtherWeights:
		s.discardText(j, it, "its engine has other weights, and versions may not be mixed")
	case contract.RunOverlong:
		it.avoidServer(outcome.server.ID)
		s.discardText(j, it, "its engine sent more than a text can hold")
	case contract.RunInterrupted:
		it.avoidServer(outcome.server.ID)
		if j.route.singleVersion || len(result.Text.Versions) > 0 && !j.AcceptsVersions(result.Text.Versions, false) {
			s.discardText(j, it, "its weight versions may not be mixed or are too old")
		}
	}
	s.schedulePlacement()
}

// hasReplacedSoftware reports whether another software version has started under the
// name of a server since it was chosen. The run may have reached either.
func (s *service) hasReplacedSoftware(chosen catalog.Server) bool {
	listed, ok := s.servers.Entries().Load().All[chosen.ID]
	return ok && listed.Started != chosen.Started && listed.Software != chosen.Software
}

// nextStart returns why the next run of the item starts.
func (it *item) nextStart() contract.RunStart {
	if it.start == contract.StartFirst && it.text.Last > 0 {
		return contract.StartResumed
	}
	return it.start
}

func (it *item) avoidServer(server structs.HostName) {
	it.avoidedServers = append(it.avoidedServers, server)
	if len(it.avoidedServers) > maxAvoided {
		it.avoidedServers = it.avoidedServers[1:]
	}
}

// recordEngineState updates the state of an engine from the outcome of a run.
func (s *service) recordEngineState(outcome runOutcome, now time.Time) {
	state := s.engines[outcome.server.ID]
	if state == nil {
		return
	}
	state.endRun(outcome.result.Outcome, now)
	state.tokens = max(0, state.tokens-outcome.tokens)
	s.runsChanged()
	if state.started != outcome.server.Started {
		return
	}
	result := outcome.result
	if result.Version != 0 {
		state.versions[outcome.model] = result.Version
	}
	switch result.Outcome {
	case contract.RunUnreachable:
		state.recordConnectFailure(now)
		return
	case contract.RunNotStarted, contract.RunStaleWeights:
		state.blockedUntil[outcome.model] = now.Add(cmp.Or(result.RetryAfter, refusalCooldown))
		s.loop.AfterFunc(cmp.Or(result.RetryAfter, refusalCooldown), s.schedulePlacement)
	}
	state.connectFailures = 0
	if sample, ok := outcome.item.progress.PaceSample(outcome.endedAt); ok {
		s.paces.RecordSample(outcome.server, sample)
	}
}

// recordConnectFailure excludes an engine from selection, for twice as long
// after each round of failed connections up to maxConnectCooldown.
func (e *engineState) recordConnectFailure(now time.Time) {
	if now.Before(e.unreachableUntil) {
		return
	}
	const maxDoublings = 8
	e.unreachableUntil = now.Add(min(minConnectCooldown<<min(e.connectFailures, maxDoublings), maxConnectCooldown))
	e.connectFailures++
}
