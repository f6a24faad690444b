package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// avoidMost is how many engines an item remembers to avoid.
const avoidMost = 2

// runEnded is the end of an item's run.
type runEnded struct {
	job    string
	epoch  uint64
	model  structs.ServiceName
	item   *item
	server catalog.Server
	run    contract.RunResult
	// at is when the run ended.
	at time.Time
}

// start runs an item on an engine.
func (s *service) start(j *job, it *item, server catalog.Server, left int, pace time.Duration, now time.Time) {
	ctx, stop := context.WithCancel(j.ctx)
	it.phase, it.server, it.begun, it.stop, it.moving = phaseRunning, server.ID, now, stop, false
	it.progress = &contract.Progress{}
	s.engine(server).own++
	request := contract.RunRequest{
		Job: &j.Job, Item: it.Item, Server: server, Urgency: placement.Urgency(left, pace, j.due().Sub(now), j.terms.rank), Text: it.text,
		Timeout: max(time.Second, j.submitted.Add(j.terms.itemLife).Sub(now)), SingleVersion: j.terms.single,
	}
	progress := it.progress
	id, epoch, model := j.ID, j.own.Epoch, j.Model
	s.workers.Go(func(context.Context) {
		defer stop()
		ended := runEnded{job: id, epoch: epoch, model: model, item: it, server: server, run: s.runner.Run(ctx, request, progress)}
		ended.at = time.Now()
		if err := s.runs.Post(ended); err != nil {
			s.log.WithError(err).WithField("job", id).Error("The end of a run is lost.")
		}
	})
}

// runEnded takes in the end of a run on the control goroutine.
func (s *service) runEnded(ended runEnded) {
	it, run := ended.item, ended.run
	now := s.loop.Now()
	s.learn(ended, now)
	j := s.owned[ended.job]
	if j == nil || j.own.Epoch != ended.epoch || it.phase != phaseRunning {
		return
	}
	it.phase, it.held = phaseWaiting, len(run.Text.Events)
	if carried := it.carried; carried != nil {
		it.carried = nil
		if carried.Last > it.text.Last && run.Outcome != contract.RunCompleted {
			it.text, it.held, it.kept = carried, len(carried.Events), 0
			s.wake()
			return
		}
	}
	switch run.Outcome {
	case contract.RunCompleted:
		if s.mayStart(j) {
			s.judge(j, it)
		}
	case contract.RunImpossible:
		s.giveUp(j, it, "a server said that it can never be done")
	case contract.RunFailed:
		it.failures++
		if it.failures >= j.terms.maxAttempts {
			s.giveUp(j, it, "its attempts failed")
			break
		}
		it.addAvoid(ended.server.ID)
	case contract.RunInterrupted:
		it.addAvoid(ended.server.ID)
		if j.terms.single || len(run.Text.Versions) > 0 && !j.AcceptsVersions(run.Text.Versions, false) {
			it.text, it.held, it.kept = &text{}, 0, 0
		}
	}
	s.wake()
}

func (it *item) addAvoid(server structs.HostName) {
	it.avoid = append(it.avoid, server)
	if len(it.avoid) > avoidMost {
		it.avoid = it.avoid[1:]
	}
}

// learn takes in what a run showed of its engine.
func (s *service) learn(ended runEnded, now time.Time) {
	known := s.engines[ended.server.ID]
	if known == nil {
		return
	}
	known.own = max(0, known.own-1)
	if known.started != ended.server.Started {
		return
	}
	run := ended.run
	if run.Version != 0 {
		known.versions[ended.model] = run.Version
	}
	switch run.Outcome {
	case contract.RunUnreachable:
		known.notReached(now)
		return
	case contract.RunNotStarted, contract.RunStaleWeights:
		known.blocked[ended.model] = now.Add(blockedFor)
	}
	known.unreached = 0
	if sample, ok := ended.item.progress.PaceSample(ended.at); ok {
		s.paces.RecordSample(ended.server, sample)
	}
}

// notReached keeps items from an engine for longer with each round of connections
// that failed.
func (e *engine) notReached(now time.Time) {
	if now.Before(e.unreachable) {
		return
	}
	const mostDoublings = 8
	e.unreachable = now.Add(min(unreachableFirst<<min(e.unreached, mostDoublings), unreachableMost))
	e.unreached++
}

// watch learns from the running items of a job how fast the engines are, and moves
// the runs that are slow.
func (s *service) watch(j *job, now time.Time) {
	var board *placement.EngineSelector
	listed := s.servers.Entries().Load().All
	for _, it := range j.items {
		if it.phase != phaseRunning || it.moving {
			continue
		}
		sample, ok := it.progress.PaceSample(now)
		if !ok {
			continue
		}
		if server, isListed := listed[it.server]; isListed {
			s.paces.RecordSample(server, sample)
		}
		if board == nil {
			board = s.board(j, now)
		}
		left := s.eventsLeft(j, it)
		choice, ok := board.Select(left, append(slices.Clone(it.avoid), it.server))
		if !ok || !placement.ShouldMove(left, sample.Recent, board.PaceOf(choice)) {
			continue
		}
		s.log.WithFields(logrus.Fields{
			"job": j.ID, "item": it.ID, "from": it.server, "pace_ms": sample.Recent.Milliseconds(), "left": left,
			"elsewhere_ms": board.PaceOf(choice).Milliseconds(),
		}).Info("A slow run is moved.")
		board.Assign(choice)
		it.moving = true
		it.stop()
	}
}
