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

// writeLimit bounds the writing of a segment and its head. The writes go on
// when the trainer that asked goes away, so that their outcome gets known.
const writeLimit = 3 * outside.CallTimeout

// seal seals the next step unless another request has sealed it meanwhile. It
// fails with code StepNotReady, StoreUnavailable, SealUnknown or that of
// contract.Settings.Acquire.
func (sl *sealer) seal(ctx context.Context, number uint64, holds structs.WeightVersion) error {
	if !sl.acquire(ctx) {
		return result.New(result.StepNotReady, "another request is sealing")
	}
	defer sl.release()
	parameters, err := sl.service.settings.DecidedParameters(ctx, sl.workspace)
	if err != nil {
		return err
	}
	made, isSealed, err := sl.propose(number, holds, parameters)
	if err != nil || isSealed {
		return err
	}
	if err := sl.write(ctx, made); err != nil {
		return err
	}
	sl.service.metrics.Count("steps.sealed", 1)
	return nil
}

func (sl *sealer) propose(number uint64, holds structs.WeightVersion, parameters settings.ResolvedParameters) (made step.HeadUpdate, isSealed bool, err error) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.closed {
		return made, false, errNotOwner(sl.workspace)
	}
	if sl.decide.Head().LastSealed >= number {
		return made, true, nil
	}
	before := sl.decide.DropCounts()
	made, err = sl.decide.ProposeStep(sl.service.clock.Now(), holds, step.Bounds{
		MaxVersionLag: parameters.StalenessVersions,
		MaxAge:        parameters.StalenessAge,
		StepSamples:   parameters.StepSamples,
	})
	sl.countDropped(before, sl.decide.DropCounts())
	return made, false, err
}

// countDropped tells operators of samples that were too stale.
func (sl *sealer) countDropped(before, after step.DropCounts) {
	if before == after {
		return
	}
	metrics := sl.service.metrics
	metrics.Count("steps.dropped.by-version", int64(after.ByVersion-before.ByVersion))
	metrics.Count("steps.dropped.by-age", int64(after.ByAge-before.ByAge))
	metrics.Count("steps.dropped.by-floor", int64(after.ByFloor-before.ByFloor))
	sl.service.log.Infof("Dropped stale samples of %s: %d by version, %d by age, %d by the floor since term %d began.",
		sl.workspace, after.ByVersion, after.ByAge, after.ByFloor, sl.term)
}

// lose marks samples of a step as lost and returns its list. It fails like
// seal and like step.Pool.Find.
func (sl *sealer) lose(ctx context.Context, number uint64, ids []structs.SampleID) (step.SampleList, error) {
	if !sl.acquire(ctx) {
		return step.SampleList{}, result.New(result.StepNotReady, "another request is sealing")
	}
	defer sl.release()
	for {
		sl.mu.Lock()
		made, changed, err := sl.decide.MarkLost(number, ids)
		sl.mu.Unlock()
		if err != nil {
			return step.SampleList{}, err
		}
		if !changed {
			list, _, err := sl.find(number)
			return list, err
		}
		if err := sl.write(ctx, made); err != nil {
			return step.SampleList{}, err
		}
		sl.service.log.Warnf("Step %d of %s lost %d samples.", number, sl.workspace, len(ids))
	}
}

// write writes the segment of an attempt and then the head that points to it.
func (sl *sealer) write(ctx context.Context, made step.HeadUpdate) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeLimit)
	defer cancel()
	begun := sl.service.clock.Now()
	if err := sl.writeSegment(ctx, made.List); err != nil {
		sl.abandon(made)
		return result.Wrap(result.StoreUnavailable, err)
	}
	err := sl.writeHead(ctx, made.Head)
	if result.CodeOf(err) == result.StoreUnavailable {
		sl.abandon(made)
	}
	sl.service.metrics.Time("steps.seal", sl.service.clock.Since(begun))
	return err
}

// abandon forgets an attempt whose head was certainly not written.
func (sl *sealer) abandon(made step.HeadUpdate) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.decide.Abandon(made)
}

// writeSegment writes a list under a key that no other write uses.
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

// writeHead replaces the head; that is the seal. When the write's answer does
// not settle what happened, the head is read back.
func (sl *sealer) writeHead(ctx context.Context, head step.Head) error {
	value, err := encodeHead(head)
	if err != nil {
		return result.Wrap(result.StoreUnavailable, err)
	}
	store := sl.service.clients.Platform().Store
	revision, err := store.CompareAndSwap(ctx, headKey(sl.workspace), sl.expected(), value, 0)
	switch {
	case err == nil:
		return sl.settle(head, revision)
	case errors.Is(err, outside.ErrUnavailable), errors.Is(err, outside.ErrConflict):
		return sl.readBack(ctx, store)
	default:
		return result.Wrap(result.StoreUnavailable, err)
	}
}

func (sl *sealer) expected() outside.Revision {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.revision
}

// readBack settles a write by the head that is in the store now. A head that
// has not changed settles nothing, because the write may still be on its way.
// An earlier write that turns out to have taken effect is no failure: the
// caller looks at the state again.
func (sl *sealer) readBack(ctx context.Context, store outside.Store) error {
	written, revision, err := readHead(ctx, store, sl.workspace)
	if err != nil {
		return result.Wrap(result.SealUnknown, err)
	}
	return sl.settle(written, revision)
}

// settle takes in a head that is known to be in the store.
func (sl *sealer) settle(written step.Head, revision outside.Revision) error {
	sl.mu.Lock()
	verdict, unused := sl.decide.ReconcileHead(written)
	if verdict == step.Committed {
		sl.revision = revision
		sl.wake()
	}
	sl.mu.Unlock()
	switch verdict {
	case step.Superseded:
		sl.overtaken()
		return errNotOwner(sl.workspace)
	case step.Unchanged:
		return result.New(result.SealUnknown, "the write may still take effect")
	}
	sl.deleteSegments(unused)
	return nil
}

// deleteSegments removes segments that the head no longer points to. What it
// misses is removed at the next take-over.
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
