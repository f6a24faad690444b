package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/outside"
)

// finishItem records the result of an item.
func (s *service) finishItem(j *job, it *item, result batch.Result) {
	it.phase = phaseFinished
	if len(j.pendingResults) == 0 {
		j.pendingSince = s.loop.Now()
	}
	j.pendingResults = append(j.pendingResults, result)
	s.commitResults(j)
}

// commitResults writes the pending results once the job has as many complete
// groups as the trainer waits for, and after batch.WriteDelay before that.
func (s *service) commitResults(j *job) {
	if j.isCommitting || len(j.pendingResults) == 0 || j.ownership.Ended {
		return
	}
	now := s.loop.Now()
	delay := batch.WriteDelay(now.Sub(j.pendingSince), j.deadline().Sub(now), s.untilWanted(j, now))
	if delay > 0 && j.isOpen() {
		s.loop.AfterFunc(delay, func() { s.commitResults(j) })
		return
	}
	results := firstChunk(j.pendingResults)
	j.isCommitting = true
	id, ownership, log := j.ID, j.ownership, j.log
	s.workers.Go(func(ctx context.Context) {
		outcome := s.appendResults(ctx, id, ownership, log, results)
		postOutcome(ctx, s, s.commitOutcomes, outcome, id)
	})
}

// untilWanted returns the upper bound of the time until the job has as many complete
// groups as the trainer waits for, once the pending results are listed.
func (s *service) untilWanted(j *job, now time.Time) time.Duration {
	items := make([]batch.ItemState, len(j.items))
	for i, it := range j.items {
		items[i] = batch.ItemState{Group: it.Group, TimeLeft: s.maxTimeLeft(j, it, now)}
	}
	return batch.UntilWanted(items, j.WantedGroups)
}

// maxTimeLeft returns the upper bound of the time until an item's result is finished,
// if its engine keeps its pace.
func (s *service) maxTimeLeft(j *job, it *item, now time.Time) time.Duration {
	switch it.phase {
	case phaseFinished:
		return 0
	case phaseJudging:
		return usualRewardTime
	case phaseRunning:
		sample, hasPace := it.progress.PaceSample(now)
		eventsLeft, isKnown := s.maxEventsLeft(j, it)
		if !hasPace || !isKnown {
			return batch.UnknownTime
		}
		left := time.Duration(eventsLeft) * sample.Recent
		if it.Reward != nil {
			left += usualRewardTime
		}
		return left
	}
	return batch.UnknownTime
}

func (j *job) findItem(id batch.ItemID) *item {
	for _, it := range j.items {
		if it.ID == id {
			return it
		}
	}
	return nil
}

// firstChunk returns the longest prefix of the pending results that fits in one
// value of the store, and at least one result.
func firstChunk(pending []batch.Result) []batch.Result {
	size := 0
	for i, result := range pending {
		size += encodedLen(result.Output) + encodedLen(result.Score) + 200
		if size > maxChunkBytes && i > 0 {
			return pending[:i:i]
		}
	}
	return pending[:len(pending):len(pending)]
}

// commitOutcome is the outcome of a write to a job's log.
type commitOutcome struct {
	id        string
	epoch     uint64
	ownership ownershipRecord
	log       logRecord
	results   []batch.Result
	// isCommitted is set when the results are in the log, and isLost when
	// another daemon owns the job.
	isCommitted bool
	isLost      bool
	// startedAt is when the last call to the store began.
	startedAt time.Duration
}

// appendResults retries a write to a job's log until its outcome is certain.
func (s *service) appendResults(ctx context.Context, id string, ownership ownershipRecord, log logRecord, results []batch.Result) commitOutcome {
	outcome := commitOutcome{id: id, epoch: ownership.Epoch, ownership: ownership, log: log, results: results}
	retryBackoff := newRetryBackoff()
	for ctx.Err() == nil {
		outcome.startedAt = boottime.Now()
		next, err := s.jobStore.appendChunk(ctx, id, outcome.ownership, log, results)
		if err == nil {
			outcome.log, outcome.isCommitted = next, true
			return outcome
		}
		if errors.Is(err, outside.ErrConflict) && s.resolveConflict(ctx, &outcome, log) {
			return outcome
		}
		if outcome.ownership.Ended {
			return outcome
		}
		select {
		case <-time.After(retryBackoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return outcome
}

// resolveConflict determines why a write was refused and reports whether the
// outcome is certain. A write that was applied but whose reply was lost
// conflicts with its own retry.
func (s *service) resolveConflict(ctx context.Context, outcome *commitOutcome, logBefore logRecord) bool {
	ownership, err := s.jobStore.readOwnership(ctx, outcome.id)
	if err != nil {
		return false
	}
	current, err := s.jobStore.readLog(ctx, outcome.id)
	if err != nil {
		return false
	}
	if ownership.Epoch != outcome.epoch {
		outcome.isLost = true
		return true
	}
	outcome.ownership = ownership
	if current.revision != logBefore.revision {
		// Only this owner writes in this epoch, and one write at a time, so the
		// log holds these results.
		outcome.log, outcome.isCommitted = current, true
		return true
	}
	return ownership.Ended
}

// handleCommit applies the outcome of a write on the control goroutine.
func (s *service) handleCommit(outcome commitOutcome) {
	j := s.ownedJobs[outcome.id]
	if j == nil || j.ownership.Epoch != outcome.epoch {
		return
	}
	j.isCommitting = false
	if outcome.isLost {
		s.dropJob(j, "another daemon owns it")
		return
	}
	if outcome.isCommitted {
		j.verifiedAt = outcome.startedAt
		j.log = outcome.log
		j.pendingResults = j.pendingResults[min(len(outcome.results), len(j.pendingResults)):]
		j.pendingSince = s.loop.Now()
		for _, result := range outcome.results {
			if it := j.findItem(result.ID); it != nil {
				it.isListed = true
			}
		}
		next := *j.view.Load()
		next.verifiedAt = j.verifiedAt
		next.results = append(next.results[:len(next.results):len(next.results)], outcome.results...)
		j.view.Publish(&next)
		s.log.WithFields(logrus.Fields{"job": j.ID, "listed": len(next.results), "of": len(j.items)}).Info("Results written to the log.")
	}
	if outcome.ownership.revision > j.ownership.revision {
		j.ownership = outcome.ownership
	}
	if j.ownership.Ended {
		s.markEnded(j, j.ownership)
		return
	}
	s.commitResults(j)
}

const (
	// maxOwnershipAge is the maximum age of the last ownership check at which
	// an item or a reward call may start while the store is reachable. Nothing
	// may start later than three seconds after its job was ended.
	maxOwnershipAge = 2500 * time.Millisecond
	// ownershipRefreshAge is the age from which the ownership is checked again
	// in advance, so that starts need not wait for the check.
	ownershipRefreshAge = 1500 * time.Millisecond
)

// mayStartItems reports whether items of a job may start. It starts a new
// ownership check before the last one is too old.
func (s *service) mayStartItems(j *job) bool {
	age := boottime.Since(j.verifiedAt)
	if age > ownershipRefreshAge {
		s.checkOwnership(j)
	}
	_, isReached := s.store.ReachedSince()
	return !isReached || age < maxOwnershipAge
}

// ownershipCheck is the outcome of reading the ownership record of an owned
// job.
type ownershipCheck struct {
	id        string
	epoch     uint64
	ownership ownershipRecord
	startedAt time.Duration
	err       error
}

// checkOwnership reads from the store whether this daemon still owns a job.
func (s *service) checkOwnership(j *job) {
	if j.isCheckingOwnership {
		return
	}
	j.isCheckingOwnership = true
	id, epoch := j.ID, j.ownership.Epoch
	s.workers.Go(func(ctx context.Context) {
		check := ownershipCheck{id: id, epoch: epoch, startedAt: boottime.Now()}
		check.ownership, check.err = s.jobStore.readOwnership(ctx, id)
		postOutcome(ctx, s, s.ownershipChecks, check, id)
	})
}

func (s *service) handleOwnershipCheck(check ownershipCheck) {
	j := s.ownedJobs[check.id]
	if j == nil || j.ownership.Epoch != check.epoch {
		return
	}
	j.isCheckingOwnership = false
	switch {
	case check.err != nil:
	case check.ownership.Epoch != j.ownership.Epoch:
		s.dropJob(j, "another daemon owns it")
	case check.ownership.Ended:
		s.markEnded(j, check.ownership)
	default:
		j.verifiedAt = check.startedAt
		next := *j.view.Load()
		next.verifiedAt = check.startedAt
		j.view.Publish(&next)
		s.schedulePlacement()
	}
}
