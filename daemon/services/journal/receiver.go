package journal

import (
	"context"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// Receiver takes the calls of other daemons under the name Journal.
type Receiver struct{ service *service }

// Submit runs a submission when this daemon owns its bucket.
func (r *Receiver) Submit(args *SubmitArgs, reply *SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Remaining)
	defer cancel()
	request := submission{
		SubmitRequest: contract.SubmitRequest{Workspace: args.Workspace, Path: args.Path, Key: args.Key, Body: args.Body},
		again:         args.Again,
	}
	answer, err := r.service.runOwned(ctx, args, request)
	if errors.Is(err, errLost) || errors.Is(err, errCut) {
		// A caller that reaches the store may take the bucket over.
		reply.Denied = true
		return nil
	}
	reply.set(answer, err)
	return nil
}

// runOwned runs a submission or fails with errLost when the bucket is not
// owned here.
func (s *service) runOwned(ctx context.Context, args *SubmitArgs, request submission) (contract.SubmitReply, error) {
	if args.Term == 0 {
		return contract.SubmitReply{}, result.New(result.BadRequest, "a submission was forwarded without a term")
	}
	owner, err := s.locate(ctx, request.journal().Key.Bucket(), args.Term-1)
	if err != nil {
		return contract.SubmitReply{}, err
	}
	if owner.owned == nil {
		return contract.SubmitReply{}, errLost
	}
	return s.run(ctx, owner.owned, request)
}

func (r *SubmitReply) set(answer contract.SubmitReply, err error) {
	r.Code = result.CodeOf(err)
	if err != nil {
		var coded *result.Error
		if errors.As(err, &coded) {
			r.Detail = coded.Detail
		} else {
			r.Detail = err.Error()
		}
		return
	}
	r.Status, r.ContentType, r.Body = answer.Answer.Status, answer.Answer.ContentType, answer.Answer.Body
	r.Repeated = answer.Repeated
}

// Ping answers at once; it tells an owner that is slow from one that is gone.
func (r *Receiver) Ping(args *PingArgs, reply *PingReply) error {
	if known := r.service.view.Load().places[args.Bucket]; known != nil && known.owned != nil {
		reply.Term = known.term
	}
	return nil
}
