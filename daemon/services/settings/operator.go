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
	// maxUpdateAttempts bounds the compare-and-swap attempts of one update of
	// the head.
	maxUpdateAttempts = 12
	// decisionTimeout is how long Apply waits for the decision on a change.
	decisionTimeout = 30 * time.Second
	initialBackoff  = 20 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
)

// errAlreadySubmitted means that the head already holds the change or its
// decision, so that there is nothing to write.
var errAlreadySubmitted = errors.New("settings: the change was already submitted")

// CreateDocument implements contract.Operator.
func (s *service) CreateDocument(ctx context.Context, document *settings.Document) error {
	if err := document.Validate(); err != nil {
		return result.Wrap(result.ChangeInvalid, err)
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return result.Wrap(result.ChangeInvalid, err)
	}
	store := s.clients.Platform().Store
	head := change.State{Revision: 1, Base: 1}
	value, err := json.Marshal(head)
	if err != nil {
		return result.Wrap(result.ChangeInvalid, err)
	}
	if _, err := store.CompareAndSwap(ctx, documentKey(head.Base), 0, encoded, 0); err != nil {
		return wrapStoreError(err)
	}
	_, err = store.CompareAndSwap(ctx, keyHead, 0, value, 0)
	return wrapStoreError(err)
}

// SetZoneSuspended implements contract.Operator.
func (s *service) SetZoneSuspended(ctx context.Context, zone structs.ZoneName, suspended bool) error {
	return s.update(ctx, func(head *change.State, _ *settings.Document) (change.State, error) {
		return head.SetSuspended(zone, suspended), nil
	})
}

// Apply implements contract.Operator.
func (s *service) Apply(ctx context.Context, requested settings.Change) (contract.ChangeOutcome, error) {
	startedAt := s.clock.Now()
	err := s.update(ctx, func(head *change.State, document *settings.Document) (change.State, error) {
		if requested.SeenRound == 0 {
			// The head's decision on a change expires. With SeenRound a retry
			// after a lost reply fails with change.ErrDecisionExpired then,
			// instead of applying the change twice.
			requested.SeenRound = uint64(head.Round)
		}
		if _, decided := head.Decision(requested.ID); decided || head.HasUndecided(requested.ID) {
			return change.State{}, errAlreadySubmitted
		}
		return head.Submit(requested, document)
	})
	if err != nil && !errors.Is(err, errAlreadySubmitted) {
		return contract.ChangeOutcome{ID: requested.ID}, err
	}
	decision, err := s.awaitDecision(ctx, requested.ID)
	if err != nil {
		return contract.ChangeOutcome{ID: requested.ID}, err
	}
	outcome := contract.ChangeOutcome{
		ID:       requested.ID,
		Accepted: decision.Accepted,
		Revision: decision.Revision,
		Missing:  decision.MissingZones,
		Seconds:  s.clock.Since(startedAt).Seconds(),
	}
	if !decision.Accepted {
		return outcome, result.New(result.ChangeWithdrawn, "change %s; missing: %v", requested.ID, decision.MissingZones)
	}
	return outcome, nil
}

// update replaces the head with the result of modify and retries after write
// conflicts and store failures. A write whose reply was lost may have taken
// effect: modify then finds the change in the head at the next attempt and
// returns errAlreadySubmitted, which update returns as it is. If the outcome
// stays unknown update fails with code ChangeUnknown.
func (s *service) update(ctx context.Context, modify func(*change.State, *settings.Document) (change.State, error)) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	outcomeUnknown := false
	attempt := func() (struct{}, error) {
		err := s.updateOnce(ctx, modify)
		outcomeUnknown = outcomeUnknown || errors.Is(err, outside.ErrUnavailable)
		if isRetryable(err) {
			return struct{}{}, err
		}
		if err != nil {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, nil
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxTries(maxUpdateAttempts))
	if errors.Is(err, errAlreadySubmitted) {
		return errAlreadySubmitted
	}
	if err != nil && outcomeUnknown {
		return result.Wrap(result.ChangeUnknown, err)
	}
	return wrapUpdateError(err)
}

func isRetryable(err error) bool {
	return errors.Is(err, outside.ErrConflict) || errors.Is(err, outside.ErrRateLimited) ||
		errors.Is(err, outside.ErrUnavailable)
}

func (s *service) updateOnce(ctx context.Context, modify func(*change.State, *settings.Document) (change.State, error)) error {
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
	document, err := documentAt(ctx, store, head, view.Document, view.Revision)
	if err != nil {
		return err
	}
	modified, err := modify(head, document)
	if err != nil {
		return err
	}
	value, err := json.Marshal(modified)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, keyHead, entry.Revision, value, 0)
	return err
}

// awaitDecision watches the head until it holds a decision on the change. It
// fails with code ChangeUnknown after decisionTimeout.
func (s *service) awaitDecision(ctx context.Context, id settings.ChangeID) (change.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	store := s.clients.Platform().Store
	var after outside.Revision
	for ctx.Err() == nil {
		changes, err := store.Watch(ctx, keyHead, after, watchTimeout)
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

// wrapStoreError adds the result code to an error of a single write to the
// store.
func wrapStoreError(err error) error {
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

// wrapUpdateError adds the result code to an error of update.
func wrapUpdateError(err error) error {
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
