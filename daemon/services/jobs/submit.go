package jobs

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// firstPause and longestPause bound the pause before a write to the store
	// is made again.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// settleWithin is how long an acceptance with an unknown outcome is
	// followed up: a lost write may be done seconds later.
	settleWithin = 20 * time.Second
)

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	pause.Reset()
	return pause
}

// Submit implements contract.Jobs.
func (s *service) Submit(ctx context.Context, job *batch.Job, source []byte) error {
	if len(source) > maxSource {
		return result.New(result.BodyTooLarge, "a batch job of %d bytes", len(source))
	}
	accepted, unknown := s.submitAtHome(ctx, job, source)
	if accepted {
		return nil
	}
	return s.accept(ctx, job, source, unknown)
}

// accept accepts a job at this daemon. Unknown is set when another one may have
// written the job already: then the outcome is not known until the store says so.
func (s *service) accept(ctx context.Context, job *batch.Job, source []byte, unknown bool) error {
	own := batch.Ownership{Owner: s.session.View().Load().Self.Name, Epoch: 1, Submitted: time.Now().UnixMilli()}
	log := s.log.WithFields(logrus.Fields{"job": job.ID, "items": len(job.Items), "model": job.Model, "step": job.Step})
	pause := newPause()
	var err error
	for ctx.Err() == nil {
		var made kept
		if made, err = s.keeper.create(ctx, job, source, own); err == nil {
			log.Info("A batch job is accepted.")
			return s.adoptions.Post(adoption{kept: made})
		}
		if errors.Is(err, outside.ErrConflict) {
			return s.known(ctx, job.ID, own.Owner)
		}
		// Once a write has left whose outcome is not known, the job may be accepted.
		unknown = unknown || !isRefusal(err)
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
	if unknown {
		log.WithError(err).Warn("It is not known whether the batch job is accepted.")
		s.workers.Go(func(ctx context.Context) { s.settle(ctx, job, source, own) })
		return result.Wrap(result.OutcomeUnknown, err)
	}
	log.WithError(err).Warn("A batch job is refused: the store does not take it.")
	return result.New(result.StoreUnavailable, "%v", err)
}

// isRefusal reports whether an error means that a write was not and will not be
// applied.
func isRefusal(err error) bool {
	return errors.Is(err, outside.ErrRefused) || errors.Is(err, outside.ErrRateLimited) || errors.Is(err, outside.ErrTooLarge)
}

// known answers for a job that is there already: it was submitted again, or an
// answer of the store was lost. In the latter case it is this daemon's own.
func (s *service) known(ctx context.Context, id, self string) error {
	own, err := s.keeper.owner(ctx, id)
	if err != nil {
		// It was there a moment ago, which is all that the caller asks.
		s.log.WithError(err).WithField("job", id).Info("A batch job is known; its owner could not be read.")
		s.workers.Go(func(ctx context.Context) { s.reclaim(ctx, id, self) })
		return nil
	}
	s.log.WithFields(logrus.Fields{"job": id, "owner": own.Owner}).Info("A batch job is known already.")
	if own.Owner == self && !own.Ended {
		s.workers.Go(func(ctx context.Context) { s.reclaim(ctx, id, self) })
	}
	return nil
}

// settle follows up an acceptance with an unknown outcome: it makes the job
// this daemon's own if it is or can be accepted, because the caller was told
// nothing that rules it out.
func (s *service) settle(ctx context.Context, job *batch.Job, source []byte, own batch.Ownership) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	pause := newPause()
	for ctx.Err() == nil {
		made, err := s.keeper.create(ctx, job, source, own)
		if err == nil {
			s.log.WithField("job", job.ID).Info("A batch job is accepted after all.")
			if err := s.adoptions.Post(adoption{kept: made}); err != nil {
				s.log.WithError(err).WithField("job", job.ID).Error("A batch job waits for another owner.")
			}
			return
		}
		if errors.Is(err, outside.ErrConflict) {
			s.reclaim(ctx, job.ID, own.Owner)
			return
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// reclaim adopts a job of which the store says that this daemon owns it.
func (s *service) reclaim(ctx context.Context, id, self string) {
	if _, owned := s.views.Load(id); owned {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	pause := newPause()
	for ctx.Err() == nil {
		all, err := s.keeper.whole(ctx, id)
		if err == nil {
			if all.own.Owner == self {
				err = s.adoptions.Post(adoption{kept: all})
			}
			if err == nil {
				return
			}
		}
		if errors.Is(err, errGone) {
			return
		}
		s.log.WithError(err).WithField("job", id).Warn("An owned batch job cannot be read yet.")
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}
