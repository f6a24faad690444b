package session

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/outside"
)

// leadership is what this daemon has from its own writes of the leader's key. It
// does not depend on the watch, which may lag behind the loss of the key.
type leadership struct {
	// token is the revision at which this daemon created the key; zero while it
	// does not lead.
	token uint64
	// lease is the lease to which the key is attached, and revision the revision
	// of its last write.
	lease    outside.LeaseID
	revision outside.Revision
	// validUntil is the earliest possible expiry of that lease, as a time since
	// boot.
	validUntil time.Duration
}

// Leadership implements contract.Session.
func (s *service) Leadership() (uint64, bool) {
	held := s.leadership.Load()
	return held.token, held.token != 0 && boottime.Now() < held.validUntil
}

// isCandidate reports whether this daemon should try to become the leader: at
// once if it is the preferred candidate, which all daemons compute the same way, and
// after candidateDelay otherwise. A daemon that is stopping leaves it to others.
func (s *service) isCandidate() bool {
	if s.mayNotLead || s.loop.Now().Before(s.yieldsUntil) {
		return false
	}
	view := s.view.Load()
	live := maps.Clone(view.Live)
	if _, isLive := live[view.Self.Name]; isLive {
		// The record in the store may be older than the begin of a stop.
		live[view.Self.Name] = view.Self
	}
	candidates := membership.Candidates(live)
	if view.Self.IsStopping && !slices.Contains(candidates, view.Self.Name) {
		return false
	}
	if batch.RendezvousPick(candidateElection, candidates) == view.Self.Name {
		return true
	}
	return !s.leaderlessSince.IsZero() && s.loop.Now().Sub(s.leaderlessSince) > candidateDelay
}

// SetMayLead implements contract.Session.
func (s *service) SetMayLead(may bool) {
	s.mayNotLead = !may
	if !may {
		s.resign()
	}
}

// YieldLeadership implements contract.Session.
func (s *service) YieldLeadership(pause time.Duration) {
	s.yieldsUntil = s.loop.Now().Add(pause)
	s.resign()
}

// resignDelay is the time from a leader's last order until its key is deleted. Orders to
// servers are on the way no longer: they have a timeout of a second.
const resignDelay = time.Second

// resign ends the leadership of this daemon at once, and deletes the leader's key once its
// orders have arrived: one that is on the way must not follow an order of the next leader.
func (s *service) resign() {
	held := *s.leadership.Load()
	if held.token == 0 {
		return
	}
	s.leadership.Store(&leadership{})
	s.resignedToken, s.resignedAt = held.token, s.loop.Now()
	s.log.WithField("token", held.token).Info("Resigning as the leader.")
	s.loop.AfterFunc(resignDelay, func() {
		s.workers.Go(func(ctx context.Context) {
			if err := s.deleteLeader(ctx, held.revision); err != nil {
				s.log.WithError(err).Info("Could not resign as the leader; its key is found to be stray later.")
			}
		})
	})
}

// mayHaveOrders reports whether orders of an ended leadership may be on the way.
func (s *service) mayHaveOrders() bool {
	return s.resignedToken != 0 && s.loop.Now().Sub(s.resignedAt) < resignDelay
}

// writeLeader makes this daemon the leader if there is none. A conflict is not an
// error: the watch reports the leader.
func (s *service) writeLeader(ctx context.Context, request renewalRequest, result *renewalResult) error {
	value, err := json.Marshal(request.self)
	if err != nil {
		return errors.WithStack(err)
	}
	revision, err := s.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: leaderKey}},
		Writes:     []outside.Write{{Key: leaderKey, Value: value, Lease: result.lease}},
	})
	switch {
	case err == nil:
		result.led = leadership{token: uint64(revision), lease: result.lease, revision: revision}
	case errors.Is(err, outside.ErrConflict):
		err = nil
	}
	return err
}

// deleteStrayLeader deletes the leader's key unless it has changed.
func (s *service) deleteStrayLeader(ctx context.Context, revision outside.Revision) error {
	s.log.WithField("revision", revision).Info("Deleting a leader key whose lease is unknown.")
	return s.deleteLeader(ctx, revision)
}

// deleteLeader deletes the leader's key unless it has changed.
func (s *service) deleteLeader(ctx context.Context, revision outside.Revision) error {
	_, err := s.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: leaderKey, Revision: revision}}, Removals: []string{leaderKey},
	})
	if errors.Is(err, outside.ErrConflict) {
		return nil
	}
	return err
}
