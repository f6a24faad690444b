package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// straggler is a running item that may be slow.
type straggler struct {
	item   *item
	run    placement.SlowRun
	events int
}

// moveStragglers records the pace of a job's running items, and stops runs that
// would finish sooner on another engine, as far as the job's budget goes.
func (s *service) moveStragglers(j *job, now time.Time) {
	s.observePreemptions(j, now)
	running := s.measuredRuns(j, now)
	if len(running) == 0 {
		return
	}
	slices.SortStableFunc(running, func(a, b straggler) int { return cmp.Compare(b.run.Finish(), a.run.Finish()) })
	selector := s.engineSelector(j, now, false)
	stepEnd := s.unmeasuredEnd(j, running, selector.FallbackPace())
	for i := range running {
		r := &running[i]
		avoid := append(slices.Clone(r.item.avoidedServers), r.item.server)
		choice, ok := selector.Select(r.run.Remaining, avoid, r.item.text.Position())
		ok = ok && selector.Engine(choice).TakesNow()
		if ok {
			r.run.OtherPace = selector.PaceOf(choice)
		}
		r.run.StepEnd = stepEnd
		stepEnd = max(stepEnd, r.run.BestFinish())
		if !ok || !placement.ShouldMove(r.run.Remaining, r.run.Pace, r.run.OtherPace) {
			r.item.slowSince = time.Time{}
			continue
		}
		if r.item.slowSince.IsZero() {
			r.item.slowSince = now
		}
		r.run.SlowFor = now.Sub(r.item.slowSince)
		if !j.moveBudget.Take(r.run, len(j.items)) {
			continue
		}
		s.logMove(j, r, selector.Engine(choice))
		selector.Assign(choice)
		r.item.isMoving = true
		r.item.moves++
		r.item.cancel(contract.CutMoved)
	}
}

// unmeasuredEnd returns the expected time until those texts of a job are whole that wait, or
// whose runs have no known pace yet.
func (s *service) unmeasuredEnd(j *job, measured []straggler, pace time.Duration) time.Duration {
	isMeasured := make(map[*item]bool, len(measured))
	for _, r := range measured {
		isMeasured[r.item] = true
	}
	longest := 0
	for _, it := range j.items {
		if (it.phase == phaseRunning || it.phase == phaseWaiting) && !isMeasured[it] {
			longest = max(longest, s.eventsLeft(j, it))
		}
	}
	return time.Duration(longest) * pace
}

// measuredRuns returns the running items of a job whose pace is known, and records it.
func (s *service) measuredRuns(j *job, now time.Time) []straggler {
	listed := s.servers.Entries().Load().All
	untilNeeded := j.submittedAt.Add(placement.NeededBy(j.route.resultDeadline)).Sub(now)
	var running []straggler
	for _, it := range j.items {
		if it.phase != phaseRunning || it.isMoving {
			continue
		}
		sample, ok := it.progress.PaceSample(now)
		if !ok {
			continue
		}
		if server, isListed := listed[it.server]; isListed {
			s.paces.RecordSample(server, sample)
		}
		running = append(running, straggler{item: it, events: sample.Events, run: placement.SlowRun{
			Remaining: s.eventsLeft(j, it), Pace: sample.Recent, Moves: it.moves, UntilNeeded: untilNeeded,
		}})
	}
	return running
}

// logMove logs and counts what a move throws away: the tokens that are read again.
func (s *service) logMove(j *job, r *straggler, target *placement.Engine) {
	it := r.item
	again := max(0, it.TotalTokens-it.MaxOutputTokens) + it.eventsMade()*s.tokensPerEvent(j)
	s.metrics.Count("jobs.moved_tokens", int64(again))
	fromRuns := 0
	if state := s.engines[it.server]; state != nil {
		fromRuns = state.localItems
	}
	s.log.WithFields(logrus.Fields{
		"job": j.ID, "item": it.ID, "from": it.server, "pace_ms": r.run.Pace.Milliseconds(), "left": r.run.Remaining,
		"elsewhere_ms": r.run.OtherPace.Milliseconds(), "to": target.Server.ID, "events": r.events,
		"from_runs": fromRuns, "to_runs": target.LocalItems, "to_measured": target.Pace > 0,
		"moves": it.moves, "job_moves": j.moveBudget.Moved, "until_needed_ms": r.run.UntilNeeded.Milliseconds(), "tokens_again": again,
	}).Info("Moving a slow run.")
}
