package steps

import (
	"context"
	"maps"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// ownership is the last known owner of the steps of a workspace.
type ownership struct {
	owner step.Owner
	term  structs.Term
	// sealer is set only when this daemon is the owner.
	sealer *sealer
}

// owners maps workspaces to their last known owners. It is the control state of
// this service and published as a snapshot.
type owners map[structs.WorkspaceName]ownership

// ownerRequest asks the control goroutine for the owner of a workspace.
type ownerRequest struct {
	workspace structs.WorkspaceName
	// failedTerm is the term of an owner that could not be reached or no longer
	// is the owner, or zero.
	failedTerm structs.Term
	// takeOver allows this daemon to become the owner.
	takeOver bool
	reply    chan ownerResult
}

// ownerResult is the reply to an ownerRequest.
type ownerResult struct {
	ownership ownership
	err       error
}

// ownershipLoss reports to the control goroutine that the owner of a term could
// not be reached or was replaced.
type ownershipLoss struct {
	workspace structs.WorkspaceName
	term      structs.Term
}

// locateOwner returns the owner of a workspace whose term is newer than
// failedTerm. With takeOver, this daemon becomes the owner when there is none. It
// fails with code PeerUnreachable or StoreUnavailable, or with Overloaded,
// Stopping or DueTimePassed while it waits for the control goroutine.
func (s *service) locateOwner(ctx context.Context, workspace structs.WorkspaceName, failedTerm structs.Term, takeOver bool) (ownership, error) {
	if known, ok := (*s.owners.Load())[workspace]; ok && known.term > failedTerm {
		return known, nil
	}
	request := ownerRequest{workspace: workspace, failedTerm: failedTerm, takeOver: takeOver, reply: make(chan ownerResult, 1)}
	if err := s.ownerRequests.Post(request); err != nil {
		return ownership{}, result.Wrap(result.Overloaded, err)
	}
	select {
	case found := <-request.reply:
		return found.ownership, found.err
	case <-s.loop.Done():
		return ownership{}, result.New(result.Stopping, "")
	case <-ctx.Done():
		return ownership{}, result.New(result.DueTimePassed, "the owner of the steps is not known yet")
	}
}

// onOwnerRequest replies from the known owners or queues the request. A workspace
// has at most one lookup at a time.
func (s *service) onOwnerRequest(request ownerRequest) {
	if known, ok := s.knownOwners[request.workspace]; ok && known.term > request.failedTerm {
		request.reply <- ownerResult{ownership: known}
		return
	}
	s.pendingRequests[request.workspace] = append(s.pendingRequests[request.workspace], request)
	if len(s.pendingRequests[request.workspace]) == 1 {
		s.lookUpOwner(request)
	}
}

// lookUpOwner finds the owner on a worker.
func (s *service) lookUpOwner(request ownerRequest) {
	kernel.RunAsync(s.workers, lookupTimeout, s.ownerLookups, func(ctx context.Context) (ownerLookup, error) {
		found, err := s.findOwner(ctx, request)
		return ownerLookup{request: request, owner: found}, err
	})
}

// ownerLookup is the result of lookUpOwner.
type ownerLookup struct {
	request ownerRequest
	owner   ownership
}

// onOwnerLookup replies to the pending requests of a workspace. An error goes to
// the requests that the lookup covered; the others are handled again.
func (s *service) onOwnerLookup(reply kernel.AsyncResult[ownerLookup]) {
	workspace := reply.Value.request.workspace
	if reply.Err == nil {
		s.setOwner(workspace, reply.Value.owner)
	}
	pending := s.pendingRequests[workspace]
	delete(s.pendingRequests, workspace)
	for _, request := range pending {
		covered := request.failedTerm <= reply.Value.request.failedTerm && (reply.Value.request.takeOver || !request.takeOver)
		if reply.Err != nil && covered {
			request.reply <- ownerResult{err: reply.Err}
			continue
		}
		s.onOwnerRequest(request)
	}
}

// setOwner publishes an owner unless one of the same or a newer term is known. It
// closes the sealer of an older term and announces this daemon if it is the owner.
func (s *service) setOwner(workspace structs.WorkspaceName, newOwner ownership) {
	known := s.knownOwners[workspace]
	if newOwner.term <= known.term {
		return
	}
	if known.sealer != nil {
		known.sealer.close()
	}
	s.knownOwners[workspace] = newOwner
	s.publishOwners()
	if newOwner.sealer != nil {
		s.log.Infof("Owning the steps of %s in term %d.", workspace, newOwner.term)
		s.workers.Go(func(ctx context.Context) { s.announceOwner(ctx, workspace, newOwner) })
	}
}

// onAnnouncement records an announced owner and makes the offerer send it the
// offers of this host.
func (s *service) onAnnouncement(workspace structs.WorkspaceName, newOwner ownership) {
	s.setOwner(workspace, newOwner)
	s.offerersMu.Lock()
	o := s.offerers[workspace]
	s.offerersMu.Unlock()
	if o != nil {
		o.notifyOwnerChanged()
	}
}

// onOwnershipLoss removes a known owner, so that the next lookup reads the head.
func (s *service) onOwnershipLoss(loss ownershipLoss) {
	known, ok := s.knownOwners[loss.workspace]
	if !ok || known.term != loss.term {
		return
	}
	if known.sealer != nil {
		known.sealer.close()
		s.log.Infof("Lost ownership of the steps of %s.", loss.workspace)
	}
	delete(s.knownOwners, loss.workspace)
	s.publishOwners()
}

func (s *service) publishOwners() {
	view := maps.Clone(s.knownOwners)
	s.owners.Publish(&view)
}
