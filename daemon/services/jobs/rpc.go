package jobs

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// rpcName is the receiver's name in net/rpc.
const rpcName = "Jobs"

// Receiver handles the net/rpc calls of other daemons.
type Receiver struct{ service *service }

// ResultsRPC is the reply to Results. Known is false when this daemon does not
// own the job or may not report the end of its log.
type ResultsRPC struct {
	Known bool
	Reply contract.ResultsReply
}

// Results reads the log of a job that this daemon owns.
func (r *Receiver) Results(request contract.ResultsRequest, reply *ResultsRPC) error {
	reply.Reply, reply.Known = r.service.readOwnResults(context.Background(), request)
	if !reply.Known {
		r.service.reconcileOwnership(request.ID)
	}
	return nil
}

// OwnedRPC is the ownership record of a job with its revision in the store.
type OwnedRPC struct {
	ID       string
	Own      batch.Ownership
	Revision uint64
	// Forward asks the receiver to pass the record on to its zone.
	Forward bool
}

func newOwnedRPC(id string, ownership ownershipRecord) OwnedRPC {
	return OwnedRPC{ID: id, Own: ownership.Ownership, Revision: uint64(ownership.revision)}
}

func (o OwnedRPC) record() ownershipRecord {
	return ownershipRecord{Ownership: o.Own, revision: outside.Revision(o.Revision)}
}

// Owned records that another daemon owns a job.
func (r *Receiver) Owned(request OwnedRPC, _ *struct{}) error {
	r.service.rememberOwner(request.ID, request.record())
	if request.Own.Owner == r.service.session.View().Load().Self.Name && !request.Own.Ended {
		r.service.reconcileOwnership(request.ID)
	}
	if request.Forward {
		request.Forward = false
		r.service.broadcaster.NotifyZone(rpcName+".Owned", request)
	}
	return nil
}

// announceOwner lets the daemons that are asked for a job's results know its
// owner. The first daemon of each zone passes it on to the others of its zone; a
// daemon that is missed reads the owner from the store.
func (s *service) announceOwner(j *job) {
	announcement := newOwnedRPC(j.ID, j.ownership)
	announcement.Forward = true
	s.broadcaster.NotifyZoneFirsts(rpcName+".Owned", announcement)
}

// Ended stops the work on a job that was ended.
func (r *Receiver) Ended(request OwnedRPC, _ *struct{}) error {
	ownership := request.record()
	return r.service.loopExecutor.Do(context.Background(), func() { r.service.endOwnedJob(request.ID, ownership) })
}

// AdoptRPC is the request of Adopt: the job that is handed over, with the texts
// of its unfinished items.
type AdoptRPC struct {
	ID    string
	Texts map[batch.ItemID]*contract.Text
}

// Adopt starts to run a job for which the store already names this daemon as
// the owner.
func (r *Receiver) Adopt(request AdoptRPC, _ *struct{}) error {
	s := r.service
	self := s.session.View().Load().Self.Name
	s.workers.Go(func(ctx context.Context) { s.adoptFromStore(ctx, request.ID, self, request.Texts) })
	return nil
}

// callPeer calls a method of another daemon's Receiver. The timeout is in
// addition to peerTimeout.
func (s *service) callPeer(ctx context.Context, address, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout+peerTimeout)
	defer cancel()
	return s.peers.Call(ctx, address, rpcName+"."+method, args, reply)
}
