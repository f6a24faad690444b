package steps

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// writeTimeout bounds the writes of a segment and its head. The writes continue
// when the trainer's request is cancelled, so that their outcome becomes known.
const writeTimeout = 3 * outside.CallTimeout

// seal seals the next step unless another request has sealed it meanwhile. It
// fails with code StepNotReady, PeerUnreachable, StoreUnavailable or SealUnknown,
// or with an error of contract.Settings.DecidedParameters.
func (sl *sealer) seal(ctx context.Context, number uint64, holds structs.WeightVersion) error {
	if !sl.acquireHead(ctx) {
		return result.New(result.StepNotReady, "another request is sealing")
	}
	defer sl.releaseHead()
	parameters, err := sl.service.settings.DecidedParameters(ctx, sl.workspace)
	if err != nil {
		return err
	}
	update, isSealed, err := sl.proposeStep(number, holds, parameters)
	if err != nil || isSealed {
		return err
	}
	if err := sl.writeUpdate(ctx, update); err != nil {
		return err
	}
	sl.service.metrics.Count("steps.sealed", 1)
	return nil
}

// proposeStep chooses the samples of the next step, unless it is sealed already.
func (sl *sealer) proposeStep(number uint64, holds structs.WeightVersion, parameters settings.ResolvedParameters) (update step.HeadUpdate, isSealed bool, err error) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.closed {
		return update, false, errNotOwner(sl.workspace)
	}
	if sl.pool.Head().LastSealed >= number {
		return update, true, nil
	}
	before := sl.pool.DropCounts()
	update, err = sl.pool.ProposeStep(sl.service.clock.Now(), holds, step.Bounds{
		MaxVersionLag: parameters.StalenessVersions,
		MaxAge:        parameters.StalenessAge,
		StepSamples:   parameters.StepSamples,
	})
	sl.reportDropped(before, sl.pool.DropCounts())
	return update, false, err
}

// reportDropped counts and logs the samples that were dropped as too stale.
func (sl *sealer) reportDropped(before, after step.DropCounts) {
	if before == after {
		return
	}
	metrics := sl.service.metrics
	metrics.Count("steps.dropped.by-version", int64(after.ByVersion-before.ByVersion))
	metrics.Count("steps.dropped.by-age", int64(after.ByAge-before.ByAge))
	metrics.Count("steps.dropped.by-floor", int64(after.ByFloor-before.ByFloor))
	sl.service.log.Infof("Dropped stale samples of %s: %d by version, %d by age, %d by birth floor since term %d began.",
		sl.workspace, after.ByVersion, after.ByAge, after.ByFloor, sl.term)
}

// markLost marks samples of a step as lost and returns the step's list. It fails
// with the errors of seal and of step.Pool.Find.
func (sl *sealer) markLost(ctx context.Context, number uint64, ids []structs.SampleID) (step.SampleList, error) {
	if !sl.acquireHead(ctx) {
		return step.SampleList{}, result.New(result.StepNotReady, "another request is sealing")
	}
	defer sl.releaseHead()
	for {
		sl.mu.Lock()
		update, changed, err := sl.pool.MarkLost(number, ids)
		sl.mu.Unlock()
		if err != nil {
			return step.SampleList{}, err
		}
		if !changed {
			list, _, err := sl.findStep(number)
			return list, err
		}
		if err := sl.writeUpdate(ctx, update); err != nil {
			return step.SampleList{}, err
		}
		sl.service.log.Warnf("Step %d of %s: marked %d samples as lost.", number, sl.workspace, len(ids))
	}
}

// writeUpdate writes the segment of an update and then the head that references
// it.
func (sl *sealer) writeUpdate(ctx context.Context, update step.HeadUpdate) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	started := sl.service.clock.Now()
	if err := sl.writeSegment(ctx, update.List); err != nil {
		sl.abandon(update)
		return result.Wrap(result.StoreUnavailable, err)
	}
	err := sl.writeHead(ctx, update.Head)
	if result.CodeOf(err) == result.StoreUnavailable {
		sl.abandon(update)
	}
	sl.service.metrics.Time("steps.seal", sl.service.clock.Since(started))
	return err
}

// abandon discards an update whose head was certainly not written.
func (sl *sealer) abandon(update step.HeadUpdate) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.pool.Abandon(update)
}

// writeSegment writes a list under a key that no other write uses. When the
// store's reply is lost, it checks that the key exists.
func (sl *sealer) writeSegment(ctx context.Context, list step.SampleList) error {
	store, key := sl.service.clients.Platform().Store, segmentKey(sl.workspace, list.Version)
	value, err := encodeList(list)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, key, 0, value, 0)
	if errors.Is(err, outside.ErrUnavailable) {
		_, err = store.Get(ctx, key)
	}
	return err
}

// writeHead replaces the head by compare-and-swap, which commits the update. When
// the outcome of the write is unknown, it reads the head back.
func (sl *sealer) writeHead(ctx context.Context, head step.Head) error {
	value, err := encodeHead(head)
	if err != nil {
		return result.Wrap(result.StoreUnavailable, err)
	}
	store := sl.service.clients.Platform().Store
	revision, err := store.CompareAndSwap(ctx, headKey(sl.workspace), sl.headRevision(), value, 0)
	switch {
	case err == nil:
		return sl.reconcile(head, revision)
	case errors.Is(err, outside.ErrUnavailable), errors.Is(err, outside.ErrConflict):
		return sl.readBackHead(ctx, store)
	default:
		return result.Wrap(result.StoreUnavailable, err)
	}
}

func (sl *sealer) headRevision() outside.Revision {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.revision
}

// readBackHead determines the outcome of a write from the head in the store. An
// unchanged head leaves the outcome unknown, because the write may still be in
// flight. When an earlier write turns out to have taken effect, it returns no
// error: the caller checks the state of the step again.
func (sl *sealer) readBackHead(ctx context.Context, store outside.Store) error {
	written, revision, err := readHead(ctx, store, sl.workspace)
	if err != nil {
		return result.Wrap(result.SealUnknown, err)
	}
	return sl.reconcile(written, revision)
}

// reconcile updates the pool with a head that was read from the store or written.
func (sl *sealer) reconcile(written step.Head, revision outside.Revision) error {
	sl.mu.Lock()
	verdict, unused := sl.pool.ReconcileHead(written)
	if verdict == step.Committed {
		sl.revision = revision
		sl.notifyLocked()
	}
	sl.mu.Unlock()
	switch verdict {
	case step.Superseded:
		sl.loseOwnership()
		return errNotOwner(sl.workspace)
	case step.Unchanged:
		return result.New(result.SealUnknown, "the write may still take effect")
	}
	sl.deleteSegments(unused)
	return nil
}

// deleteSegments deletes segments that the head no longer references. The next
// takeover deletes those that remain.
func (sl *sealer) deleteSegments(unused []step.Version) {
	if len(unused) == 0 {
		return
	}
	store := sl.service.clients.Platform().Store
	sl.service.workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(len(unused))*outside.CallTimeout)
		defer cancel()
		for _, version := range unused {
			key := segmentKey(sl.workspace, version)
			if entry, err := store.Get(ctx, key); err == nil {
				_ = store.Delete(ctx, key, entry.Revision)
			}
		}
	})
}
