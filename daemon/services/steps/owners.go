package steps

import (
	"context"
	"maps"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// ownership says who owns the steps of a workspace, as far as is known.
type ownership struct {
	owner step.Owner
	term  structs.Term
	// sealer is there when this daemon is the owner.
	sealer *sealer
}

// owners is the control state of this service, published as a snapshot.
type owners map[structs.WorkspaceName]ownership

// want asks the control goroutine for the owner of a workspace.
type want struct {
	workspace structs.WorkspaceName
	// suspect is the term of an owner that did not answer, or zero.
	suspect structs.Term
	// claim allows this daemon to take over.
	claim  bool
	answer chan located
}

// located answers a want.
type located struct {
	ownership ownership
	err       error
}

// loss tells the control goroutine that another daemon took over.
type loss struct {
	workspace structs.WorkspaceName
	term      structs.Term
}

// locate returns the owner of a workspace that is newer than a suspect term.
// With claim this daemon takes over when there is no such owner. It fails with
// code PeerUnreachable or StoreUnavailable.
func (s *service) locate(ctx context.Context, workspace structs.WorkspaceName, suspect structs.Term, claim bool) (ownership, error) {
	if known, ok := (*s.owners.Load())[workspace]; ok && known.term > suspect {
		return known, nil
	}
	asked := want{workspace: workspace, suspect: suspect, claim: claim, answer: make(chan located, 1)}
	if err := s.wants.Post(asked); err != nil {
		return ownership{}, result.Wrap(result.Overloaded, err)
	}
	select {
	case found := <-asked.answer:
		return found.ownership, found.err
	case <-s.loop.Done():
		return ownership{}, result.New(result.Stopping, "")
	case <-ctx.Done():
		return ownership{}, result.New(result.DueTimePassed, "the owner of the steps is not known yet")
	}
}

func (s *service) onWant(asked want) {
	if known, ok := s.owned[asked.workspace]; ok && known.term > asked.suspect {
		asked.answer <- located{ownership: known}
		return
	}
	s.waiting[asked.workspace] = append(s.waiting[asked.workspace], asked)
	if len(s.waiting[asked.workspace]) == 1 {
		s.look(asked)
	}
}

// look reads a workspace's head on a worker, and takes over when it must.
func (s *service) look(asked want) {
	kernel.RunAsync(s.workers, lookLimit, s.looked, func(ctx context.Context) (looked, error) {
		found, err := s.findOwner(ctx, asked)
		return looked{asked: asked, found: found}, err
	})
}

// looked is what a look came to.
type looked struct {
	asked want
	found ownership
}

func (s *service) onLooked(reply kernel.AsyncResult[looked]) {
	workspace := reply.Value.asked.workspace
	if reply.Err == nil {
		s.adopt(workspace, reply.Value.found)
	}
	waiting := s.waiting[workspace]
	delete(s.waiting, workspace)
	for _, asked := range waiting {
		covered := asked.suspect <= reply.Value.asked.suspect && (reply.Value.asked.claim || !asked.claim)
		if reply.Err != nil && covered {
			asked.answer <- located{err: reply.Err}
			continue
		}
		s.onWant(asked)
	}
}

// adopt publishes an owner unless a newer one is known.
func (s *service) adopt(workspace structs.WorkspaceName, found ownership) {
	known := s.owned[workspace]
	if found.term <= known.term {
		return
	}
	if known.sealer != nil {
		known.sealer.close()
	}
	s.owned[workspace] = found
	s.publish()
	if found.sealer != nil {
		s.log.Infof("Owning the steps of %s in term %d.", workspace, found.term)
		s.workers.Go(func(ctx context.Context) { s.announce(ctx, workspace, found) })
	}
}

// onAnnounced takes in an owner that was announced and has the samples held
// here offered to it.
func (s *service) onAnnounced(workspace structs.WorkspaceName, found ownership) {
	s.adopt(workspace, found)
	s.offerersMu.Lock()
	known := s.offerers[workspace]
	s.offerersMu.Unlock()
	if known != nil {
		known.renew()
	}
}

// onLoss forgets an owner, so that the head is read again.
func (s *service) onLoss(lost loss) {
	known, ok := s.owned[lost.workspace]
	if !ok || known.term != lost.term {
		return
	}
	if known.sealer != nil {
		known.sealer.close()
		s.log.Infof("Another daemon owns the steps of %s.", lost.workspace)
	}
	delete(s.owned, lost.workspace)
	s.publish()
}

func (s *service) publish() {
	view := maps.Clone(s.owned)
	s.owners.Publish(&view)
}
