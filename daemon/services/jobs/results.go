package jobs

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// ownerCacheTTL is how long a cached owner is used. An owner that does not
	// answer is looked up again at once.
	ownerCacheTTL = 30 * time.Second
	// maxReadAge is how long after a read of the store a daemon without a
	// session may report the end of a log. Readers must see results one second
	// after they were listed.
	maxReadAge = 800 * time.Millisecond
	// maxCachedOwners bounds the cached owners.
	maxCachedOwners = 4096
	// peerTimeout bounds a call to the owner in addition to the requested wait:
	// a round trip between regions and the processing there.
	peerTimeout = 500 * time.Millisecond
	// endNotifyAttempts bounds the attempts to notify an owner that its job was
	// ended.
	endNotifyAttempts = 8
	// endNotifyDelay is the delay between two attempts. A new session is listed
	// within that time.
	endNotifyDelay = 300 * time.Millisecond
)

type ownerEntry struct {
	ownership ownershipRecord
	readAt    time.Time
}

// Exists implements contract.Jobs.
func (s *service) Exists(ctx context.Context, scope access.Scope, id string) (bool, error) {
	if err := s.checkScope(ctx, scope, id); err != nil {
		return false, ignoreNotFound(err)
	}
	if _, isOwned := s.jobViews.Load(id); isOwned {
		return true, nil
	}
	_, err := s.lookUpOwner(ctx, id)
	return err == nil, ignoreNotFound(err)
}

func ignoreNotFound(err error) error {
	if result.CodeOf(err) == result.NotFound {
		return nil
	}
	return err
}

// Results implements contract.Jobs.
func (s *service) Results(ctx context.Context, scope access.Scope, request contract.ResultsRequest) (contract.ResultsReply, error) {
	if err := s.checkScope(ctx, scope, request.ID); err != nil {
		return contract.ResultsReply{}, err
	}
	if reply, ok := s.readOwnResults(ctx, request); ok {
		return reply, nil
	}
	ownership, err := s.lookUpOwner(ctx, request.ID)
	if err != nil {
		return contract.ResultsReply{}, err
	}
	if address := s.addressOf(ownership.Owner); address != "" {
		var reply ResultsRPC
		err := s.callPeer(ctx, address, "Results", request, &reply, request.Wait)
		if err == nil && reply.Known {
			return reply.Reply, nil
		}
		s.invalidateOwner(request.ID)
	}
	return s.readStoredResults(ctx, request)
}

// readOwnResults reads the log of a job that this daemon owns. It returns false
// if the daemon does not own the job or may not report the end of its log.
func (s *service) readOwnResults(ctx context.Context, request contract.ResultsRequest) (contract.ResultsReply, bool) {
	loaded, ok := s.jobViews.Load(request.ID)
	if !ok {
		return contract.ResultsReply{}, false
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	snapshot := loaded.(*kernel.Snapshot[jobView])
	for {
		view, replaced := snapshot.Watch()
		if view.isLost {
			return contract.ResultsReply{}, false
		}
		whole := len(view.results) == view.itemCount
		if len(view.results) > request.After || whole {
			return newResultsReply(view.itemCount, view.results, request.After), true
		}
		if view.isEnded || request.Wait == 0 {
			return newResultsReply(view.itemCount, view.results, request.After), s.mayReportEnd(view)
		}
		select {
		case <-replaced:
		case <-timer.C:
			request.Wait = 0
		case <-ctx.Done():
			request.Wait = 0
		}
	}
}

// mayReportEnd reports whether this daemon may answer that the log has no
// further results. A new owner may have listed more, but no daemon can take
// over the job while this one has a valid session.
func (s *service) mayReportEnd(log *jobView) bool {
	if boottime.Since(log.verifiedAt) < maxReadAge {
		return true
	}
	view := s.session.View().Load()
	_, isLive := view.Live[view.Self.Name]
	_, isReached := s.store.ReachedSince()
	return isLive && isReached && s.session.HoldsLease()
}

func newResultsReply(total int, results []batch.Result, after int) contract.ResultsReply {
	after = min(max(0, after), len(results))
	return contract.ResultsReply{Total: total, Results: results[after:]}
}

// readStoredResults reads a job's log from the store.
func (s *service) readStoredResults(ctx context.Context, request contract.ResultsRequest) (contract.ResultsReply, error) {
	log, err := s.jobStore.readLog(ctx, request.ID)
	if err != nil {
		return contract.ResultsReply{}, s.storeError(request.ID, err)
	}
	first, skipped := 0, 0
	for first < len(log.Chunks) && skipped+log.Chunks[first] <= request.After {
		skipped += log.Chunks[first]
		first++
	}
	results, err := s.jobStore.readResults(ctx, request.ID, log.Log, first)
	if err != nil {
		return contract.ResultsReply{}, s.storeError(request.ID, err)
	}
	return newResultsReply(log.ItemCount, results, request.After-skipped), nil
}

// storeError maps an error of the store to a result code. Only an absence that
// the store has confirmed is reported as not found.
func (s *service) storeError(id string, err error) error {
	if errors.Is(err, errNotFound) {
		return result.New(result.NotFound, "batch job %s", id)
	}
	return result.Wrap(result.StoreUnavailable, err)
}

// lookUpOwner returns the ownership record of a job, from the cache while the
// entry is fresh or if the job is ended.
func (s *service) lookUpOwner(ctx context.Context, id string) (ownershipRecord, error) {
	s.ownerCacheMu.Lock()
	entry, ok := s.ownerCache[id]
	s.ownerCacheMu.Unlock()
	if ok && (entry.ownership.Ended || time.Since(entry.readAt) < ownerCacheTTL) {
		return entry.ownership, nil
	}
	ownership, err := s.jobStore.readOwnership(ctx, id)
	if err != nil {
		if ok && !errors.Is(err, errNotFound) {
			// While the store is unreachable, the last known owner is the best
			// guess.
			return entry.ownership, nil
		}
		return ownershipRecord{}, s.storeError(id, err)
	}
	s.rememberOwner(id, ownership)
	return ownership, nil
}

// rememberOwner caches the ownership record of a job, unless a newer one is
// cached.
func (s *service) rememberOwner(id string, ownership ownershipRecord) {
	s.ownerCacheMu.Lock()
	defer s.ownerCacheMu.Unlock()
	known := s.ownerCache[id].ownership
	if known.revision > ownership.revision {
		return
	}
	// Records of earlier releases leave the workspace out, which never changes.
	ownership.Workspace = cmp.Or(ownership.Workspace, known.Workspace)
	if len(s.ownerCache) >= maxCachedOwners {
		clear(s.ownerCache)
	}
	s.ownerCache[id] = ownerEntry{ownership: ownership, readAt: time.Now()}
}

func (s *service) invalidateOwner(id string) {
	s.ownerCacheMu.Lock()
	defer s.ownerCacheMu.Unlock()
	if entry, ok := s.ownerCache[id]; ok {
		entry.readAt = time.Time{}
		s.ownerCache[id] = entry
	}
}

// addressOf returns the RPC address of another live daemon, or an empty string.
func (s *service) addressOf(owner string) string {
	view := s.session.View().Load()
	if owner == view.Self.Name {
		return ""
	}
	return view.Live[owner].RPCAddress
}

// ItemBody implements contract.Jobs.
func (s *service) ItemBody(ctx context.Context, scope access.Scope, id string, itemID batch.ItemID) ([]byte, error) {
	job, err := s.jobStore.readJobCached(ctx, id)
	if err != nil {
		return nil, s.storeError(id, err)
	}
	if err := s.visibilityError(id, scope.Sees(job.Workspace)); err != nil {
		return nil, err
	}
	for i := range job.Items {
		if job.Items[i].ID == itemID {
			return job.Items[i].Body, nil
		}
	}
	return nil, result.New(result.NotFound, "item %s of batch job %s", itemID, id)
}

// End implements contract.Jobs. If the end cannot be written within the
// caller's deadline, it is retried in the background, since the caller wants no
// further work done; the error is then OutcomeUnknown.
func (s *service) End(ctx context.Context, scope access.Scope, id string) error {
	if err := s.checkScope(ctx, scope, id); err != nil {
		return err
	}
	err := s.writeEnd(ctx, id)
	if err != nil && result.CodeOf(err) != result.NotFound {
		s.log.WithError(err).WithField("job", id).Warn("Could not write the end of a batch job; retrying.")
		s.workers.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, resolutionTimeout)
			defer cancel()
			if err := s.writeEnd(ctx, id); err != nil {
				s.log.WithError(err).WithField("job", id).Warn("Could not write the end of a batch job.")
			}
		})
		return result.Wrap(result.OutcomeUnknown, err)
	}
	return err
}

func (s *service) writeEnd(ctx context.Context, id string) error {
	retryBackoff := newRetryBackoff()
	for {
		ownership, err := s.jobStore.readOwnership(ctx, id)
		if errors.Is(err, errNotFound) {
			return s.storeError(id, err)
		}
		if err == nil && !ownership.Ended {
			next := ownership.Ownership
			next.Ended = true
			ownership, err = s.jobStore.swapOwnership(ctx, id, ownership, next)
		}
		if err == nil {
			s.notifyOwnerOfEnd(id, ownership)
			return nil
		}
		delay := time.Duration(0)
		if !errors.Is(err, outside.ErrConflict) {
			delay = retryBackoff.NextBackOff()
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return result.Wrap(result.StoreUnavailable, err)
		}
	}
}

// notifyOwnerOfEnd notifies the owner of a job that the job was ended. Without
// the notification the owner learns it from its next ownership check.
func (s *service) notifyOwnerOfEnd(id string, ownership ownershipRecord) {
	s.rememberOwner(id, ownership)
	s.workers.Go(func(ctx context.Context) {
		if ownership.Owner == s.session.View().Load().Self.Name {
			if err := s.loopExecutor.Do(ctx, func() { s.endOwnedJob(id, ownership) }); err != nil {
				s.log.WithError(err).WithField("job", id).Warn("Could not end an owned batch job.")
			}
			return
		}
		for attempt := 0; attempt < endNotifyAttempts && ctx.Err() == nil; attempt++ {
			if attempt > 0 {
				select {
				case <-time.After(endNotifyDelay):
				case <-ctx.Done():
				}
			}
			// An owner that has just started may not be listed yet.
			var err error = result.New(result.PeerUnreachable, "%s is not on the list", ownership.Owner)
			if address := s.addressOf(ownership.Owner); address != "" {
				var reply struct{}
				if err = s.callPeer(ctx, address, "Ended", newOwnedRPC(id, ownership), &reply, 0); err == nil {
					return
				}
			}
			s.log.WithError(err).WithField("job", id).Info("Could not notify the owner of an ended batch job.")
		}
	})
}

// endOwnedJob ends a job that this daemon owns. It runs on the control
// goroutine.
func (s *service) endOwnedJob(id string, ownership ownershipRecord) {
	if s.ownedJobs[id] == nil {
		// The job may be about to be adopted from an older read of the store.
		if len(s.earlyEnds) >= maxCachedOwners {
			clear(s.earlyEnds)
		}
		s.earlyEnds[id] = ownership
	}
	if j := s.ownedJobs[id]; j != nil && ownership.Epoch == j.ownership.Epoch && !j.ownership.Ended {
		s.markEnded(j, ownership)
	}
}
