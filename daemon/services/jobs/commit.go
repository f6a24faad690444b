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

const (
	// commitWait is how long a finished result waits for others before it is
	// listed: each write to the store is charged.
	commitWait = 700 * time.Millisecond
	// commitMargin is the time before the results are due from which none
	// waits any longer.
	commitMargin = time.Second
)

// finish records the result of an item.
func (s *service) finish(j *job, it *item, result batch.Result) {
	it.phase = phaseFinished
	if len(j.pending) == 0 {
		j.pendingSince = s.loop.Now()
	}
	j.pending = append(j.pending, result)
	s.commit(j)
}

// commit lists what is pending once the trainer has the groups that it waits
// for, the results are nearly due, or the oldest one has waited long enough.
func (s *service) commit(j *job) {
	if j.committing || len(j.pending) == 0 || j.own.Ended {
		return
	}
	now := s.loop.Now()
	wait := min(commitWait-now.Sub(j.pendingSince), j.due().Add(-commitMargin).Sub(now))
	if wait > 0 && j.open() && !j.isEnough() {
		s.loop.AfterFunc(wait, func() { s.commit(j) })
		return
	}
	results := firstChunk(j.pending)
	j.committing = true
	id, own, log := j.ID, j.own, j.log
	s.workers.Go(func(ctx context.Context) {
		ended := s.write(ctx, id, own, log, results)
		if err := s.committed.Post(ended); err != nil {
			s.log.WithError(err).WithField("job", id).Error("The outcome of a write is lost.")
		}
	})
}

// isEnough reports whether the trainer has as many whole groups as it waits for
// once the pending results are listed.
func (j *job) isEnough() bool {
	open := make(map[string]bool)
	groups := make(map[string]bool)
	for _, it := range j.items {
		groups[it.Group] = true
		if it.phase != phaseFinished {
			open[it.Group] = true
		}
	}
	return len(groups)-len(open) >= j.WantedGroups
}

func (j *job) find(id batch.ItemID) *item {
	for _, it := range j.items {
		if it.ID == id {
			return it
		}
	}
	return nil
}

// firstChunk returns as many results as one value of the store holds.
func firstChunk(pending []batch.Result) []batch.Result {
	size := 0
	for i, result := range pending {
		size += len(result.Output) + len(result.Score) + 200
		if size > maxChunk && i > 0 {
			return pending[:i:i]
		}
	}
	return pending[:len(pending):len(pending)]
}

// commitEnded is the outcome of a write to a job's log.
type commitEnded struct {
	id      string
	epoch   uint64
	own     ownRecord
	log     logRecord
	results []batch.Result
	// written says that the results are in the log; lost, that another daemon
	// owns the job.
	written bool
	lost    bool
	// begun is when the last call to the store was made.
	begun time.Duration
}

// write adds results to a job's log until it is certain what became of them.
func (s *service) write(ctx context.Context, id string, own ownRecord, log logRecord, results []batch.Result) commitEnded {
	ended := commitEnded{id: id, epoch: own.Epoch, own: own, log: log, results: results}
	pause := newPause()
	for ctx.Err() == nil {
		ended.begun = boottime.Now()
		next, err := s.keeper.add(ctx, id, ended.own, log, results)
		if err == nil {
			ended.log, ended.written = next, true
			return ended
		}
		if errors.Is(err, outside.ErrConflict) && s.conflict(ctx, &ended, log) {
			return ended
		}
		if ended.own.Ended {
			return ended
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return ended
}

// conflict finds out why a write was refused, and reports whether the matter is
// settled. A write whose answer was lost refuses its own repetition.
func (s *service) conflict(ctx context.Context, ended *commitEnded, before logRecord) bool {
	own, err := s.keeper.owner(ctx, ended.id)
	if err != nil {
		return false
	}
	current, err := s.keeper.logOf(ctx, ended.id)
	if err != nil {
		return false
	}
	if own.Epoch != ended.epoch {
		ended.lost = true
		return true
	}
	ended.own = own
	if current.revision != before.revision {
		// Only this owner writes under this epoch, one write at a time.
		ended.log, ended.written = current, true
		return true
	}
	return own.Ended
}

// commitCame takes in the outcome of a write on the control goroutine.
func (s *service) commitCame(ended commitEnded) {
	j := s.owned[ended.id]
	if j == nil || j.own.Epoch != ended.epoch {
		return
	}
	j.committing = false
	if ended.lost {
		s.drop(j, "another daemon owns it")
		return
	}
	if ended.written {
		j.verified = ended.begun
		j.log = ended.log
		j.pending = j.pending[min(len(ended.results), len(j.pending)):]
		j.pendingSince = s.loop.Now()
		for _, result := range ended.results {
			if it := j.find(result.ID); it != nil {
				it.listed = true
			}
		}
		next := *j.view.Load()
		next.verified = j.verified
		next.results = append(next.results[:len(next.results):len(next.results)], ended.results...)
		j.view.Publish(&next)
		s.log.WithFields(logrus.Fields{"job": j.ID, "listed": len(next.results), "of": len(j.items)}).Info("Results are listed.")
	}
	if ended.own.revision > j.own.revision {
		j.own = ended.own
	}
	if j.own.Ended {
		s.ended(j, j.own)
		return
	}
	s.commit(j)
}

const (
	// startWithin is how old the last word of the store may be for an item or a
	// reward call to be started, while the store is reached: nothing may start
	// three seconds after the end of its job.
	startWithin = 2500 * time.Millisecond
	// verifyAfter is the age of that word from which the store is asked again, so
	// that what starts need not wait for the answer.
	verifyAfter = 1500 * time.Millisecond
)

// mayStart reports whether items of a job may be started. It asks the store for a
// newer word in time.
func (s *service) mayStart(j *job) bool {
	age := boottime.Since(j.verified)
	if age > verifyAfter {
		s.verify(j)
	}
	_, isReached := s.ledger.ReachedSince()
	return !isReached || age < startWithin
}

// verdict is what the store says of an owned job.
type verdict struct {
	id    string
	epoch uint64
	own   ownRecord
	begun time.Duration
	err   error
}

// verify asks the store whether a job is still owned here.
func (s *service) verify(j *job) {
	if j.verifying {
		return
	}
	j.verifying = true
	id, epoch := j.ID, j.own.Epoch
	s.workers.Go(func(ctx context.Context) {
		came := verdict{id: id, epoch: epoch, begun: boottime.Now()}
		came.own, came.err = s.keeper.owner(ctx, id)
		if err := s.verdicts.Post(came); err != nil {
			s.log.WithError(err).WithField("job", id).Error("A word of the store is lost.")
		}
	})
}

func (s *service) verdictCame(came verdict) {
	j := s.owned[came.id]
	if j == nil || j.own.Epoch != came.epoch {
		return
	}
	j.verifying = false
	switch {
	case came.err != nil:
	case came.own.Epoch != j.own.Epoch:
		s.drop(j, "another daemon owns it")
	case came.own.Ended:
		s.ended(j, came.own)
	default:
		j.verified = came.begun
		next := *j.view.Load()
		next.verified = came.begun
		j.view.Publish(&next)
		s.wake()
	}
}
