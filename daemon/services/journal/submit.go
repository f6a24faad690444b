package journal

import (
	"context"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// maxOwnersTried is the number of successive owners of its bucket that a
// submission is sent to before it fails.
const maxOwnersTried = 4

// Submit implements contract.Journal. A submission continues when its caller
// disconnects, and its outcome is recorded for the caller's retry.
func (s *service) Submit(ctx context.Context, request contract.SubmitRequest) (contract.SubmitReply, error) {
	parameters, err := s.settings.LastKnownParameters(request.Workspace)
	if err != nil {
		return contract.SubmitReply{}, err
	}
	startedAt := s.clock.Now()
	timeout := parameters.Timeouts[structs.ClassSubmission]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	reply, err := s.route(ctx, submission{SubmitRequest: request})
	s.metrics.RecordRequest(request.Workspace, structs.ClassSubmission, err == nil && s.clock.Since(startedAt) <= timeout)
	return reply, err
}

// route runs a submission at the owner of its bucket. When the owner turns out
// to be gone, it continues with the next one.
func (s *service) route(ctx context.Context, request submission) (contract.SubmitReply, error) {
	bucket := request.journalRequest().Key.Bucket()
	var staleTerm structs.Term
	for range maxOwnersTried {
		owner, err := s.locateOwner(ctx, bucket, staleTerm)
		if err != nil {
			return contract.SubmitReply{}, request.unknownIfRetried(err)
		}
		reply, err := s.deliver(ctx, owner, &request)
		if !errors.Is(err, errOwnerChanged) {
			return reply, request.unknownIfRetried(err)
		}
		staleTerm = owner.term
	}
	return contract.SubmitReply{}, request.unknownIfRetried(result.New(result.JournalUnreached, "the owner of bucket %d changed too often", bucket))
}

// deliver runs a submission here when this daemon owns the bucket, and forwards
// it otherwise.
func (s *service) deliver(ctx context.Context, owner *bucketOwner, request *submission) (contract.SubmitReply, error) {
	if owner.committer != nil {
		return s.runAsOwner(ctx, owner.committer, *request)
	}
	return s.forward(ctx, owner, request)
}

// unknownIfRetried turns a refusal into an unknown outcome when an earlier
// attempt may have reached an owner and run.
func (s *submission) unknownIfRetried(err error) error {
	if err != nil && s.isRetry && result.OutcomeOf(err) == result.NotRun {
		return result.Wrap(result.OutcomeUnknown, err)
	}
	return err
}
