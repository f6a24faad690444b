package jobs

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/kernel"
)

// reconcileDelay is how long a daemon waits before it adopts a job that it learns
// to own from others. The call that hands the job over may still arrive, and brings
// the texts of unfinished items.
const reconcileDelay = time.Second

// reconcileOwnership adopts a job that the store assigns to this daemon if it does
// not run it: the daemon that handed the job over may have lost the reply of the
// store, or its call to this one. No other daemon takes the job over, because its
// owner is alive.
func (s *service) reconcileOwnership(id string) {
	if s.isQuiesced.Load() || s.isOwned(id) {
		return
	}
	if _, isPending := s.reconciling.LoadOrStore(id, true); isPending {
		return
	}
	s.workers.Go(func(ctx context.Context) {
		defer s.reconciling.Delete(id)
		select {
		case <-time.After(reconcileDelay):
		case <-ctx.Done():
			return
		}
		if s.isOwned(id) {
			return
		}
		ownership, err := s.jobStore.readOwnership(ctx, id)
		log := s.log.WithField("job", id)
		self := s.session.View().Load().Self.Name
		switch {
		case err != nil:
			log.WithError(err).Info("Could not read the owner of a batch job that this daemon may own.")
		case ownership.Owner == self && !ownership.Ended:
			log.Info("The store assigns a batch job to this daemon, which does not run it; adopting.")
			s.adoptFromStore(ctx, id, self, nil)
		}
	})
}

// isOwned reports whether this daemon runs a job. It may be called from any
// goroutine.
func (s *service) isOwned(id string) bool {
	_, isOwned := s.jobViews.Load(id)
	return isOwned
}

// remindOwner notifies the live owner of an open job that the store names it.
func (s *service) remindOwner(ctx context.Context, id string, ownership ownershipRecord) {
	address := s.addressOf(ownership.Owner)
	if address == "" {
		return
	}
	var reply struct{}
	if err := s.callPeer(ctx, address, "Owned", newOwnedRPC(id, ownership), &reply, 0); err != nil {
		s.log.WithError(err).WithField("job", id).Info("Could not remind the owner of a batch job.")
	}
}

// deliverAdoption posts a job that the store assigns to this daemon to the control
// loop and waits for room there: the job is accepted, so the adoption must not fail.
func (s *service) deliverAdoption(a adoption) {
	s.workers.Go(func(ctx context.Context) { postOutcome(ctx, s, s.adoptions, a, a.job.ID) })
}

// postOutcome posts the outcome of a call on a worker. A job whose outcome is missing
// would wait for that call until it is dropped.
func postOutcome[T any](ctx context.Context, s *service, outcomes *kernel.Mailbox[T], outcome T, job string) {
	if err := outcomes.PostWait(ctx, outcome); err != nil {
		s.log.WithError(err).WithField("job", job).Info("Dropped the outcome of a call: the daemon stops.")
	}
}
