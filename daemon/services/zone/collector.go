package zone

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// collectorState is the state of a daemon that is the collector. It belongs to
// the control goroutine.
type collectorState struct {
	protocol       *zone.Collector
	storeLease     outside.LeaseID
	rosterRevision outside.Revision
	heldRequests   []*heldRequest
	// encodedDeltas caches the encoded settings deltas since the last change
	// of the grant state, by the revision that they start from.
	encodedDeltas    map[settings.Revision][]byte
	pendingMembers   zone.Roster
	grantExpiryTimer *kernel.Timer
	// startedAt is when this daemon began to collect in the term.
	startedAt zone.Instant
}

// acquiredRole is the outcome of a successful acquireRole.
type acquiredRole struct {
	storeLease outside.LeaseID
	record     collectorRecord
	// storeLeaseEnd is when the lease expires, counted from before it was
	// requested.
	storeLeaseEnd  zone.Instant
	roster         zone.Roster
	rosterRevision outside.Revision
}

// acquireRole makes this daemon the collector in the store. It runs on a
// worker. It rewrites the roster under the new term, so that a delayed write
// of a former collector fails.
func (s *service) acquireRole(ctx context.Context, store outside.Store) (*acquiredRole, error) {
	requestedAt := s.now()
	lease, err := store.Grant(ctx, s.storeLeaseTTL)
	if err != nil {
		return nil, err
	}
	role := &acquiredRole{storeLease: lease, storeLeaseEnd: requestedAt + s.storeLeaseTTL}
	role.record = collectorRecord{Host: s.self.Host, Start: s.self.Start, Address: s.config.Listen.Peers}
	value, err := json.Marshal(role.record)
	if err != nil {
		return nil, err
	}
	revision, err := store.CompareAndSwap(ctx, s.collectorKey(), 0, value, lease)
	if err != nil {
		// If the reply was lost the entry may exist; it expires with its
		// lease.
		return nil, err
	}
	role.record.term = structs.Term(revision)
	return role, s.claimRoster(ctx, store, role)
}

func (s *service) claimRoster(ctx context.Context, store outside.Store, role *acquiredRole) error {
	entry, err := store.Get(ctx, s.rosterKey())
	if err != nil && !errors.Is(err, outside.ErrNotFound) {
		return err
	}
	var stored rosterRecord
	if err == nil {
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			return err
		}
	}
	role.roster = stored.Roster
	role.rosterRevision, err = compareAndSwapRoster(ctx, store, s.rosterKey(), entry.Revision, rosterRecord{Term: role.record.term, Roster: stored.Roster})
	return err
}

// startCollecting starts the collector on the control goroutine.
func (s *service) startCollecting(role *acquiredRole) {
	if role.record.term <= s.follower.Term() {
		// This daemon already follows a collector of the same or a later term.
		s.loop.AfterFunc(jitter(retryDelay), s.findCollector)
		return
	}
	s.knownCollector = role.record
	s.collector = &collectorState{
		protocol:       zone.NewCollector(s.self, role.record.term, s.grantDuration, role.roster),
		storeLease:     role.storeLease,
		encodedDeltas:  make(map[settings.Revision][]byte),
		rosterRevision: role.rosterRevision,
		startedAt:      s.now(),
	}
	s.collector.protocol.SetStoreLease(role.storeLeaseEnd)
	s.log.Infof("Collecting for %s in term %d.", s.config.Place.Zone, role.record.term)
	s.settings.StartLeading(role.record.term)
	s.publishView()
	s.notifyCollectorChange(true)
	s.loop.AfterFunc(s.storeLeaseTTL/keepAlivesPerTTL, func() { s.keepStoreLeaseAlive(role.record.term) })
	s.runCollector()
}

// stepDown ends the collector role of this daemon. The followers then look for
// the next collector.
func (s *service) stepDown() {
	if s.collector == nil {
		return
	}
	heldRequests := s.collector.heldRequests
	s.loop.CancelTimer(s.collector.grantExpiryTimer)
	s.collector = nil
	s.settings.StopLeading()
	s.log.Info("Stepped down as collector.")
	s.publishView()
	s.notifyCollectorChange(false)
	for _, held := range heldRequests {
		s.loop.CancelTimer(held.timer)
		held.request.reply <- AskReply{}
	}
	s.loop.AfterFunc(jitter(retryDelay), s.findCollector)
}

// leaseRenewal is the outcome of a keep-alive of the collector's lease in the
// store.
type leaseRenewal struct {
	term          structs.Term
	storeLeaseEnd zone.Instant
}

func (s *service) keepStoreLeaseAlive(term structs.Term) {
	if s.collector == nil || s.collector.protocol.Term() != term {
		return
	}
	store, lease, requestedAt := s.clients.Platform().Store, s.collector.storeLease, s.now()
	kernel.RunAsync(s.workers, 0, s.leaseRenewals, func(ctx context.Context) (leaseRenewal, error) {
		return leaseRenewal{term: term, storeLeaseEnd: requestedAt + s.storeLeaseTTL}, store.KeepAlive(ctx, lease)
	})
}

func (s *service) onLeaseRenewal(reply kernel.AsyncResult[leaseRenewal]) {
	if s.collector == nil || s.collector.protocol.Term() != reply.Value.term {
		return
	}
	if errors.Is(reply.Err, outside.ErrLeaseLost) {
		s.log.Warn("The collector's lease in the store expired.")
		s.stepDown()
		return
	}
	if reply.Err == nil {
		s.collector.protocol.SetStoreLease(reply.Value.storeLeaseEnd)
		s.advanceRoundAndRoster()
	}
	s.loop.AfterFunc(s.storeLeaseTTL/keepAlivesPerTTL, func() { s.keepStoreLeaseAlive(reply.Value.term) })
}

// runCollector updates the grant state, renews the collector's own grant and
// advances round and roster. It repeats every holdSixths sixths of T, because
// the collector is also its own follower.
func (s *service) runCollector() {
	if s.collector == nil {
		return
	}
	term := s.collector.protocol.Term()
	s.updateGrantState()
	s.renewOwnGrant()
	if !s.collector.protocol.Roster().Has(s.self) {
		s.addPendingMember(s.self)
	}
	s.advanceRoundAndRoster()
	s.loop.AfterFunc(s.grantSixths(holdSixths), func() {
		if s.collector != nil && s.collector.protocol.Term() == term {
			s.runCollector()
		}
	})
}

// renewOwnGrant sends two requests to the collector's own follower protocol:
// the first fetches the newest round and revision, the second reports that the
// round is staged here.
func (s *service) renewOwnGrant() {
	requestedAt := s.now()
	s.applyLeaseReply(requestedAt, s.collector.protocol.HandleRequest(requestedAt, s.follower.NewRequest()))
	s.applyLeaseReply(requestedAt, s.collector.protocol.HandleRequest(requestedAt, s.follower.NewRequest()))
}

// updateGrantState passes the newest settings state to the zone protocol, or
// suspends grants while that state is not sufficient.
func (s *service) updateGrantState() {
	if state, ok := s.settings.GrantState(); ok {
		s.collector.protocol.SetGrantState(state)
	} else {
		s.collector.protocol.SuspendGrants()
	}
}

// onGrantStateChange runs after each change of the settings' grant state.
func (s *service) onGrantStateChange() {
	if s.collector == nil {
		return
	}
	clear(s.collector.encodedDeltas)
	s.updateGrantState()
	s.renewOwnGrant()
	s.replyToAllHeld()
	s.advanceRoundAndRoster()
}

// advanceRoundAndRoster acknowledges the undecided round and updates the
// roster where the zone protocol allows it.
func (s *service) advanceRoundAndRoster() {
	cs := s.collector
	if cs == nil {
		return
	}
	if state, ok := s.settings.GrantState(); ok && state.Undecided {
		s.tryAcknowledge(state.Round)
	}
	s.updateRoster()
}

func (s *service) tryAcknowledge(round change.Round) {
	cs, now := s.collector, s.now()
	if cs.protocol.MayAcknowledge(now, round) {
		s.settings.Acknowledge(round)
		return
	}
	s.loop.CancelTimer(cs.grantExpiryTimer)
	cs.grantExpiryTimer = nil
	if grantEnd := cs.protocol.LastBlockingGrantEnd(now, round); grantEnd > now {
		cs.grantExpiryTimer = s.loop.AfterFunc(grantEnd-now+time.Millisecond, func() { s.advanceRoundAndRoster() })
	}
}
