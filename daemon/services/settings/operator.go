package settings

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// stageAttempts is how often a change is staged again after another
	// writer was first.
	stageAttempts = 12
	// decisionWait is how long an operator waits for the decision.
	decisionWait  = 30 * time.Second
	firstBackoff  = 20 * time.Millisecond
	longestBackup = 500 * time.Millisecond
)

// errMade means that the head holds the change already, or its decision, so
// that there is nothing to write.
var errMade = errors.New("settings: the change has been made before")

// CreateDocument implements contract.Operator.
func (s *service) CreateDocument(ctx context.Context, document *settings.Document) error {
	if err := document.Validate(); err != nil {
		return result.Wrap(result.ChangeInvalid, err)
	}
	whole, err := json.Marshal(document)
	if err != nil {
		return result.Wrap(result.ChangeInvalid, err)
	}
	store := s.clients.Platform().Store
	head := change.State{Revision: 1, Base: 1}
	value, err := json.Marshal(head)
	if err != nil {
		return result.Wrap(result.ChangeInvalid, err)
	}
	if _, err := store.CompareAndSwap(ctx, documentKey(head.Base), 0, whole, 0); err != nil {
		return codeOfStore(err)
	}
	_, err = store.CompareAndSwap(ctx, keyHead, 0, value, 0)
	return codeOfStore(err)
}

// SetZoneSuspended implements contract.Operator.
func (s *service) SetZoneSuspended(ctx context.Context, zone structs.ZoneName, stopped bool) error {
	return s.update(ctx, func(head *change.State, _ *settings.Document) (change.State, error) {
		return head.SetSuspended(zone, stopped), nil
	})
}

// Apply implements contract.Operator.
func (s *service) Apply(ctx context.Context, wanted settings.Change) (contract.ChangeOutcome, error) {
	begun := s.clock.Now()
	err := s.update(ctx, func(head *change.State, document *settings.Document) (change.State, error) {
		if wanted.SeenRound == 0 {
			// A write whose answer was lost must not be made again once its
			// decision is no longer kept.
			wanted.SeenRound = uint64(head.Round)
		}
		if _, decided := head.Decision(wanted.ID); decided || head.HasUndecided(wanted.ID) {
			return change.State{}, errMade
		}
		return head.Submit(wanted, document)
	})
	if err != nil && !errors.Is(err, errMade) {
		return contract.ChangeOutcome{ID: wanted.ID}, err
	}
	decision, err := s.awaitDecision(ctx, wanted.ID)
	if err != nil {
		return contract.ChangeOutcome{ID: wanted.ID}, err
	}
	outcome := contract.ChangeOutcome{
		ID:       wanted.ID,
		Accepted: decision.Accepted,
		Revision: decision.Revision,
		Missing:  decision.MissingZones,
		Seconds:  s.clock.Since(begun).Seconds(),
	}
	if !decision.Accepted {
		return outcome, result.New(result.ChangeWithdrawn, "change %s; missing: %v", wanted.ID, decision.MissingZones)
	}
	return outcome, nil
}

// update replaces the head by what next makes of it, as often as another
// writer comes first. When an answer is lost the change may have been made:
// next then finds the change in the head that it reads again, and says so by
// errMade, which update passes on.
func (s *service) update(ctx context.Context, next func(*change.State, *settings.Document) (change.State, error)) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstBackoff, longestBackup
	uncertain := false
	attempt := func() (struct{}, error) {
		err := s.updateOnce(ctx, next)
		uncertain = uncertain || errors.Is(err, outside.ErrUnavailable)
		if mayTryAgain(err) {
			return struct{}{}, err
		}
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, nil
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxTries(stageAttempts))
	if errors.Is(err, errMade) {
		return errMade
	}
	if err != nil && uncertain {
		return result.Wrap(result.ChangeUnknown, err)
	}
	return codeOfChange(err)
}

func mayTryAgain(err error) bool {
	return errors.Is(err, outside.ErrConflict) || errors.Is(err, outside.ErrRateLimited) ||
		errors.Is(err, outside.ErrUnavailable)
}

func (s *service) updateOnce(ctx context.Context, next func(*change.State, *settings.Document) (change.State, error)) error {
	store := s.clients.Platform().Store
	entry, err := store.Get(ctx, keyHead)
	if errors.Is(err, outside.ErrUnavailable) {
		return result.Wrap(result.StoreUnavailable, err)
	}
	if err != nil {
		return err
	}
	head, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	view := s.view.Load()
	document, err := documentOf(ctx, store, head, view.Document, view.Revision)
	if err != nil {
		return err
	}
	after, err := next(head, document)
	if err != nil {
		return err
	}
	value, err := json.Marshal(after)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, keyHead, entry.Revision, value, 0)
	return err
}

// awaitDecision watches the head until a change that it holds is decided.
func (s *service) awaitDecision(ctx context.Context, id settings.ChangeID) (change.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionWait)
	defer cancel()
	store := s.clients.Platform().Store
	var after outside.Revision
	for ctx.Err() == nil {
		changes, err := store.Watch(ctx, keyHead, after, watchWait)
		if err != nil {
			return change.Decision{}, result.Wrap(result.ChangeUnknown, err)
		}
		after = changes.Revision
		for _, entry := range changes.Entries {
			head, err := decodeHead(entry.Value)
			if err != nil {
				return change.Decision{}, result.Wrap(result.ChangeUnknown, err)
			}
			if decision, decided := head.Decision(id); decided {
				return decision, nil
			}
		}
	}
	return change.Decision{}, result.New(result.ChangeUnknown, "no decision on change %s yet", id)
}

// codeOfStore gives an error of a single write to the store its code.
func codeOfStore(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, outside.ErrConflict):
		return result.Wrap(result.ChangeConflict, err)
	case errors.Is(err, outside.ErrUnavailable):
		return result.Wrap(result.ChangeUnknown, err)
	default:
		return result.Wrap(result.StoreUnavailable, err)
	}
}

// codeOfChange gives an error of update its code.
func codeOfChange(err error) error {
	var coded *result.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &coded):
		return coded
	case errors.Is(err, settings.ErrInvalid):
		return result.Wrap(result.ChangeInvalid, err)
	case errors.Is(err, change.ErrConflict), errors.Is(err, change.ErrDecisionExpired), errors.Is(err, outside.ErrConflict):
		return result.Wrap(result.ChangeConflict, err)
	case errors.Is(err, outside.ErrNotFound):
		return result.New(result.ChangeInvalid, "there are no settings yet; create them first")
	default:
		return result.Wrap(result.StoreUnavailable, err)
	}
}
