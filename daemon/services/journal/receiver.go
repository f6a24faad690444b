package journal

import (
	"context"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// Receiver serves the calls of other daemons under the name Journal.
type Receiver struct{ service *service }

// Submit runs a forwarded submission if this daemon owns its bucket. Errors are
// part of the reply.
func (r *Receiver) Submit(args *SubmitArgs, reply *SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Remaining)
	defer cancel()
	request := submission{
		SubmitRequest: contract.SubmitRequest{Workspace: args.Workspace, Path: args.Path, Key: args.Key, Body: args.Body},
		isRetry:       args.Again,
	}
	submitReply, err := r.service.runForwarded(ctx, args, request)
	if errors.Is(err, errOwnerChanged) || errors.Is(err, errStoreUnreachable) {
		// The caller may reach the store and claim the bucket itself.
		reply.Denied = true
		return nil
	}
	reply.setResult(submitReply, err)
	return nil
}

// runForwarded runs a submission. It fails with errOwnerChanged when this
// daemon does not own the bucket.
func (s *service) runForwarded(ctx context.Context, args *SubmitArgs, request submission) (contract.SubmitReply, error) {
	if args.Term == 0 {
		return contract.SubmitReply{}, result.New(result.BadRequest, "a submission was forwarded without a term")
	}
	owner, err := s.locateOwner(ctx, request.journalRequest().Key.Bucket(), args.Term-1)
	if result.CodeOf(err) == result.Stopping {
		// This daemon has handed the bucket back; the caller finds the next owner.
		return contract.SubmitReply{}, errOwnerChanged
	}
	if err != nil {
		return contract.SubmitReply{}, err
	}
	if owner.committer == nil {
		return contract.SubmitReply{}, errOwnerChanged
	}
	return s.runAsOwner(ctx, owner.committer, request)
}

// setResult sets the fields of the reply from a reply or an error.
func (r *SubmitReply) setResult(submitReply contract.SubmitReply, err error) {
	r.Code = result.CodeOf(err)
	if err != nil {
		var resultErr *result.Error
		if errors.As(err, &resultErr) {
			r.Detail = resultErr.Detail
		} else {
			r.Detail = err.Error()
		}
		return
	}
	r.Status, r.ContentType, r.Body = submitReply.Answer.Status, submitReply.Answer.ContentType, submitReply.Answer.Body
	r.Repeated = submitReply.Repeated
}

// Ping returns at once. It lets a caller distinguish a slow owner from a dead
// one.
func (r *Receiver) Ping(args *PingArgs, reply *PingReply) error {
	if owner := r.service.view.Load().owners[args.Bucket]; owner != nil && owner.committer != nil {
		reply.Term = owner.term
	}
	return nil
}
