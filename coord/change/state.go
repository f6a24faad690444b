// Package change decides what becomes of changes of the settings: they are
// staged together in a round, and the round is activated once every
// availability zone has acknowledged it, or else withdrawn.
//
// All of it lies in one value, the head, which is only ever replaced by
// compare-and-swap. A change is in force everywhere or nowhere because no
// daemon serves a touched request between its acknowledgement and the
// decision; package zone holds that half of the rule.
package change

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Errors of Submit and Validate.
var (
	// ErrConflict means that an undecided change sets the same parameter.
	ErrConflict = errors.New("change: an undecided change sets the same parameter")
	// ErrDecisionExpired means that the change may have been decided so long ago
	// that the decision is no longer kept.
	ErrDecisionExpired = errors.New("change: decisions of that age are no longer kept")
	// ErrTooManyPending means that as many changes wait as may wait.
	ErrTooManyPending = errors.New("change: too many changes wait")
	// ErrMalformed means that a head cannot be one that this package made.
	ErrMalformed = errors.New("change: malformed head")
)

// Bounds of the head's size, as counts.
const (
	// keptDecisions is how many decisions are kept for operators who ask
	// again.
	keptDecisions = 64
	// maxPending is how many changes may wait for the next round.
	maxPending = 64
	// CompactAfterRounds is the count of accepted rounds after which the document is
	// written out whole.
	CompactAfterRounds = 32
)

// Round numbers the rounds in which changes are staged; it only grows.
type Round uint64

// AcceptedRound is a round of changes that is in force from a revision on.
type AcceptedRound struct {
	Revision settings.Revision `json:"revision"`
	Changes  []settings.Change `json:"changes"`
}

// Decision is what became of a change.
type Decision struct {
	ID       settings.ChangeID `json:"id"`
	Round    Round             `json:"round"`
	Accepted bool              `json:"accepted"`
	// Revision is the one in force after the decision.
	Revision settings.Revision `json:"revision"`
	// MissingZones are the zones that had not acknowledged a withdrawn change.
	MissingZones []structs.ZoneName `json:"missing,omitempty"`
}

// State is the state of all changes.
type State struct {
	// Revision is the one in force.
	Revision settings.Revision `json:"revision"`
	// Base is the revision of the document that was last written out whole.
	Base settings.Revision `json:"base"`
	// AcceptedRounds are the rounds since Base, in order.
	AcceptedRounds []AcceptedRound `json:"accepted,omitempty"`
	// Round is the newest round; it is undecided while StagedChanges has changes.
	Round          Round             `json:"round"`
	StagedChanges  []settings.Change `json:"staged,omitempty"`
	PendingChanges []settings.Change `json:"pending,omitempty"`
	// SuspendedZones are zones whose hosts operators have declared stopped.
	SuspendedZones []structs.ZoneName `json:"suspended,omitempty"`
	// Decisions are the newest decisions, oldest first.
	Decisions []Decision `json:"decided,omitempty"`
	// LastDroppedRound is the newest round of which a decision was dropped.
	LastDroppedRound Round `json:"forgotten"`
}

// Validate fails with ErrMalformed for a head whose accepted rounds are not
// those from its base to its revision.
func (h *State) Validate() error {
	if h.Revision < h.Base || uint64(h.Revision-h.Base) != uint64(len(h.AcceptedRounds)) {
		return ErrMalformed
	}
	for i, round := range h.AcceptedRounds {
		if round.Revision != h.Base+settings.Revision(i)+1 {
			return ErrMalformed
		}
	}
	return nil
}

// UndecidedRound returns the staged round, or zero when there is none.
func (h *State) UndecidedRound() Round {
	if len(h.StagedChanges) == 0 {
		return 0
	}
	return h.Round
}

// Decision finds what became of a change.
func (h *State) Decision(id settings.ChangeID) (Decision, bool) {
	for _, decision := range h.Decisions {
		if decision.ID == id {
			return decision, true
		}
	}
	return Decision{}, false
}

// HasUndecided reports whether a change is staged or waits to be.
func (h *State) HasUndecided(id settings.ChangeID) bool {
	is := func(c settings.Change) bool { return c.ID == id }
	return slices.ContainsFunc(h.StagedChanges, is) || slices.ContainsFunc(h.PendingChanges, is)
}

// Submit returns the head with a change staged, or waiting for the next round
// while another one is undecided. The document is the one in force. A change
// that the head already holds or has decided is returned unchanged. It fails
// with ErrConflict, ErrDecisionExpired, ErrTooManyPending or settings.ErrInvalid.
func (h *State) Submit(change settings.Change, document *settings.Document) (State, error) {
	if _, decided := h.Decision(change.ID); decided || h.HasUndecided(change.ID) {
		return *h, nil
	}
	if change.SeenRound != 0 && Round(change.SeenRound) <= h.LastDroppedRound {
		return State{}, ErrDecisionExpired
	}
	waiting := slices.Concat(h.StagedChanges, h.PendingChanges)
	for _, other := range waiting {
		if settings.Overlap(change, other) {
			return State{}, errors.Wrapf(ErrConflict, "change %s", other.ID)
		}
	}
	if err := h.check(change, document); err != nil {
		return State{}, err
	}
	if len(h.PendingChanges) >= maxPending {
		return State{}, ErrTooManyPending
	}
	next := h.clone()
	next.PendingChanges = append(next.PendingChanges, change)
	next.stage()
	return next, nil
}

// check applies the change alone, after the waiting ones and after all
// undecided ones, because the staged round may be accepted or withdrawn.
func (h *State) check(change settings.Change, document *settings.Document) error {
	for _, before := range [][]settings.Change{nil, h.PendingChanges, slices.Concat(h.StagedChanges, h.PendingChanges)} {
		with, err := Replay(document, []AcceptedRound{{Changes: before}})
		if err != nil {
			return err
		}
		if _, err := with.Apply(change); err != nil {
			return err
		}
	}
	return nil
}

// stage opens the next round when none is undecided and changes wait.
func (h *State) stage() {
	if len(h.StagedChanges) > 0 || len(h.PendingChanges) == 0 {
		return
	}
	h.Round++
	h.StagedChanges, h.PendingChanges = h.PendingChanges, nil
}

// Activate returns the head with the undecided round in force.
func (h *State) Activate() State {
	next := h.clone()
	next.Revision++
	next.AcceptedRounds = append(next.AcceptedRounds, AcceptedRound{Revision: next.Revision, Changes: h.StagedChanges})
	next.decide(true, nil)
	return next
}

// Withdraw returns the head without the undecided round.
func (h *State) Withdraw(missing []structs.ZoneName) State {
	next := h.clone()
	next.decide(false, missing)
	return next
}

// decide records what became of the undecided round and opens the next one.
func (h *State) decide(accepted bool, missing []structs.ZoneName) {
	for _, change := range h.StagedChanges {
		h.Decisions = append(h.Decisions, Decision{
			ID: change.ID, Round: h.Round, Accepted: accepted, Revision: h.Revision, MissingZones: missing,
		})
	}
	for len(h.Decisions) > keptDecisions {
		h.LastDroppedRound = max(h.LastDroppedRound, h.Decisions[0].Round)
		h.Decisions = h.Decisions[1:]
	}
	h.StagedChanges = nil
	h.stage()
}

// Compact returns the head after the document in force was written out whole.
func (h *State) Compact() State {
	next := h.clone()
	next.Base = h.Revision
	next.AcceptedRounds = nil
	return next
}

// SetSuspended returns the head with a zone declared stopped or no longer so. Its
// acknowledgement is then not waited for.
func (h *State) SetSuspended(zone structs.ZoneName, stopped bool) State {
	next := h.clone()
	next.SuspendedZones = slices.DeleteFunc(next.SuspendedZones, func(z structs.ZoneName) bool { return z == zone })
	if stopped {
		next.SuspendedZones = append(next.SuspendedZones, zone)
	}
	return next
}

func (h *State) clone() State {
	next := *h
	next.AcceptedRounds = slices.Clone(h.AcceptedRounds)
	next.PendingChanges = slices.Clone(h.PendingChanges)
	next.SuspendedZones = slices.Clone(h.SuspendedZones)
	next.Decisions = slices.Clone(h.Decisions)
	return next
}

// RoundsSince returns the accepted rounds after a revision and reports whether the
// head still has all of them.
func (h *State) RoundsSince(revision settings.Revision) ([]AcceptedRound, bool) {
	if revision < h.Base || revision > h.Revision {
		return nil, false
	}
	return h.AcceptedRounds[len(h.AcceptedRounds)-int(h.Revision-revision):], true
}

// Replay applies accepted rounds to a document.
func Replay(document *settings.Document, rounds []AcceptedRound) (*settings.Document, error) {
	for _, round := range rounds {
		for _, change := range round.Changes {
			next, err := document.Apply(change)
			if err != nil {
				return nil, err
			}
			document = next
		}
	}
	return document, nil
}

// Acknowledgement is a zone's promise that none of its daemons serves a
// touched request until the round is decided.
type Acknowledgement struct {
	Zone structs.ZoneName `json:"zone"`
	// Term is the collector's fencing number.
	Term structs.Term `json:"term"`
	// Round is the newest acknowledged round.
	Round Round `json:"round"`
}

// MissingZones lists the zones of a document that have not acknowledged the
// undecided round. A suspended zone is not waited for.
func (h *State) MissingZones(document *settings.Document, acknowledged []Acknowledgement) []structs.ZoneName {
	var missing []structs.ZoneName
	for _, place := range document.Zones {
		if slices.Contains(h.SuspendedZones, place.Zone) {
			continue
		}
		has := func(a Acknowledgement) bool { return a.Zone == place.Zone && a.Round == h.Round }
		if !slices.ContainsFunc(acknowledged, has) {
			missing = append(missing, place.Zone)
		}
	}
	return missing
}
