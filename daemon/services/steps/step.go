package steps

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// maxOwnerAttempts is the number of successive owners that a request tries.
const maxOwnerAttempts = 3

// Step implements contract.Steps. It waits for samples until ctx ends. Samples
// whose bodies no holder has are marked as lost.
func (s *service) Step(ctx context.Context, request contract.StepRequest) (contract.StepReply, error) {
	if _, err := s.settings.LastKnownParameters(request.Workspace); err != nil {
		return contract.StepReply{}, err
	}
	list, err := s.sealedList(ctx, request)
	if err != nil {
		return contract.StepReply{}, err
	}
	samples, missing := s.fetchBodies(ctx, list)
	if len(missing) > 0 {
		if list, err = s.markLost(ctx, request, missing); err != nil {
			return contract.StepReply{}, err
		}
	}
	return newStepReply(list, samples), nil
}

// newStepReply returns a reply with the samples that are not marked as lost, in
// the order of the list, and the ids of those that are.
func newStepReply(list step.SampleList, samples map[structs.SampleID]structs.Sample) contract.StepReply {
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

// sealedList returns the list of a step from its owner, which seals the step if it
// is the next one. The owner holds a call for at most maxHold, so calls are
// repeated until shortly before the request's deadline.
func (s *service) sealedList(ctx context.Context, request contract.StepRequest) (step.SampleList, error) {
	for {
		list, err := s.withOwner(ctx, request.Workspace, func(owner ownership) (ListReply, step.SampleList, error) {
			return s.requestList(ctx, owner, request)
		})
		if result.CodeOf(err) != result.StepNotReady || !hasTimeToWait(ctx) {
			return list, err
		}
	}
}

// hasTimeToWait reports whether a request has time left for another call.
func hasTimeToWait(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && ctx.Err() == nil && time.Until(deadline) > replyMargin
}

// markLost marks samples of a step as lost at the owner.
func (s *service) markLost(ctx context.Context, request contract.StepRequest, ids []structs.SampleID) (step.SampleList, error) {
	return s.withOwner(ctx, request.Workspace, func(owner ownership) (ListReply, step.SampleList, error) {
		if owner.sealer != nil {
			list, err := owner.sealer.markLost(ctx, request.Step, ids)
			return ListReply{Owner: !owner.sealer.isClosed()}, list, err
		}
		args := &LoseArgs{Workspace: request.Workspace, Step: request.Step, IDs: ids}
		return s.callList(ctx, owner, "Lose", args, writeTimeout+replyGrace)
	})
}

// requestList requests a list from an owner, which may hold the request for up to
// maxHold.
func (s *service) requestList(ctx context.Context, owner ownership, request contract.StepRequest) (ListReply, step.SampleList, error) {
	hold := maxHold
	if deadline, ok := ctx.Deadline(); ok {
		hold = max(0, min(hold, time.Until(deadline)-replyMargin))
	}
	if owner.sealer != nil {
		holdCtx, cancel := context.WithTimeout(ctx, hold)
		defer cancel()
		list, err := owner.sealer.waitForStep(holdCtx, request.Step, request.HeldVersion)
		return ListReply{Owner: !owner.sealer.isClosed()}, list, err
	}
	args := &SealArgs{Workspace: request.Workspace, Step: request.Step, Holds: request.HeldVersion, Hold: hold}
	return s.callList(ctx, owner, "Seal", args, hold+writeTimeout+replyGrace)
}

func (s *service) callList(ctx context.Context, owner ownership, method string, args any, timeout time.Duration) (ListReply, step.SampleList, error) {
	reply, err := callPeer[ListReply](ctx, s, timeout, owner.owner.Address, method, args)
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

// withOwner runs call with the owner of a workspace. When an owner can't be
// reached or is no longer the owner, call runs again with its successor, which may
// be this daemon.
func (s *service) withOwner(ctx context.Context, workspace structs.WorkspaceName, call func(ownership) (ListReply, step.SampleList, error)) (step.SampleList, error) {
	var failedTerm structs.Term
	var lastErr error
	for range maxOwnerAttempts {
		owner, err := s.locateOwner(ctx, workspace, failedTerm, true)
		if err != nil {
			return step.SampleList{}, err
		}
		reply, list, err := call(owner)
		if reply.Owner || ctx.Err() != nil {
			return list, err
		}
		failedTerm = owner.term
		lastErr = err
	}
	return step.SampleList{}, result.New(result.PeerUnreachable, "the steps of %s changed owners: %v", workspace, lastErr)
}
