package session

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// renewalRequest describes the work of one renewal.
type renewalRequest struct {
	lease outside.LeaseID
	self  membership.Member
	// ttl is the TTL of the lease, and needsNewLease requests a new lease instead
	// of a renewal of the present one.
	ttl           time.Duration
	needsNewLease bool
	// writesMember is set when the daemon's key must be written, and
	// writesLeader when the daemon is to try to become the leader.
	writesMember bool
	writesLeader bool
	// strayLeader is the revision of a leader's key that names this daemon although
	// it does not lead, since the reply to its write was lost; zero if there is
	// none. The key is deleted, so that the next leader gets a known token.
	strayLeader outside.Revision
	// led is the leadership before the renewal. With a new lease the leader's key
	// is attached to that one.
	led leadership
	// earlierKeys are the member keys of earlier runs of the daemon on this
	// host.
	earlierKeys []string
}

// renewalResult is the result of a successful renewal.
type renewalResult struct {
	lease      outside.LeaseID
	ttl        time.Duration
	validUntil time.Duration
	// led is the leadership after the renewal.
	led leadership
}

// scheduleRenewal replaces the timer of the next renewal.
func (s *service) scheduleRenewal(delay time.Duration) {
	s.loop.CancelTimer(s.timer)
	s.timer = s.loop.AfterFunc(delay, s.startRenewal)
}

// startRenewal starts a renewal on a worker: it renews the lease or requests a
// new one, and writes missing keys.
func (s *service) startRenewal() {
	if s.isRenewing || s.isStopping {
		return
	}
	s.isRenewing = true
	self := s.view.Load().Self
	request := renewalRequest{lease: s.lease, self: self, ttl: s.leaseTTL, led: *s.leadership.Load()}
	mayLengthen := s.loop.Now().Sub(s.longerSince) > longerLeaseDelay
	if s.lease == 0 || s.wantedTTL < s.leaseTTL || s.wantedTTL > s.leaseTTL && mayLengthen {
		request.needsNewLease, request.ttl = true, s.wantedTTL
	}
	request.writesMember = request.needsNewLease || !s.hasOwnKey(self)
	request.writesLeader = s.lease != 0 && !request.writesMember && s.lacksKey(leaderKey) && s.isCandidate()
	if key, ok := s.records[leaderKey]; ok && s.view.Load().Leader == self.Name && request.led.token == 0 && !s.mayHaveOrders() {
		request.strayLeader = key.Revision
	}
	for key := range s.records {
		if name, ok := strings.CutPrefix(key, memberPrefix); ok && s.IsSuccessorOf(name) {
			request.earlierKeys = append(request.earlierKeys, key)
		}
	}
	kernel.RunAsync(s.workers, 0, s.renewals, func(ctx context.Context) (renewalResult, error) { return s.renewLease(ctx, request) })
}

func (s *service) lacksKey(key string) bool {
	_, ok := s.records[key]
	return !ok
}

func (s *service) renewLease(ctx context.Context, request renewalRequest) (renewalResult, error) {
	requestedAt := boottime.Now()
	result := renewalResult{lease: request.lease, ttl: request.ttl}
	var err error
	effectiveTTL := request.ttl
	if request.needsNewLease {
		result.lease, effectiveTTL, err = s.store.Grant(ctx, request.ttl)
	} else {
		err = s.store.KeepAlive(ctx, request.lease)
	}
	if err != nil {
		return renewalResult{}, err
	}
	result.validUntil, result.led = requestedAt+effectiveTTL, request.led
	switch {
	case request.writesMember:
		err = s.writeMember(ctx, request, &result)
	case request.writesLeader:
		err = s.writeLeader(ctx, request, &result)
	case request.strayLeader != 0:
		err = s.deleteStrayLeader(ctx, request.strayLeader)
	}
	if result.led.lease != result.lease {
		result.led = leadership{}
	}
	result.led.validUntil = result.validUntil
	return result, err
}

// writeMember writes the daemon's own key, which no other daemon writes. The keys
// of earlier runs on this host are deleted, as they would otherwise remain until
// their leases expire. The leader's key moves to the same lease, which keeps its
// fencing token; if it has changed, the daemon leads no longer.
func (s *service) writeMember(ctx context.Context, request renewalRequest, result *renewalResult) error {
	value, err := json.Marshal(request.self)
	if err != nil {
		return errors.WithStack(err)
	}
	transaction := outside.Transaction{
		Writes:   []outside.Write{{Key: memberPrefix + request.self.Name, Value: value, Lease: result.lease}},
		Removals: request.earlierKeys,
	}
	if request.led.token != 0 {
		moving := transaction
		moving.Conditions = []outside.Condition{{Key: leaderKey, Revision: request.led.revision}}
		moving.Writes = append(slices.Clone(moving.Writes), outside.Write{Key: leaderKey, Value: value, Lease: result.lease})
		revision, err := s.store.Commit(ctx, moving)
		if err == nil {
			result.led.lease, result.led.revision = result.lease, revision
		}
		if !errors.Is(err, outside.ErrConflict) {
			return err
		}
		result.led = leadership{}
	}
	_, err = s.store.Commit(ctx, transaction)
	return err
}

// handleRenewal applies the result of a renewal on the control goroutine.
func (s *service) handleRenewal(reply kernel.AsyncResult[renewalResult]) {
	s.isRenewing = false
	if renewed := reply.Value; renewed.lease != 0 {
		if s.lease != renewed.lease {
			s.log.WithField("lease", renewed.lease).WithField("urgent", renewed.ttl == shortLeaseTTL).WithField("ttl", renewed.ttl.String()).Info("Session lease granted.")
		}
		s.lease, s.leaseTTL = renewed.lease, renewed.ttl
		led := renewed.led
		if led.token == s.resignedToken {
			led = leadership{}
		}
		s.leadership.Store(&led)
		s.leaseValidUntil.Store(int64(renewed.validUntil))
	}
	self := s.view.Load().Self
	delay := min(s.leaseTTL, s.wantedTTL) / renewalsPerTTL
	switch {
	case errors.Is(reply.Err, outside.ErrLeaseLost):
		s.log.WithField("lease", s.lease).Warn("Session lease lost.")
		s.lease, delay = 0, 0
		s.leaseValidUntil.Store(0)
		s.leadership.Store(&leadership{})
	case reply.Err != nil && (s.lease == 0 || s.leaseTTL == shortLeaseTTL):
		delay = renewalRetryDelay
	case reply.Err != nil:
		delay = idleRetryDelay/2 + rand.N(idleRetryDelay/2)
	case self.IsStopping && !s.hasOwnKey(self):
		// The renewal began before the stop.
		delay = min(delay, renewalRetryDelay)
	case s.lacksKey(leaderKey):
		delay = min(delay, candidateDelay)
	}
	s.scheduleRenewal(delay)
	s.publishView()
}
