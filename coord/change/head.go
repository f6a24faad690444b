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
	// ErrForgotten means that the change may have been decided so long ago
	// that the decision is no longer kept.
	ErrForgotten = errors.New("change: decisions of that age are no longer kept")
	// ErrFull means that as many changes wait as may wait.
	ErrFull = errors.New("change: too many changes wait")
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
	// FoldAt is the count of accepted rounds after which the document is
	// written out whole.
	FoldAt = 32
)

// Round numbers the rounds in which changes are staged; it only grows.
type Round uint64

// Accepted is a round of changes that is in force from a revision on.
type Accepted struct {
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
	// Missing are the zones that had not acknowledged a withdrawn change.
	Missing []structs.ZoneName `json:"missing,omitempty"`
}

// Head is the state of all changes.
type Head struct {
	// Revision is the one in force.
	Revision settings.Revision `json:"revision"`
	// Base is the revision of the document that was last written out whole.
	Base settings.Revision `json:"base"`
	// Accepted are the rounds since Base, in order.
	Accepted []Accepted `json:"accepted,omitempty"`
	// Round is the newest round; it is undecided while Staged has changes.
	Round   Round             `json:"round"`
	Staged  []settings.Change `json:"staged,omitempty"`
	Pending []settings.Change `json:"pending,omitempty"`
	// Suspended are zones whose hosts operators have declared stopped.
	Suspended []structs.ZoneName `json:"suspended,omitempty"`
	// Decided are the newest decisions, oldest first.
	Decided []Decision `json:"decided,omitempty"`
	// Forgotten is the newest round of which a decision was dropped.
	Forgotten Round `json:"forgotten"`
}

// Validate fails with ErrMalformed for a head whose accepted rounds are not
// those from its base to its revision.
func (h *Head) Validate() error {
	if h.Revision < h.Base || uint64(h.Revision-h.Base) != uint64(len(h.Accepted)) {
		return ErrMalformed
	}
	for i, round := range h.Accepted {
		if round.Revision != h.Base+settings.Revision(i)+1 {
			return ErrMalformed
		}
	}
	return nil
}

// Undecided returns the staged round, or zero when there is none.
func (h *Head) Undecided() Round {
	if len(h.Staged) == 0 {
		return 0
	}
	return h.Round
}

// Decision finds what became of a change.
func (h *Head) Decision(id settings.ChangeID) (Decision, bool) {
	for _, decision := range h.Decided {
		if decision.ID == id {
			return decision, true
		}
	}
	return Decision{}, false
}

// Holds reports whether a change is staged or waits to be.
func (h *Head) Holds(id settings.ChangeID) bool {
	is := func(c settings.Change) bool { return c.ID == id }
	return slices.ContainsFunc(h.Staged, is) || slices.ContainsFunc(h.Pending, is)
}

// Submit returns the head with a change staged, or waiting for the next round
// while another one is undecided. The document is the one in force. A change
// that the head already holds or has decided is returned unchanged. It fails
// with ErrConflict, ErrForgotten, ErrFull or settings.ErrInvalid.
func (h *Head) Submit(change settings.Change, document *settings.Document) (Head, error) {
	if _, decided := h.Decision(change.ID); decided || h.Holds(change.ID) {
		return *h, nil
	}
	if change.SeenRound != 0 && Round(change.SeenRound) <= h.Forgotten {
		return Head{}, ErrForgotten
	}
	waiting := slices.Concat(h.Staged, h.Pending)
	for _, other := range waiting {
		if settings.Overlap(change, other) {
			return Head{}, errors.Wrapf(ErrConflict, "change %s", other.ID)
		}
	}
	if err := h.check(change, document); err != nil {
		return Head{}, err
	}
	if len(h.Pending) >= maxPending {
		return Head{}, ErrFull
	}
	next := h.clone()
	next.Pending = append(next.Pending, change)
	next.stage()
	return next, nil
}

// check applies the change alone, after the waiting ones and after all
// undecided ones, because the staged round may be accepted or withdrawn.
func (h *Head) check(change settings.Change, document *settings.Document) error {
	for _, before := range [][]settings.Change{nil, h.Pending, slices.Concat(h.Staged, h.Pending)} {
		with, err := Replay(document, []Accepted{{Changes: before}})
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
func (h *Head) stage() {
	if len(h.Staged) > 0 || len(h.Pending) == 0 {
		return
	}
	h.Round++
	h.Staged, h.Pending = h.Pending, nil
}

// Activate returns the head with the undecided round in force.
func (h *Head) Activate() Head {
	next := h.clone()
	next.Revision++
	next.Accepted = append(next.Accepted, Accepted{Revision: next.Revision, Changes: h.Staged})
	next.decide(true, nil)
	return next
}

// Withdraw returns the head without the undecided round.
func (h *Head) Withdraw(missing []structs.ZoneName) Head {
	next := h.clone()
	next.decide(false, missing)
	return next
}

// decide records what became of the undecided round and opens the next one.
func (h *Head) decide(accepted bool, missing []structs.ZoneName) {
	for _, change := range h.Staged {
		h.Decided = append(h.Decided, Decision{
			ID: change.ID, Round: h.Round, Accepted: accepted, Revision: h.Revision, Missing: missing,
		})
	}
	for len(h.Decided) > keptDecisions {
		h.Forgotten = max(h.Forgotten, h.Decided[0].Round)
		h.Decided = h.Decided[1:]
	}
	h.Staged = nil
	h.stage()
}

// Fold returns the head after the document in force was written out whole.
func (h *Head) Fold() Head {
	next := h.clone()
	next.Base = h.Revision
	next.Accepted = nil
	return next
}

// Suspend returns the head with a zone declared stopped or no longer so. Its
// acknowledgement is then not waited for.
func (h *Head) Suspend(zone structs.ZoneName, stopped bool) Head {
	next := h.clone()
	next.Suspended = slices.DeleteFunc(next.Suspended, func(z structs.ZoneName) bool { return z == zone })
	if stopped {
		next.Suspended = append(next.Suspended, zone)
	}
	return next
}

func (h *Head) clone() Head {
	next := *h
	next.Accepted = slices.Clone(h.Accepted)
	next.Pending = slices.Clone(h.Pending)
	next.Suspended = slices.Clone(h.Suspended)
	next.Decided = slices.Clone(h.Decided)
	return next
}

// Since returns the accepted rounds after a revision and reports whether the
// head still has all of them.
func (h *Head) Since(revision settings.Revision) ([]Accepted, bool) {
	if revision < h.Base || revision > h.Revision {
		return nil, false
	}
	return h.Accepted[len(h.Accepted)-int(h.Revision-revision):], true
}

// Replay applies accepted rounds to a document.
func Replay(document *settings.Document, rounds []Accepted) (*settings.Document, error) {
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

// Missing lists the zones of a document that have not acknowledged the
// undecided round. A suspended zone is not waited for.
func (h *Head) Missing(document *settings.Document, acknowledged []Acknowledgement) []structs.ZoneName {
	var missing []structs.ZoneName
	for _, place := range document.Zones {
		if slices.Contains(h.Suspended, place.Zone) {
			continue
		}
		has := func(a Acknowledgement) bool { return a.Zone == place.Zone && a.Round == h.Round }
		if !slices.ContainsFunc(acknowledged, has) {
			missing = append(missing, place.Zone)
		}
	}
	return missing
}
