package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Store keys and key prefixes of the settings.
const (
	prefixSettings  = "settings/"
	keyHead         = prefixSettings + "head"
	prefixAcks      = prefixSettings + "ack/"
	prefixDocuments = "documents/"
)

const (
	watchTimeout = 10 * time.Second
	retryDelay   = 500 * time.Millisecond
	// decisionStagger is the delay between the zones' turns to write a
	// decision, so that their collectors do not write the same one at once.
	decisionStagger = 300 * time.Millisecond
)

func documentKey(revision settings.Revision) string {
	return fmt.Sprintf("%s%d", prefixDocuments, revision)
}

// leaderState is the state of a zone's collector that watches the settings in
// the store and takes part in the decisions on them. It belongs to the control
// goroutine.
type leaderState struct {
	term          structs.Term
	watchRevision outside.Revision
	head          change.State
	// headRevision, ownAckRevision and newestAckRevision are the store's
	// revisions of the head, of this zone's acknowledgement and of the newest
	// acknowledgement of any zone.
	headRevision      outside.Revision
	ownAckRevision    outside.Revision
	newestAckRevision outside.Revision
	acks              map[structs.ZoneName]change.Acknowledgement
	// attemptedRound is the newest round for which this zone has started to
	// write its acknowledgement.
	attemptedRound change.Round
	writeInFlight  bool
	// roundSeenAt is when this collector first saw the newest round.
	roundSeenAt   time.Time
	decisionTimer *kernel.Timer
}

// watchResult is the outcome of a watch in a leader's term. Its head and
// document are nil when the head did not change.
type watchResult struct {
	term         structs.Term
	changes      outside.Changes
	head         *change.State
	headRevision outside.Revision
	document     *settings.Document
}

// writeResult is the outcome of a write in a leader's term.
type writeResult struct {
	term      structs.Term
	operation string
}

// StartLeading implements contract.SettingsControl.
func (s *service) StartLeading(term structs.Term) {
	s.leader = &leaderState{term: term, acks: make(map[structs.ZoneName]change.Acknowledgement)}
	s.watch()
}

// StopLeading implements contract.SettingsControl.
func (s *service) StopLeading() {
	if s.leader != nil {
		s.loop.CancelTimer(s.leader.decisionTimer)
	}
	s.leader = nil
}

// watch waits on a worker for the next change of the settings in the store.
func (s *service) watch() {
	leader, store := s.leader, s.clients.Platform().Store
	term, after, cached, revision := leader.term, leader.watchRevision, s.document, s.revision
	kernel.RunAsync(s.workers, 0, s.watchResults, func(ctx context.Context) (watchResult, error) {
		changes, err := store.Watch(ctx, prefixSettings, after, watchTimeout)
		if err != nil {
			return watchResult{term: term}, err
		}
		result := watchResult{term: term, changes: changes}
		err = result.readHead(ctx, store, cached, revision)
		return result, err
	})
}

// readHead decodes the head among the changes, if there is one, and the
// document that is in force under it.
func (l *watchResult) readHead(ctx context.Context, store outside.Store, cached *settings.Document, revision settings.Revision) error {
	for _, entry := range l.changes.Entries {
		if entry.Key != keyHead || entry.Value == nil {
			continue
		}
		head, err := decodeHead(entry.Value)
		if err != nil {
			return err
		}
		l.head, l.headRevision = head, entry.Revision
		l.document, err = documentAt(ctx, store, head, cached, revision)
		return err
	}
	return nil
}

func decodeHead(value []byte) (*change.State, error) {
	head := &change.State{}
	if err := json.Unmarshal(value, head); err != nil {
		return nil, errors.Wrap(err, "decode the settings head")
	}
	return head, errors.Wrap(head.Validate(), "validate the settings head")
}

// documentAt returns the document in force under a head. It starts from the
// cached document when the head still has all rounds since its revision, and
// else from the head's base document in the store.
func documentAt(ctx context.Context, store outside.Store, head *change.State, cached *settings.Document, revision settings.Revision) (*settings.Document, error) {
	if cached != nil {
		if rounds, ok := head.RoundsSince(revision); ok {
			return change.Replay(cached, rounds)
		}
	}
	entry, err := store.Get(ctx, documentKey(head.Base))
	if err != nil {
		return nil, err
	}
	base := &settings.Document{}
	if err := json.Unmarshal(entry.Value, base); err != nil {
		return nil, errors.Wrap(err, "decode the base document")
	}
	return change.Replay(base, head.AcceptedRounds)
}

func (s *service) onWatchResult(reply kernel.AsyncResult[watchResult]) {
	leader := s.leader
	if leader == nil || leader.term != reply.Value.term {
		return
	}
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debug("Cannot read the settings from the store.")
		s.loop.AfterFunc(retryDelay, func() {
			if s.leader == leader {
				s.watch()
			}
		})
		return
	}
	leader.watchRevision = reply.Value.changes.Revision
	s.recordAcknowledgements(reply.Value.changes.Entries)
	if reply.Value.head != nil {
		s.applyHead(reply.Value)
	}
	s.scheduleDecision()
	s.watch()
}

func (s *service) recordAcknowledgements(entries []outside.Entry) {
	for _, entry := range entries {
		name, isAck := strings.CutPrefix(entry.Key, prefixAcks)
		if !isAck {
			continue
		}
		var ack change.Acknowledgement
		if err := json.Unmarshal(entry.Value, &ack); err != nil {
			s.log.WithError(err).Errorf("Cannot decode the acknowledgement of zone %s.", name)
			continue
		}
		s.leader.acks[structs.ZoneName(name)] = ack
		s.leader.newestAckRevision = max(s.leader.newestAckRevision, entry.Revision)
		if structs.ZoneName(name) == s.config.Place.Zone {
			s.leader.ownAckRevision = entry.Revision
		}
	}
}

func (s *service) applyHead(result watchResult) {
	leader := s.leader
	if result.headRevision <= leader.headRevision {
		return
	}
	if result.head.Round != leader.head.Round {
		leader.roundSeenAt = s.clock.Now()
	}
	leader.head, leader.headRevision = *result.head, result.headRevision
	s.adoptState(result.document, leader.head.Revision, leader.head.Round, leader.head.StagedChanges)
	s.onGrantStateChange()
}

// mayGrant reports whether the collector may grant: it has read the head in
// its own term, and rounds need the acknowledgement of this zone. Rounds are
// decided without a zone that is suspended or missing from the document, so
// its daemons must not serve requests that a round may affect.
func (s *service) mayGrant() bool {
	isOwnZone := func(place structs.Place) bool { return place.Zone == s.config.Place.Zone }
	return s.leader.headRevision != 0 &&
		!slices.Contains(s.leader.head.SuspendedZones, s.config.Place.Zone) &&
		slices.ContainsFunc(s.document.Zones, isOwnZone)
}

// DeltaSince implements contract.SettingsControl.
func (s *service) DeltaSince(since settings.Revision) contract.SettingsDelta {
	delta := contract.SettingsDelta{Since: s.revision, Staged: s.stagedChanges, Round: s.round}
	if s.leader != nil && s.leader.head.Revision == s.revision {
		if rounds, ok := s.leader.head.RoundsSince(since); ok {
			delta.Since, delta.Accepted = since, rounds
			return delta
		}
	}
	delta.Whole = s.document
	return delta
}
