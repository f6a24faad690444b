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

// rosterRecord is the roster as it is kept in the store.
type rosterRecord struct {
	// Term is the fencing number of the collector that wrote it.
	Term   structs.Term `json:"term"`
	Roster zone.Roster  `json:"roster"`
}

func writeRoster(ctx context.Context, store outside.Store, key string, expected outside.Revision, roster rosterRecord) (outside.Revision, error) {
	value, err := json.Marshal(roster)
	if err != nil {
		return 0, err
	}
	return store.CompareAndSwap(ctx, key, expected, value, 0)
}

// join asks for a place on the roster for a member.
func (s *service) join(member structs.Incarnation) {
	if !s.collects.joining.Has(member) {
		s.collects.joining = append(s.collects.joining, member)
	}
}

// rosterWrite is the outcome of a change of the roster.
type rosterWrite struct {
	term     structs.Term
	roster   zone.Roster
	revision outside.Revision
	// superseded says that the roster is another collector's.
	superseded bool
}

// tryRoster writes the roster with those who join and without the silent.
func (s *service) tryRoster() {
	cs, now := s.collects, s.now()
	next := cs.decide.Roster()
	for _, member := range cs.joining {
		if !next.Has(member) {
			next = next.With(member)
		}
	}
	for _, member := range cs.decide.UnresponsiveMembers(now, silentSpans*s.span) {
		if now > cs.began+silentSpans*s.span {
			next = next.Without(member)
		}
	}
	if slices.Equal(next, cs.decide.Roster()) {
		cs.joining = nil
		return
	}
	if !cs.decide.ProposeRoster(now, next) {
		return
	}
	cs.joining = nil
	s.writeRoster(next)
}

func (s *service) writeRoster(next zone.Roster) {
	cs, store, key := s.collects, s.clients.Platform().Store, s.rosterKey()
	term, expected := cs.decide.Term(), cs.rosterAt
	kernel.RunAsync(s.workers, 0, s.rostered, func(ctx context.Context) (rosterWrite, error) {
		revision, err := writeRoster(ctx, store, key, expected, rosterRecord{Term: term, Roster: next})
		return rosterWrite{term: term, roster: next, revision: revision}, err
	})
}

func (s *service) onRostered(reply kernel.AsyncResult[rosterWrite]) {
	cs, write := s.collects, reply.Value
	if cs == nil || cs.decide.Term() != write.term {
		return
	}
	switch {
	case reply.Err == nil && write.superseded:
		s.log.Warn("Another collector has changed the roster.")
		s.stepDown()
	case reply.Err == nil:
		s.adoptRoster(write)
	case errors.Is(reply.Err, outside.ErrConflict):
		s.readRosterBack(write)
	default:
		s.log.WithError(reply.Err).Debug("Whether the roster was written is not known.")
		s.loop.AfterFunc(jitter(retryDelay), func() {
			if s.collects == cs {
				s.writeRoster(write.roster)
			}
		})
	}
}

func (s *service) adoptRoster(write rosterWrite) {
	s.collects.rosterAt = write.revision
	s.collects.decide.ResolveRoster(s.now(), write.roster)
	s.publish()
	s.releaseAll()
	s.tend()
}

// readRosterBack learns who wrote the roster before this write, which can then
// take effect no more: an earlier try of the same write, or another collector.
// Reading alone would not do after a lost answer, because the write might take
// effect after the read.
func (s *service) readRosterBack(write rosterWrite) {
	store, key := s.clients.Platform().Store, s.rosterKey()
	kernel.RunAsync(s.workers, 0, s.rostered, func(ctx context.Context) (rosterWrite, error) {
		entry, err := store.Get(ctx, key)
		if err != nil {
			return write, err
		}
		var kept rosterRecord
		if err := json.Unmarshal(entry.Value, &kept); err != nil {
			return write, err
		}
		return rosterWrite{
			term:       write.term,
			roster:     kept.Roster,
			revision:   entry.Revision,
			superseded: kept.Term != write.term,
		}, nil
	})
}
