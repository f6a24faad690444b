package steps

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Failure is an error with its code in a reply; the zero value means success.
type Failure struct {
	Code   result.Code
	Detail string
}

func newFailure(err error) Failure {
	if err == nil {
		return Failure{}
	}
	coded := &result.Error{Code: result.CodeOf(err)}
	if !errors.As(err, &coded) {
		coded.Detail = err.Error()
	}
	return Failure{Code: coded.Code, Detail: coded.Detail}
}

// err returns the failure as an error, or nil.
func (f Failure) err() error {
	if f.Code == 0 {
		return nil
	}
	return result.New(f.Code, "%s", f.Detail)
}

// KeepArgs are the arguments of Steps.Keep.
type KeepArgs struct {
	// Holders are the host that already has a copy and the daemon called.
	Holders [step.HolderCount]structs.HostName
	Samples []structs.Sample
}

// KeepReply is the reply of Steps.Keep.
type KeepReply struct{ Failure Failure }

// OfferArgs are the arguments of Steps.Offer.
type OfferArgs struct {
	Workspace structs.WorkspaceName
	Offers    []step.Offer
}

// OfferReply is the reply of Steps.Offer.
type OfferReply struct {
	// Owner is false when the daemon called doesn't own the steps.
	Owner bool
	// Term is the owner's term.
	Term structs.Term
	// Standings are the statuses of the offered samples, in the order of the
	// offers.
	Standings []step.Standing
	// FirstKept is the oldest step that can still be delivered. Samples of older
	// steps can be deleted.
	FirstKept uint64
}

// SealArgs are the arguments of Steps.Seal.
type SealArgs struct {
	Workspace structs.WorkspaceName
	Step      uint64
	// Holds is the weight version that the trainer holds.
	Holds structs.WeightVersion
	// Hold is the maximum time to wait for samples. The owner caps it at maxHold.
	Hold time.Duration
}

// LoseArgs are the arguments of Steps.Lose.
type LoseArgs struct {
	Workspace structs.WorkspaceName
	Step      uint64
	// IDs are the samples whose bodies no holder has.
	IDs []structs.SampleID
}

// ListReply is the reply of Steps.Seal and Steps.Lose.
type ListReply struct {
	// Owner is false when the daemon called doesn't own the steps.
	Owner   bool
	Failure Failure
	// List is the encoded segment, as in the store.
	List []byte
}

// FetchArgs are the arguments of Steps.Fetch.
type FetchArgs struct {
	Step uint64
	IDs  []structs.SampleID
}

// FetchReply is the reply of Steps.Fetch: those of the samples that the daemon
// holds.
type FetchReply struct{ Samples []structs.Sample }

// AnnounceArgs are the arguments of Steps.Announce.
type AnnounceArgs struct {
	Workspace structs.WorkspaceName
	Owner     step.Owner
	Term      structs.Term
}

// AnnounceReply is the reply of Steps.Announce.
type AnnounceReply struct{}

// Receiver serves the calls of other daemons. It is registered for net/rpc as
// Steps.
type Receiver struct{ service *service }

// Keep stores copies of samples that another daemon holds.
func (r *Receiver) Keep(args *KeepArgs, reply *KeepReply) error {
	reply.Failure = newFailure(r.service.storeLocal(args))
	return nil
}

// Offer adds offers to the pool of a workspace that this daemon owns.
func (r *Receiver) Offer(args *OfferArgs, reply *OfferReply) error {
	*reply = r.service.acceptOffers(args)
	return nil
}

// Seal returns the list of a step. It seals the step if it is the next one, and
// waits for samples up to args.Hold.
func (r *Receiver) Seal(args *SealArgs, reply *ListReply) error {
	ctx, cancel := context.WithTimeout(r.service.ctx, min(args.Hold, maxHold))
	defer cancel()
	*reply = r.service.listReply(args.Workspace, func(sl *sealer) (step.SampleList, error) {
		return sl.waitForStep(ctx, args.Step, args.Holds)
	})
	return nil
}

// Lose marks samples of a step as lost and returns its list.
func (r *Receiver) Lose(args *LoseArgs, reply *ListReply) error {
	ctx, cancel := context.WithTimeout(r.service.ctx, writeTimeout)
	defer cancel()
	*reply = r.service.listReply(args.Workspace, func(sl *sealer) (step.SampleList, error) {
		return sl.markLost(ctx, args.Step, args.IDs)
	})
	return nil
}

// Fetch returns those of the samples of a sealed step that this daemon holds.
func (r *Receiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	reply.Samples = r.service.sampleStore.loadSealed(args.Step, args.IDs)
	return nil
}

// Announce records a new owner, to which this daemon then offers its samples.
func (r *Receiver) Announce(args *AnnounceArgs, _ *AnnounceReply) error {
	r.service.postAnnouncement(args)
	return nil
}

// listReply runs an operation on the sealer of a workspace and returns its list as
// a reply. The reply has Owner unset when this daemon isn't the owner.
func (s *service) listReply(workspace structs.WorkspaceName, operation func(*sealer) (step.SampleList, error)) ListReply {
	sl := (*s.owners.Load())[workspace].sealer
	if sl == nil {
		return ListReply{}
	}
	list, err := operation(sl)
	if err != nil {
		return ListReply{Owner: !sl.isClosed(), Failure: newFailure(err)}
	}
	value, err := encodeList(list)
	return ListReply{Owner: true, Failure: newFailure(err), List: value}
}
