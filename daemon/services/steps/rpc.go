package steps

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Failure carries a coded error in a reply; the zero value means none.
type Failure struct {
	Code   result.Code
	Detail string
}

func failureOf(err error) Failure {
	if err == nil {
		return Failure{}
	}
	coded := &result.Error{Code: result.CodeOf(err)}
	if !errors.As(err, &coded) {
		coded.Detail = err.Error()
	}
	return Failure{Code: coded.Code, Detail: coded.Detail}
}

// err returns the carried error, or nil.
func (f Failure) err() error {
	if f.Code == 0 {
		return nil
	}
	return result.New(f.Code, "%s", f.Detail)
}

// KeepArgs are the arguments of Steps.Keep.
type KeepArgs struct {
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
	// Owner is false when the daemon asked does not own the steps.
	Owner     bool
	Term      structs.Term
	Standings []step.SampleStatus
	// FirstKept is the oldest step that is still handed over.
	FirstKept uint64
}

// SealArgs are the arguments of Steps.Seal.
type SealArgs struct {
	Workspace structs.WorkspaceName
	Step      uint64
	Holds     structs.WeightVersion
	// Hold is how long to wait for samples.
	Hold time.Duration
}

// LoseArgs are the arguments of Steps.Lose.
type LoseArgs struct {
	Workspace structs.WorkspaceName
	Step      uint64
	IDs       []structs.SampleID
}

// ListReply is the reply of Steps.Seal and Steps.Lose.
type ListReply struct {
	// Owner is false when the daemon asked does not own the steps.
	Owner   bool
	Failure Failure
	// List is a segment as it is in the store.
	List []byte
}

// FetchArgs are the arguments of Steps.Fetch.
type FetchArgs struct {
	Step uint64
	IDs  []structs.SampleID
}

// FetchReply is the reply of Steps.Fetch: those samples that are there.
type FetchReply struct{ Samples []structs.Sample }

// AnnounceArgs are the arguments of Steps.Announce.
type AnnounceArgs struct {
	Workspace structs.WorkspaceName
	Owner     step.Owner
	Term      structs.Term
}

// AnnounceReply is the reply of Steps.Announce.
type AnnounceReply struct{}

// Receiver takes the calls of other daemons under the name Steps.
type Receiver struct{ service *service }

// Keep holds samples that another daemon took in.
func (r *Receiver) Keep(args *KeepArgs, reply *KeepReply) error {
	reply.Failure = failureOf(r.service.keep(args))
	return nil
}

// Offer takes in offers for a workspace that this daemon owns.
func (r *Receiver) Offer(args *OfferArgs, reply *OfferReply) error {
	*reply = r.service.takeOffers(args)
	return nil
}

// Seal returns the list of a step, and seals it when it is the next one.
func (r *Receiver) Seal(args *SealArgs, reply *ListReply) error {
	ctx, cancel := context.WithTimeout(r.service.ctx, min(args.Hold, holdLimit))
	defer cancel()
	*reply = r.service.answerList(args.Workspace, func(sl *sealer) (step.SampleList, error) {
		return sl.step(ctx, args.Step, args.Holds)
	})
	return nil
}

// Lose marks samples of a step as lost and returns its list.
func (r *Receiver) Lose(args *LoseArgs, reply *ListReply) error {
	ctx, cancel := context.WithTimeout(r.service.ctx, writeLimit)
	defer cancel()
	*reply = r.service.answerList(args.Workspace, func(sl *sealer) (step.SampleList, error) {
		return sl.lose(ctx, args.Step, args.IDs)
	})
	return nil
}

// Fetch returns the samples of a sealed step that this daemon holds.
func (r *Receiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	reply.Samples = r.service.holdings.fetch(args.Step, args.IDs)
	return nil
}

// Announce tells of a new owner, to whom the samples held here are offered.
func (r *Receiver) Announce(args *AnnounceArgs, _ *AnnounceReply) error {
	r.service.heard(args)
	return nil
}

// answerList runs decide on the pool of a workspace that this daemon owns.
func (s *service) answerList(workspace structs.WorkspaceName, decide func(*sealer) (step.SampleList, error)) ListReply {
	owned := (*s.owners.Load())[workspace].sealer
	if owned == nil {
		return ListReply{}
	}
	list, err := decide(owned)
	if err != nil {
		return ListReply{Owner: !owned.isClosed(), Failure: failureOf(err)}
	}
	value, err := encodeList(list)
	return ListReply{Owner: true, Failure: failureOf(err), List: value}
}
