package steps

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// maxOwners is how many owners in a row a request may find unreachable.
const maxOwners = 3

// Step implements contract.Steps. It waits for samples until ctx ends.
func (s *service) Step(ctx context.Context, request contract.StepRequest) (contract.StepReply, error) {
	if _, err := s.settings.LastKnownParameters(request.Workspace); err != nil {
		return contract.StepReply{}, err
	}
	list, err := s.list(ctx, request)
	if err != nil {
		return contract.StepReply{}, err
	}
	samples, missing := s.collect(ctx, list)
	if len(missing) > 0 {
		if list, err = s.lose(ctx, request, missing); err != nil {
			return contract.StepReply{}, err
		}
	}
	return replyOf(list, samples), nil
}

// replyOf hands over the samples that are not marked as lost, in the list's
// order.
func replyOf(list step.SampleList, samples map[structs.SampleID]structs.Sample) contract.StepReply {
	reply := contract.StepReply{Step: list.Step, SupplementTo: list.SupplementTo, Samples: make([]structs.Sample, 0, len(list.Entries))}
	for _, entry := range list.Entries {
		if entry.Lost {
			reply.Lost = append(reply.Lost, entry.ID)
			continue
		}
		reply.Samples = append(reply.Samples, samples[entry.ID])
	}
	return reply
}

// list returns the list of a step from its owner, which seals it when it is
// the next one.
func (s *service) list(ctx context.Context, request contract.StepRequest) (step.SampleList, error) {
	for {
		list, err := s.atOwner(ctx, request.Workspace, func(owner ownership) (ListReply, step.SampleList, error) {
			return s.askList(ctx, owner, request)
		})
		if result.CodeOf(err) != result.StepNotReady || !mayWait(ctx) {
			return list, err
		}
	}
}

// mayWait reports whether a request has time left for another wait.
func mayWait(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && ctx.Err() == nil && time.Until(deadline) > holdMargin
}

// lose marks samples as lost at the owner.
func (s *service) lose(ctx context.Context, request contract.StepRequest, ids []structs.SampleID) (step.SampleList, error) {
	return s.atOwner(ctx, request.Workspace, func(owner ownership) (ListReply, step.SampleList, error) {
		if owner.sealer != nil {
			list, err := owner.sealer.lose(ctx, request.Step, ids)
			return ListReply{Owner: !owner.sealer.isClosed()}, list, err
		}
		args := &LoseArgs{Workspace: request.Workspace, Step: request.Step, IDs: ids}
		return s.callList(ctx, owner, "Lose", args, writeLimit+holdGrace)
	})
}

// askList asks an owner for a list, for as long as it may hold a request.
func (s *service) askList(ctx context.Context, owner ownership, request contract.StepRequest) (ListReply, step.SampleList, error) {
	hold := holdLimit
	if deadline, ok := ctx.Deadline(); ok {
		hold = max(0, min(hold, time.Until(deadline)-holdMargin))
	}
	if owner.sealer != nil {
		holdCtx, cancel := context.WithTimeout(ctx, hold)
		defer cancel()
		list, err := owner.sealer.step(holdCtx, request.Step, request.HeldVersion)
		return ListReply{Owner: !owner.sealer.isClosed()}, list, err
	}
	args := &SealArgs{Workspace: request.Workspace, Step: request.Step, Holds: request.HeldVersion, Hold: hold}
	return s.callList(ctx, owner, "Seal", args, hold+writeLimit+holdGrace)
}

func (s *service) callList(ctx context.Context, owner ownership, method string, args any, limit time.Duration) (ListReply, step.SampleList, error) {
	reply, err := callWithin[ListReply](ctx, s, limit, owner.owner.Address, method, args)
	if err != nil && ctx.Err() != nil {
		return reply, step.SampleList{}, result.Wrap(result.SealUnknown, ctx.Err())
	}
	if err != nil {
		return reply, step.SampleList{}, err
	}
	if err := reply.Failure.err(); err != nil || !reply.Owner {
		return reply, step.SampleList{}, err
	}
	list, err := decodeList(reply.List)
	return reply, list, err
}

// atOwner runs ask with the owner of a workspace. An owner that cannot be
// reached or no longer is one is replaced, by this daemon if need be.
func (s *service) atOwner(ctx context.Context, workspace structs.WorkspaceName, ask func(ownership) (ListReply, step.SampleList, error)) (step.SampleList, error) {
	var suspect structs.Term
	var last error
	for range maxOwners {
		owner, err := s.locate(ctx, workspace, suspect, true)
		if err != nil {
			return step.SampleList{}, err
		}
		reply, list, err := ask(owner)
		if reply.Owner || ctx.Err() != nil {
			return list, err
		}
		suspect = owner.term
		last = err
	}
	return step.SampleList{}, result.New(result.PeerUnreachable, "the steps of %s changed owners: %v", workspace, last)
}
