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

// The keys under which the settings are kept in the store.
const (
	prefixSettings  = "settings/"
	keyHead         = prefixSettings + "head"
	prefixAcks      = prefixSettings + "ack/"
	prefixDocuments = "documents/"
)

const (
	watchWait  = 10 * time.Second
	retryDelay = 500 * time.Millisecond
	// decideSpread keeps the collectors of several zones from writing the
	// same decision at once.
	decideSpread = 300 * time.Millisecond
)

func documentKey(revision settings.Revision) string {
	return fmt.Sprintf("%s%d", prefixDocuments, revision)
}

// lead is the state of a collector that follows the store's settings. It
// belongs to the control goroutine.
type lead struct {
	term    structs.Term
	through outside.Revision
	head    change.State
	// headAt, ackAt and lastAckAt are the store's revisions of the head, of
	// this zone's acknowledgement and of the newest one of any zone.
	headAt    outside.Revision
	ackAt     outside.Revision
	lastAckAt outside.Revision
	acks      map[structs.ZoneName]change.Acknowledgement
	// acked is the newest round whose acknowledgement was begun.
	acked   change.Round
	writing bool
	// stagedSeen is when the undecided round was first seen.
	stagedSeen time.Time
	timer      *kernel.Timer
}

// loaded is what a worker read from the store for the lead of a term.
type loaded struct {
	term     structs.Term
	changes  outside.Changes
	head     *change.State
	headAt   outside.Revision
	document *settings.Document
}

// written is the outcome of a write for the lead of a term.
type written struct {
	term structs.Term
	what string
}

// StartLeading implements contract.SettingsControl.
func (s *service) StartLeading(term structs.Term) {
	s.lead = &lead{term: term, acks: make(map[structs.ZoneName]change.Acknowledgement)}
	s.watch()
}

// StopLeading implements contract.SettingsControl.
func (s *service) StopLeading() {
	if s.lead != nil {
		s.loop.CancelTimer(s.lead.timer)
	}
	s.lead = nil
}

// watch waits on a worker for the next change of the settings in the store.
func (s *service) watch() {
	ld, store := s.lead, s.clients.Platform().Store
	term, after, known, revision := ld.term, ld.through, s.document, s.revision
	kernel.RunAsync(s.workers, 0, s.loaded, func(ctx context.Context) (loaded, error) {
		changes, err := store.Watch(ctx, prefixSettings, after, watchWait)
		if err != nil {
			return loaded{term: term}, err
		}
		got := loaded{term: term, changes: changes}
		err = got.readHead(ctx, store, known, revision)
		return got, err
	})
}

// readHead decodes the head among the changes and brings a document up to it.
func (l *loaded) readHead(ctx context.Context, store outside.Store, known *settings.Document, revision settings.Revision) error {
	for _, entry := range l.changes.Entries {
		if entry.Key != keyHead || entry.Value == nil {
			continue
		}
		head, err := decodeHead(entry.Value)
		if err != nil {
			return err
		}
		l.head, l.headAt = head, entry.Revision
		l.document, err = documentOf(ctx, store, head, known, revision)
		return err
	}
	return nil
}

func decodeHead(value []byte) (*change.State, error) {
	head := &change.State{}
	if err := json.Unmarshal(value, head); err != nil {
		return nil, errors.Wrap(err, "the settings in the store")
	}
	return head, errors.Wrap(head.Validate(), "the settings in the store")
}

// documentOf returns the document in force under a head, starting from a
// known one where the head still has all rounds since.
func documentOf(ctx context.Context, store outside.Store, head *change.State, known *settings.Document, revision settings.Revision) (*settings.Document, error) {
	if known != nil {
		if rounds, ok := head.RoundsSince(revision); ok {
			return change.Replay(known, rounds)
		}
	}
	entry, err := store.Get(ctx, documentKey(head.Base))
	if err != nil {
		return nil, err
	}
	base := &settings.Document{}
	if err := json.Unmarshal(entry.Value, base); err != nil {
		return nil, errors.Wrap(err, "the document in the store")
	}
	return change.Replay(base, head.AcceptedRounds)
}

func (s *service) onLoaded(reply kernel.AsyncResult[loaded]) {
	ld := s.lead
	if ld == nil || ld.term != reply.Value.term {
		return
	}
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debug("The settings could not be read.")
		s.loop.AfterFunc(retryDelay, func() {
			if s.lead == ld {
				s.watch()
			}
		})
		return
	}
	ld.through = reply.Value.changes.Revision
	s.learnAcks(reply.Value.changes.Entries)
	if reply.Value.head != nil {
		s.learnHead(reply.Value)
	}
	s.decide()
	s.watch()
}

func (s *service) learnAcks(entries []outside.Entry) {
	for _, entry := range entries {
		name, isAck := strings.CutPrefix(entry.Key, prefixAcks)
		if !isAck {
			continue
		}
		var ack change.Acknowledgement
		if err := json.Unmarshal(entry.Value, &ack); err != nil {
			s.log.WithError(err).Errorf("The acknowledgement of %s is unreadable.", name)
			continue
		}
		s.lead.acks[structs.ZoneName(name)] = ack
		s.lead.lastAckAt = max(s.lead.lastAckAt, entry.Revision)
		if structs.ZoneName(name) == s.config.Place.Zone {
			s.lead.ackAt = entry.Revision
		}
	}
}

func (s *service) learnHead(got loaded) {
	ld := s.lead
	if got.headAt <= ld.headAt {
		return
	}
	if got.head.Round != ld.head.Round {
		ld.stagedSeen = s.clock.Now()
	}
	ld.head, ld.headAt = *got.head, got.headAt
	s.adopt(got.document, ld.head.Revision, ld.head.Round, ld.head.StagedChanges)
	s.onNews()
}

// mayGrant reports whether the collector knows the settings well enough to
// grant: it has read the head in its own term, and changes wait for this zone.
// A zone that is suspended, or that the document does not list, is not waited
// for, so that its daemons serve nothing touched.
func (s *service) mayGrant() bool {
	here := func(place structs.Place) bool { return place.Zone == s.config.Place.Zone }
	return s.lead.headAt != 0 &&
		!slices.Contains(s.lead.head.SuspendedZones, s.config.Place.Zone) &&
		slices.ContainsFunc(s.document.Zones, here)
}

// DeltaSince implements contract.SettingsControl.
func (s *service) DeltaSince(since settings.Revision) contract.SettingsDelta {
	carry := contract.SettingsDelta{Since: s.revision, Staged: s.staged, Round: s.round}
	if s.lead != nil && s.lead.head.Revision == s.revision {
		if rounds, ok := s.lead.head.RoundsSince(since); ok {
			carry.Since, carry.Accepted = since, rounds
			return carry
		}
	}
	carry.Whole = s.document
	return carry
}
