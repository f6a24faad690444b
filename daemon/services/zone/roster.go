package zone

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// rosterRecord is the roster as stored under the roster key.
type rosterRecord struct {
	// Term is the fencing token of the collector that wrote the record.
	Term   structs.Term `json:"term"`
	Roster zone.Roster  `json:"roster"`
}

func compareAndSwapRoster(ctx context.Context, store outside.Store, key string, expected outside.Revision, roster rosterRecord) (outside.Revision, error) {
	value, err := json.Marshal(roster)
	if err != nil {
		return 0, err
	}
	return store.CompareAndSwap(ctx, key, expected, value, 0)
}

// addPendingMember queues a member for the next roster update.
func (s *service) addPendingMember(member structs.Incarnation) {
	if !s.collector.pendingMembers.Has(member) {
		s.collector.pendingMembers = append(s.collector.pendingMembers, member)
	}
}

// rosterWrite is the outcome of a roster write.
type rosterWrite struct {
	term     structs.Term
	roster   zone.Roster
	revision outside.Revision
	// superseded is set when another collector wrote the roster.
	superseded bool
}

// updateRoster writes the roster with the pending members added and the
// unresponsive members removed.
func (s *service) updateRoster() {
	cs, now := s.collector, s.now()
	next := cs.protocol.Roster()
	for _, member := range cs.pendingMembers {
		if !next.Has(member) {
			next = next.With(member)
		}
	}
	for _, member := range cs.protocol.UnresponsiveMembers(now, unresponsiveGrants*s.grantDuration) {
		if now > cs.startedAt+unresponsiveGrants*s.grantDuration {
			next = next.Without(member)
		}
	}
	if slices.Equal(next, cs.protocol.Roster()) {
		cs.pendingMembers = nil
		return
	}
	if !cs.protocol.ProposeRoster(now, next) {
		return
	}
	cs.pendingMembers = nil
	s.writeRoster(next)
}

func (s *service) writeRoster(next zone.Roster) {
	cs, store, key := s.collector, s.clients.Platform().Store, s.rosterKey()
	term, expected := cs.protocol.Term(), cs.rosterRevision
	kernel.RunAsync(s.workers, 0, s.rosterWrites, func(ctx context.Context) (rosterWrite, error) {
		revision, err := compareAndSwapRoster(ctx, store, key, expected, rosterRecord{Term: term, Roster: next})
		return rosterWrite{term: term, roster: next, revision: revision}, err
	})
}

func (s *service) onRosterWrite(reply kernel.AsyncResult[rosterWrite]) {
	cs, write := s.collector, reply.Value
	if cs == nil || cs.protocol.Term() != write.term {
		return
	}
	switch {
	case reply.Err == nil && write.superseded:
		s.log.Warn("Another collector wrote the roster.")
		s.stepDown()
	case reply.Err == nil:
		s.adoptRoster(write)
	case errors.Is(reply.Err, outside.ErrConflict):
		s.resolveRosterConflict(write)
	default:
		s.log.WithError(reply.Err).Debug("Outcome of the roster write is unknown; retrying.")
		s.loop.AfterFunc(jitter(retryDelay), func() {
			if s.collector == cs {
				s.writeRoster(write.roster)
			}
		})
	}
}

func (s *service) adoptRoster(write rosterWrite) {
	s.collector.rosterRevision = write.revision
	s.collector.protocol.ResolveRoster(s.now(), write.roster)
	s.publishView()
	s.replyToAllHeld()
	s.advanceRoundAndRoster()
}

// resolveRosterConflict reads the roster after a write that failed with a
// conflict, to find out whether an earlier attempt of the same write or
// another collector changed it. After the conflict, no earlier attempt can
// take effect any more.
//
// Without a conflict, a read does not show whether a write with a lost reply
// took effect, because it could still do so after the read. Such a write is
// therefore repeated first.
func (s *service) resolveRosterConflict(write rosterWrite) {
	store, key := s.clients.Platform().Store, s.rosterKey()
	kernel.RunAsync(s.workers, 0, s.rosterWrites, func(ctx context.Context) (rosterWrite, error) {
		entry, err := store.Get(ctx, key)
		if err != nil {
			return write, err
		}
		var stored rosterRecord
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			return write, err
		}
		return rosterWrite{
			term:       write.term,
			roster:     stored.Roster,
			revision:   entry.Revision,
			superseded: stored.Term != write.term,
		}, nil
	})
}
