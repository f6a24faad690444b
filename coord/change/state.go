// Package change implements the commit protocol for changes of the settings.
// Changes are staged together in a round. The round is activated once every
// availability zone has acknowledged it, and withdrawn otherwise.
//
// The whole state is one value, State, which is only replaced by
// compare-and-swap. A change takes effect in all zones or in none, because no
// daemon serves a request that the change affects between its zone's
// acknowledgement and the decision. Package zone implements that part.
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
	// ErrDecisionExpired means that the change may already have been decided and
	// the decision dropped since.
	ErrDecisionExpired = errors.New("change: too old, a decision on it may have been dropped")
	// ErrTooManyPending means that the limit of pending changes is reached.
	ErrTooManyPending = errors.New("change: too many pending changes")
	// ErrMalformed means that the state is not one that this package produces.
	ErrMalformed = errors.New("change: malformed state")
)

// Limits on the size of the state.
const (
	// maxDecisions is how many decisions are kept, so that an operator can retry
	// a change and learn its outcome.
	maxDecisions = 64
	// maxPending is how many changes may be pending for the next round.
	maxPending = 64
	// CompactAfterRounds is the number of accepted rounds after which the full
	// document is written.
	CompactAfterRounds = 32
)

// Round is the number of a round of staged changes. It only increases.
type Round uint64

// AcceptedRound is a round of changes that is in force as of a revision.
type AcceptedRound struct {
	Revision settings.Revision `json:"revision"`
	Changes  []settings.Change `json:"changes"`
}

// Decision is the outcome of a change.
type Decision struct {
	ID       settings.ChangeID `json:"id"`
	Round    Round             `json:"round"`
	Accepted bool              `json:"accepted"`
	// Revision is the revision in force after the decision.
	Revision settings.Revision `json:"revision"`
	// MissingZones holds the zones that had not acknowledged the round when it
	// was withdrawn.
	MissingZones []structs.ZoneName `json:"missing,omitempty"`
}

// State is the state of all changes. Its methods that return a State leave the
// receiver unmodified; the caller stores the result by compare-and-swap.
type State struct {
	// Revision is the revision in force.
	Revision settings.Revision `json:"revision"`
	// Base is the revision of the last full document that was written.
	Base settings.Revision `json:"base"`
	// AcceptedRounds holds the rounds accepted since Base, in order.
	AcceptedRounds []AcceptedRound `json:"accepted,omitempty"`
	// Round is the newest round. It is undecided while StagedChanges is not
	// empty.
	Round Round `json:"round"`
	// StagedChanges holds the changes of the undecided round.
	StagedChanges []settings.Change `json:"staged,omitempty"`
	// PendingChanges holds the changes for the next round.
	PendingChanges []settings.Change `json:"pending,omitempty"`
	// SuspendedZones holds the zones whose hosts operators have declared
	// stopped.
	SuspendedZones []structs.ZoneName `json:"suspended,omitempty"`
	// Decisions holds the newest decisions, oldest first.
	Decisions []Decision `json:"decided,omitempty"`
	// LastDroppedRound is the newest round with a decision that is no longer
	// kept.
	LastDroppedRound Round `json:"forgotten"`
}

// Validate returns ErrMalformed unless AcceptedRounds covers exactly the
// revisions after Base up to Revision.
func (s *State) Validate() error {
	if s.Revision < s.Base || uint64(s.Revision-s.Base) != uint64(len(s.AcceptedRounds)) {
		return ErrMalformed
	}
	for i, round := range s.AcceptedRounds {
		if round.Revision != s.Base+settings.Revision(i)+1 {
			return ErrMalformed
		}
	}
	return nil
}

// UndecidedRound returns the number of the staged round, or zero when no round
// is staged.
func (s *State) UndecidedRound() Round {
	if len(s.StagedChanges) == 0 {
		return 0
	}
	return s.Round
}

// Decision returns the decision on a change and reports whether one is kept.
func (s *State) Decision(id settings.ChangeID) (Decision, bool) {
	for _, decision := range s.Decisions {
		if decision.ID == id {
			return decision, true
		}
	}
	return Decision{}, false
}

// HasUndecided reports whether a change is staged or pending.
func (s *State) HasUndecided(id settings.ChangeID) bool {
	hasID := func(c settings.Change) bool { return c.ID == id }
	return slices.ContainsFunc(s.StagedChanges, hasID) || slices.ContainsFunc(s.PendingChanges, hasID)
}

// Submit adds a change: it is staged, or pending while another round is
// undecided. The document is the one in force. For a change that is already
// staged, pending or decided, the state is returned unchanged, so that Submit is
// idempotent. Errors are ErrConflict, ErrDecisionExpired, ErrTooManyPending and
// settings.ErrInvalid.
func (s *State) Submit(change settings.Change, document *settings.Document) (State, error) {
	if _, decided := s.Decision(change.ID); decided || s.HasUndecided(change.ID) {
		return *s, nil
	}
	if change.SeenRound != 0 && Round(change.SeenRound) <= s.LastDroppedRound {
		return State{}, ErrDecisionExpired
	}
	undecided := slices.Concat(s.StagedChanges, s.PendingChanges)
	for _, other := range undecided {
		if settings.Overlap(change, other) {
			return State{}, errors.Wrapf(ErrConflict, "change %s", other.ID)
		}
	}
	if err := s.checkApplies(change, document); err != nil {
		return State{}, err
	}
	if len(s.PendingChanges) >= maxPending {
		return State{}, ErrTooManyPending
	}
	next := s.clone()
	next.PendingChanges = append(next.PendingChanges, change)
	next.stage()
	return next, nil
}

// checkApplies checks that the change applies to the document alone, after the
// pending changes, and after the staged and pending ones, because the staged
// round may still be accepted or withdrawn.
func (s *State) checkApplies(change settings.Change, document *settings.Document) error {
	for _, earlier := range [][]settings.Change{nil, s.PendingChanges, slices.Concat(s.StagedChanges, s.PendingChanges)} {
		replayed, err := Replay(document, []AcceptedRound{{Changes: earlier}})
		if err != nil {
			return err
		}
		if _, err := replayed.Apply(change); err != nil {
			return err
		}
	}
	return nil
}

// stage stages the pending changes as the next round, unless a round is
// undecided or nothing is pending.
func (s *State) stage() {
	if len(s.StagedChanges) > 0 || len(s.PendingChanges) == 0 {
		return
	}
	s.Round++
	s.StagedChanges, s.PendingChanges = s.PendingChanges, nil
}

// Activate accepts the undecided round, under the next revision, and stages the
// pending changes.
func (s *State) Activate() State {
	next := s.clone()
	next.Revision++
	next.AcceptedRounds = append(next.AcceptedRounds, AcceptedRound{Revision: next.Revision, Changes: s.StagedChanges})
	next.decide(true, nil)
	return next
}

// Withdraw rejects the undecided round, which the missing zones have not
// acknowledged, and stages the pending changes.
func (s *State) Withdraw(missing []structs.ZoneName) State {
	next := s.clone()
	next.decide(false, missing)
	return next
}

// decide records the decision on each change of the undecided round, drops the
// oldest decisions over the limit, and stages the next round.
func (s *State) decide(accepted bool, missing []structs.ZoneName) {
	for _, change := range s.StagedChanges {
		s.Decisions = append(s.Decisions, Decision{
			ID: change.ID, Round: s.Round, Accepted: accepted, Revision: s.Revision, MissingZones: missing,
		})
	}
	for len(s.Decisions) > maxDecisions {
		s.LastDroppedRound = max(s.LastDroppedRound, s.Decisions[0].Round)
		s.Decisions = s.Decisions[1:]
	}
	s.StagedChanges = nil
	s.stage()
}

// Compact drops the accepted rounds and sets Base to the revision in force, whose
// full document must have been written before.
func (s *State) Compact() State {
	next := s.clone()
	next.Base = s.Revision
	next.AcceptedRounds = nil
	return next
}

// SetSuspended marks a zone as suspended or ends its suspension. Rounds do not
// wait for the acknowledgement of a suspended zone.
func (s *State) SetSuspended(zone structs.ZoneName, suspended bool) State {
	next := s.clone()
	next.SuspendedZones = slices.DeleteFunc(next.SuspendedZones, func(z structs.ZoneName) bool { return z == zone })
	if suspended {
		next.SuspendedZones = append(next.SuspendedZones, zone)
	}
	return next
}

// clone returns a copy whose slices can be modified. StagedChanges is shared: it
// is only replaced as a whole.
func (s *State) clone() State {
	next := *s
	next.AcceptedRounds = slices.Clone(s.AcceptedRounds)
	next.PendingChanges = slices.Clone(s.PendingChanges)
	next.SuspendedZones = slices.Clone(s.SuspendedZones)
	next.Decisions = slices.Clone(s.Decisions)
	return next
}

// RoundsSince returns the rounds accepted after a revision and reports whether
// all of them are still kept.
func (s *State) RoundsSince(revision settings.Revision) ([]AcceptedRound, bool) {
	if revision < s.Base || revision > s.Revision {
		return nil, false
	}
	return s.AcceptedRounds[len(s.AcceptedRounds)-int(s.Revision-revision):], true
}

// Replay returns the document with accepted rounds applied in order. The document
// passed in is not modified.
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

// Acknowledgement is a zone's guarantee that none of its daemons serves a request
// that the round affects until the round is decided.
type Acknowledgement struct {
	Zone structs.ZoneName `json:"zone"`
	// Term is the fencing token of the zone's collector.
	Term structs.Term `json:"term"`
	// Round is the newest round that the zone has acknowledged.
	Round Round `json:"round"`
}

// MissingZones returns the zones of a document that have not acknowledged the
// undecided round, except for suspended ones.
func (s *State) MissingZones(document *settings.Document, acknowledgements []Acknowledgement) []structs.ZoneName {
	var missing []structs.ZoneName
	for _, place := range document.Zones {
		if slices.Contains(s.SuspendedZones, place.Zone) {
			continue
		}
		matches := func(a Acknowledgement) bool { return a.Zone == place.Zone && a.Round == s.Round }
		if !slices.ContainsFunc(acknowledgements, matches) {
			missing = append(missing, place.Zone)
		}
	}
	return missing
}
