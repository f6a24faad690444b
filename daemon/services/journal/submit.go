package journal

import (
	"context"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// maxOwners is how many owners of its bucket a submission is brought to, one
// after the other.
const maxOwners = 4

// Submit implements contract.Journal. A caller that goes away does not end its
// submission: the outcome is recorded for its next try.
func (s *service) Submit(ctx context.Context, request contract.SubmitRequest) (contract.SubmitReply, error) {
	parameters, err := s.settings.LastKnownParameters(request.Workspace)
	if err != nil {
		return contract.SubmitReply{}, err
	}
	begun := s.clock.Now()
	due := parameters.Timeouts[structs.ClassSubmission]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), due)
	defer cancel()
	reply, err := s.route(ctx, submission{SubmitRequest: request})
	s.metrics.RecordRequest(request.Workspace, structs.ClassSubmission, err == nil && s.clock.Since(begun) <= due)
	return reply, err
}

// route brings a submission to the owner of its bucket.
func (s *service) route(ctx context.Context, request submission) (contract.SubmitReply, error) {
	bucket := request.journal().Key.Bucket()
	var beyond structs.Term
	for range maxOwners {
		owner, err := s.locate(ctx, bucket, beyond)
		if err != nil {
			return contract.SubmitReply{}, request.truthful(err)
		}
		reply, err := s.deliver(ctx, owner, &request)
		if !errors.Is(err, errLost) {
			return reply, request.truthful(err)
		}
		beyond = owner.term
	}
	return contract.SubmitReply{}, request.truthful(result.New(result.JournalUnreached, "the owner of bucket %d changed too often", bucket))
}

func (s *service) deliver(ctx context.Context, owner *place, request *submission) (contract.SubmitReply, error) {
	if owner.owned != nil {
		return s.run(ctx, owner.owned, *request)
	}
	return s.forward(ctx, owner, request)
}

// truthful replaces a refusal by an unknown outcome when the submission may
// have reached an owner before.
func (s *submission) truthful(err error) error {
	if err != nil && s.again && result.OutcomeOf(err) == result.NotRun {
		return result.Wrap(result.OutcomeUnknown, err)
	}
	return err
}
