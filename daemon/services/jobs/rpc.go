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

// Receiver takes calls of other daemons.
type Receiver struct{ service *service }

// ResultsRPC is the reply to Results; Known is false when this daemon does not
// own the job.
type ResultsRPC struct {
	Known bool
	Reply contract.ResultsReply
}

// Results reads the log of a job that this daemon owns.
func (r *Receiver) Results(request contract.ResultsRequest, reply *ResultsRPC) error {
	reply.Reply, reply.Known = r.service.ownResults(context.Background(), request)
	return nil
}

// OwnedRPC is the ownership record of a job.
type OwnedRPC struct {
	ID       string
	Own      batch.Ownership
	Revision uint64
}

func ownedOf(id string, own ownRecord) OwnedRPC {
	return OwnedRPC{ID: id, Own: own.Ownership, Revision: uint64(own.revision)}
}

func (o OwnedRPC) record() ownRecord {
	return ownRecord{Ownership: o.Own, revision: outside.Revision(o.Revision)}
}

// Owned notes that another daemon has taken a job over.
func (r *Receiver) Owned(request OwnedRPC, _ *struct{}) error {
	r.service.rememberOwner(request.ID, request.record())
	return nil
}

// Ended stops the work on a job that was ended.
func (r *Receiver) Ended(request OwnedRPC, _ *struct{}) error {
	own := request.record()
	return r.service.calls.Do(context.Background(), func() { r.service.endHere(request.ID, own) })
}

// AdoptRPC hands a job over, with the texts of its unfinished items.
type AdoptRPC struct {
	ID    string
	Texts map[batch.ItemID]*contract.GeneratedText
}

// Adopt takes a job over that the store already gives to this daemon.
func (r *Receiver) Adopt(request AdoptRPC, _ *struct{}) error {
	s := r.service
	self := s.session.View().Load().Self.Name
	s.workers.Go(func(ctx context.Context) { s.take(ctx, request.ID, self, request.Texts) })
	return nil
}

// call makes a call to another daemon's receiver.
func (s *service) call(ctx context.Context, address, method string, args, reply any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerWithin)
	defer cancel()
	return s.peers.Call(ctx, address, rpcName+"."+method, args, reply)
}
