package jobs

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a call to the
	// store is retried.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// resolutionTimeout bounds the background work that resolves an unknown
	// outcome. A write whose reply was lost may be applied seconds later.
	resolutionTimeout = 20 * time.Second
)

func newRetryBackoff() *backoff.ExponentialBackOff {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = minRetryDelay, maxRetryDelay
	retryBackoff.Reset()
	return retryBackoff
}

// Submit implements contract.Jobs.
func (s *service) Submit(ctx context.Context, job *batch.Job, source []byte) error {
	if len(source) > contract.MaxJobBytes {
		return result.New(result.BodyTooLarge, "a batch job of %d bytes", len(source))
	}
	accepted, isOutcomeUnknown := s.submitToModelOwner(ctx, job, source)
	if accepted {
		return nil
	}
	return s.accept(ctx, job, source, isOutcomeUnknown)
}

// accept accepts a job at this daemon. The caller sets isOutcomeUnknown if
// another daemon may have written the job already: the outcome is then unknown
// until the store confirms it.
func (s *service) accept(ctx context.Context, job *batch.Job, source []byte, isOutcomeUnknown bool) error {
	if !isOutcomeUnknown {
		if err := s.checkRoom(job); err != nil {
			return err
		}
	}
	ownership := batch.Ownership{Owner: s.session.View().Load().Self.Name, Epoch: 1, Submitted: time.Now().UnixMilli(), Workspace: job.Workspace}
	log := s.log.WithFields(logrus.Fields{"job": job.ID, "items": len(job.Items), "model": job.Model, "step": job.Step})
	retryBackoff := newRetryBackoff()
	var err error
	for ctx.Err() == nil {
		var created storedJob
		if created, err = s.jobStore.create(ctx, job, source, ownership); err == nil {
			log.Info("A batch job is accepted.")
			s.deliverAdoption(adoption{storedJob: created})
			return nil
		}
		if errors.Is(err, outside.ErrConflict) {
			return s.acceptExisting(ctx, job, ownership.Owner)
		}
		// The job may be accepted once a write with an unknown outcome was
		// sent.
		isOutcomeUnknown = isOutcomeUnknown || !isRefusal(err)
		select {
		case <-time.After(retryBackoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
	if isOutcomeUnknown {
		log.WithError(err).Warn("The outcome of a submission is unknown.")
		s.workers.Go(func(ctx context.Context) { s.resolveAcceptance(ctx, job, source, ownership) })
		return result.Wrap(result.OutcomeUnknown, err)
	}
	log.WithError(err).Warn("Could not store a batch job; submission refused.")
	return result.New(result.StoreUnavailable, "%v", err)
}

// isRefusal reports whether an error guarantees that a write was not and will
// not be applied.
func isRefusal(err error) bool {
	return errors.Is(err, outside.ErrRefused) || errors.Is(err, outside.ErrRateLimited) || errors.Is(err, outside.ErrTooLarge)
}

// acceptExisting answers a submission of a job that exists: the job was
// submitted before, or a reply of the store was lost. In the latter case this
// daemon owns the job.
func (s *service) acceptExisting(ctx context.Context, job *batch.Job, self string) error {
	id := job.ID
	if job.Workspace != "" {
		if err := s.checkResubmission(ctx, job); err != nil {
			return err
		}
	}
	ownership, err := s.jobStore.readOwnership(ctx, id)
	if err != nil {
		// The conflict has shown that the job exists, which is all the caller
		// needs.
		s.log.WithError(err).WithField("job", id).Info("Batch job exists, but its owner could not be read.")
		s.workers.Go(func(ctx context.Context) { s.adoptOwnJob(ctx, id, self) })
		return nil
	}
	s.log.WithFields(logrus.Fields{"job": id, "owner": ownership.Owner}).Info("Batch job exists already.")
	if ownership.Owner == self && !ownership.Ended {
		s.workers.Go(func(ctx context.Context) { s.adoptOwnJob(ctx, id, self) })
	}
	return nil
}

// resolveAcceptance resolves an acceptance with an unknown outcome. It makes
// this daemon run the job if it was or can be accepted, because the caller was
// not informed otherwise.
func (s *service) resolveAcceptance(ctx context.Context, job *batch.Job, source []byte, ownership batch.Ownership) {
	ctx, cancel := context.WithTimeout(ctx, resolutionTimeout)
	defer cancel()
	retryBackoff := newRetryBackoff()
	for ctx.Err() == nil {
		created, err := s.jobStore.create(ctx, job, source, ownership)
		if err == nil {
			s.log.WithField("job", job.ID).Info("Batch job accepted after an unknown outcome.")
			s.deliverAdoption(adoption{storedJob: created})
			return
		}
		if errors.Is(err, outside.ErrConflict) {
			s.adoptOwnJob(ctx, job.ID, ownership.Owner)
			return
		}
		select {
		case <-time.After(retryBackoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// adoptOwnJob adopts a job for which the store names this daemon as the owner.
func (s *service) adoptOwnJob(ctx context.Context, id, self string) {
	if s.isOwned(id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resolutionTimeout)
	defer cancel()
	retryBackoff := newRetryBackoff()
	for ctx.Err() == nil {
		stored, err := s.jobStore.readStoredJob(ctx, id)
		if err == nil {
			if stored.ownership.Owner == self {
				s.deliverAdoption(adoption{storedJob: stored})
			}
			return
		}
		if errors.Is(err, errNotFound) {
			return
		}
		s.log.WithError(err).WithField("job", id).Warn("Could not read an owned batch job; retrying.")
		select {
		case <-time.After(retryBackoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
}
