package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// ownerFor is how long it is remembered who owns a job; an owner that is
	// asked in vain is looked up again at once.
	ownerFor = 30 * time.Second
	// trustFor is how long after a word of the store a daemon without a session
	// may say that no more is listed: what was read must be read again a second
	// later.
	trustFor = 800 * time.Millisecond
	// ownersMost bounds the owners that are remembered.
	ownersMost = 4096
	// peerWithin bounds a call to the owner beyond the wait that it is asked
	// for: a round trip between regions and the owner's turn.
	peerWithin = 500 * time.Millisecond
	// tellAttempts bounds the attempts to tell an owner that its job was ended.
	tellAttempts = 8
	// tellAgain is the pause between two attempts: a session is on the list
	// within that time of its start.
	tellAgain = 300 * time.Millisecond
)

type ownerEntry struct {
	own  ownRecord
	seen time.Time
}

// Results implements contract.Jobs.
func (s *service) Results(ctx context.Context, request contract.ResultsRequest) (contract.ResultsReply, error) {
	if reply, ok := s.ownResults(ctx, request); ok {
		return reply, nil
	}
	own, err := s.ownerOf(ctx, request.ID)
	if err != nil {
		return contract.ResultsReply{}, err
	}
	if address := s.addressOf(own.Owner); address != "" {
		var reply ResultsRPC
		err := s.call(ctx, address, "Results", request, &reply, request.Wait)
		if err == nil && reply.Known {
			return reply.Reply, nil
		}
		s.forgetOwner(request.ID)
	}
	return s.storedResults(ctx, request)
}

// ownResults reads the log of a job that this daemon owns; false when it does
// not.
func (s *service) ownResults(ctx context.Context, request contract.ResultsRequest) (contract.ResultsReply, bool) {
	found, ok := s.views.Load(request.ID)
	if !ok {
		return contract.ResultsReply{}, false
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	snapshot := found.(*kernel.Snapshot[jobView])
	for {
		view, replaced := snapshot.Watch()
		if view.lost {
			return contract.ResultsReply{}, false
		}
		whole := len(view.results) == view.total
		if len(view.results) > request.After || whole {
			return page(view.total, view.results, request.After), true
		}
		if view.ended || request.Wait == 0 {
			return page(view.total, view.results, request.After), s.isTrusted(view)
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

// isTrusted reports whether this daemon may say that there is no result at a
// position: another one that has taken the job over may have listed more. None can
// while this one has a session.
func (s *service) isTrusted(v *jobView) bool {
	if boottime.Since(v.verified) < trustFor {
		return true
	}
	view := s.session.View().Load()
	_, isLive := view.Live[view.Self.Name]
	_, isReached := s.ledger.ReachedSince()
	return isLive && isReached && s.session.HoldsLease()
}

func page(total int, results []batch.Result, after int) contract.ResultsReply {
	after = min(max(0, after), len(results))
	return contract.ResultsReply{Total: total, Results: results[after:]}
}

// storedResults reads a job's log from the store.
func (s *service) storedResults(ctx context.Context, request contract.ResultsRequest) (contract.ResultsReply, error) {
	log, err := s.keeper.logOf(ctx, request.ID)
	if err != nil {
		return contract.ResultsReply{}, s.unread(request.ID, err)
	}
	first, skipped := 0, 0
	for first < len(log.Chunks) && skipped+log.Chunks[first] <= request.After {
		skipped += log.Chunks[first]
		first++
	}
	results, err := s.keeper.results(ctx, request.ID, log.Log, first)
	if err != nil {
		return contract.ResultsReply{}, s.unread(request.ID, err)
	}
	return page(log.ItemCount, results, request.After-skipped), nil
}

// unread gives an error of the store its code: only an absence that the store
// has confirmed is one.
func (s *service) unread(id string, err error) error {
	if errors.Is(err, errGone) {
		return result.New(result.NotFound, "batch job %s", id)
	}
	return result.Wrap(result.StoreUnavailable, err)
}

// ownerOf finds out who owns a job. What is remembered serves while it is fresh.
func (s *service) ownerOf(ctx context.Context, id string) (ownRecord, error) {
	s.ownersMu.Lock()
	entry, ok := s.owners[id]
	s.ownersMu.Unlock()
	if ok && (entry.own.Ended || time.Since(entry.seen) < ownerFor) {
		return entry.own, nil
	}
	own, err := s.keeper.owner(ctx, id)
	if err != nil {
		if ok && !errors.Is(err, errGone) {
			// The owner of a moment ago is the best guess without the store.
			return entry.own, nil
		}
		return ownRecord{}, s.unread(id, err)
	}
	s.rememberOwner(id, own)
	return own, nil
}

// rememberOwner notes who owns a job, unless a later owner is known.
func (s *service) rememberOwner(id string, own ownRecord) {
	s.ownersMu.Lock()
	defer s.ownersMu.Unlock()
	if s.owners[id].own.revision > own.revision {
		return
	}
	if len(s.owners) >= ownersMost {
		clear(s.owners)
	}
	s.owners[id] = ownerEntry{own: own, seen: time.Now()}
}

func (s *service) forgetOwner(id string) {
	s.ownersMu.Lock()
	defer s.ownersMu.Unlock()
	if entry, ok := s.owners[id]; ok {
		entry.seen = time.Time{}
		s.owners[id] = entry
	}
}

// addressOf returns the address of a live daemon other than this one.
func (s *service) addressOf(owner string) string {
	view := s.session.View().Load()
	if owner == view.Self.Name {
		return ""
	}
	return view.Live[owner].RPCAddress
}

// ItemBody implements contract.Jobs.
func (s *service) ItemBody(ctx context.Context, id string, wanted batch.ItemID) ([]byte, error) {
	job, err := s.keeper.jobCached(ctx, id)
	if err != nil {
		return nil, s.unread(id, err)
	}
	for i := range job.Items {
		if job.Items[i].ID == wanted {
			return job.Items[i].Body, nil
		}
	}
	return nil, result.New(result.NotFound, "item %s of batch job %s", wanted, id)
}

// End implements contract.Jobs. An end that could not be written for its caller
// is written later all the same: the caller wants no more work done.
func (s *service) End(ctx context.Context, id string) error {
	err := s.end(ctx, id)
	if err != nil && result.CodeOf(err) != result.NotFound {
		s.log.WithError(err).WithField("job", id).Warn("The end of a batch job is not written yet.")
		s.workers.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, settleWithin)
			defer cancel()
			if err := s.end(ctx, id); err != nil {
				s.log.WithError(err).WithField("job", id).Warn("The end of a batch job was not written.")
			}
		})
	}
	return err
}

func (s *service) end(ctx context.Context, id string) error {
	pause := newPause()
	for {
		own, err := s.keeper.owner(ctx, id)
		if errors.Is(err, errGone) {
			return s.unread(id, err)
		}
		if err == nil && !own.Ended {
			next := own.Ownership
			next.Ended = true
			own, err = s.keeper.swapOwner(ctx, id, own, next)
		}
		if err == nil {
			s.tellEnded(id, own)
			return nil
		}
		wait := time.Duration(0)
		if !errors.Is(err, outside.ErrConflict) {
			wait = pause.NextBackOff()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return result.Wrap(result.StoreUnavailable, err)
		}
	}
}

// tellEnded lets the owner know at once; it would find out by itself later.
func (s *service) tellEnded(id string, own ownRecord) {
	s.rememberOwner(id, own)
	s.workers.Go(func(ctx context.Context) {
		if own.Owner == s.session.View().Load().Self.Name {
			if err := s.calls.Do(ctx, func() { s.endHere(id, own) }); err != nil {
				s.log.WithError(err).WithField("job", id).Warn("The end of an owned job was not taken in.")
			}
			return
		}
		for attempt := 0; attempt < tellAttempts && ctx.Err() == nil; attempt++ {
			if attempt > 0 {
				select {
				case <-time.After(tellAgain):
				case <-ctx.Done():
				}
			}
			// An owner that has just started may not be on the list yet.
			var err error = result.New(result.PeerUnreachable, "%s is not on the list", own.Owner)
			if address := s.addressOf(own.Owner); address != "" {
				var reply struct{}
				if err = s.call(ctx, address, "Ended", ownedOf(id, own), &reply, 0); err == nil {
					return
				}
			}
			s.log.WithError(err).WithField("job", id).Info("The owner was not told that its job was ended.")
		}
	})
}

// endHere ends a job on the control goroutine if it is owned here.
func (s *service) endHere(id string, own ownRecord) {
	if s.owned[id] == nil {
		// The job is being taken over: what was read of it may be older.
		if len(s.endedEarly) >= ownersMost {
			clear(s.endedEarly)
		}
		s.endedEarly[id] = own
	}
	if j := s.owned[id]; j != nil && own.Epoch == j.own.Epoch && !j.own.Ended {
		s.ended(j, own)
	}
}
