package journal

import (
	"context"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// maxClaimAttempts is how many times a daemon reads the head of a bucket and
// tries to claim it when others are faster.
const maxClaimAttempts = 3

// bucketOwner is the address at which the owner of a bucket serves requests,
// and the term of its ownership.
type bucketOwner struct {
	term    structs.Term
	address string
	// committer is set when this daemon is the owner.
	committer *committer
}

// ownerView is the immutable snapshot of the known owners of the buckets. It
// may be outdated: a request to a former owner fails with errOwnerChanged.
type ownerView struct {
	owners [journal.BucketCount]*bucketOwner
}

// committers returns the committers of the buckets that this daemon owns.
func (v *ownerView) committers() []*committer {
	var committers []*committer
	for _, owner := range v.owners {
		if owner != nil && owner.committer != nil {
			committers = append(committers, owner.committer)
		}
	}
	return committers
}

// ownerRequest asks the control loop for an owner of a bucket whose term is
// higher than staleTerm, the term of an owner found to be gone.
type ownerRequest struct {
	bucket    journal.Bucket
	staleTerm structs.Term
	reply     chan ownerReply
}

// ownerReply is the reply to an ownerRequest.
type ownerReply struct {
	owner *bucketOwner
	err   error
}

// claim is a bucket that this daemon has just claimed.
type claim struct {
	bucket      journal.Bucket
	ownedBucket *journal.OwnedBucket
	revision    outside.Revision
}

// lookupResult is the owner of a bucket, as found in its head or after a claim.
type lookupResult struct {
	bucket    journal.Bucket
	staleTerm structs.Term
	// remote is set when another daemon owns the bucket, and claimed when this
	// one has claimed it.
	remote  *bucketOwner
	claimed *claim
}

// locateOwner returns the owner of a bucket whose term is higher than
// staleTerm, and claims the bucket when it has none. It may be called on any
// goroutine. It fails with code JournalUnreached, Overloaded or Stopping.
func (s *service) locateOwner(ctx context.Context, bucket journal.Bucket, staleTerm structs.Term) (*bucketOwner, error) {
	if owner := s.view.Load().owners[bucket]; owner != nil && owner.term > staleTerm {
		return owner, nil
	}
	request := ownerRequest{bucket: bucket, staleTerm: staleTerm, reply: make(chan ownerReply, 1)}
	if err := s.ownerRequests.Post(request); err != nil {
		return nil, result.Wrap(result.Overloaded, err)
	}
	select {
	case reply := <-request.reply:
		return reply.owner, reply.err
	case <-s.loop.Done():
		return nil, result.New(result.Stopping, "")
	case <-ctx.Done():
		return nil, result.Wrap(result.JournalUnreached, ctx.Err())
	}
}

// handleOwnerRequest answers a request from the view, or adds it to those that
// wait for a lookup. There is one lookup at a time for each bucket.
func (s *service) handleOwnerRequest(request ownerRequest) {
	if owner := s.view.Load().owners[request.bucket]; owner != nil && owner.term > request.staleTerm {
		request.reply <- ownerReply{owner: owner}
		return
	}
	if s.stopping {
		request.reply <- ownerReply{err: result.New(result.Stopping, "")}
		return
	}
	s.pendingRequests[request.bucket] = append(s.pendingRequests[request.bucket], request)
	if len(s.pendingRequests[request.bucket]) == 1 {
		s.startLookup(request.bucket, request.staleTerm)
	}
}

// startLookup reads the head of a bucket on a worker, and claims the bucket
// when it has no owner with a term higher than staleTerm.
func (s *service) startLookup(bucket journal.Bucket, staleTerm structs.Term) {
	kernel.RunAsync(s.workers, 0, s.lookupResults, func(ctx context.Context) (lookupResult, error) {
		lookup, err := s.findOrClaim(ctx, bucket, staleTerm)
		lookup.bucket, lookup.staleTerm = bucket, staleTerm
		return lookup, err
	})
}

// findOrClaim returns the owner found in the head of a bucket, or claims the
// bucket. It fails with errOwnerChanged when other daemons were faster
// maxClaimAttempts times.
func (s *service) findOrClaim(ctx context.Context, bucket journal.Bucket, staleTerm structs.Term) (lookupResult, error) {
	store := s.bucketStore()
	err := errOwnerChanged
	for range maxClaimAttempts {
		head, revision, readErr := store.readHead(ctx, bucket)
		if readErr != nil {
			return lookupResult{}, readErr
		}
		// An owner at this daemon's own address is a former incarnation, or a
		// claim of this one whose reply was lost.
		if head.Owned() && head.Term > staleTerm && head.Address != s.address {
			return lookupResult{remote: &bucketOwner{term: head.Term, address: head.Address}}, nil
		}
		var claimed *claim
		if claimed, err = s.claimBucket(ctx, store, bucket, head, revision); err == nil {
			return lookupResult{claimed: claimed}, nil
		}
		if !errors.Is(err, errOwnerChanged) {
			return lookupResult{}, err
		}
	}
	return lookupResult{}, err
}

// claimBucket makes this daemon the owner of a bucket. It fails with
// errOwnerChanged when another daemon was faster.
func (s *service) claimBucket(ctx context.Context, store *bucketStore, bucket journal.Bucket, head journal.Head, revision outside.Revision) (*claim, error) {
	segments, err := store.readSegments(ctx, bucket, &head)
	if errors.Is(err, outside.ErrNotFound) {
		// The owner replaced a segment after the head was read.
		return nil, errOwnerChanged
	}
	if err != nil {
		return nil, err
	}
	ownedBucket, proposal := journal.ClaimBucket(head, segments, s.self, s.address, s.policy)
	newRevision, err := store.write(ctx, bucket, proposal, revision)
	if err != nil && !errors.Is(err, errOwnerChanged) {
		// The write may have taken effect. Repeating it is safe, as it cannot
		// take effect twice.
		newRevision, err = store.write(ctx, bucket, proposal, revision)
	}
	if err != nil {
		return nil, err
	}
	ownedBucket.MarkCommitted()
	return &claim{bucket: bucket, ownedBucket: ownedBucket, revision: newRevision}, nil
}

// handleLookupResult publishes the owner that a lookup found, and answers the
// requests that waited for it.
func (s *service) handleLookupResult(reply kernel.AsyncResult[lookupResult]) {
	lookup := reply.Value
	bucket := lookup.bucket
	requests := s.pendingRequests[bucket]
	s.pendingRequests[bucket] = nil
	if reply.Err != nil {
		s.log.WithError(reply.Err).Warnf("Could not find the owner of bucket %d.", bucket)
		refuseAll(requests, result.Wrap(result.JournalUnreached, reply.Err))
		return
	}
	if s.stopping {
		// A bucket claimed in the meantime has no committer; the next daemon
		// that needs it claims it in turn.
		refuseAll(requests, result.New(result.Stopping, ""))
		return
	}
	owner := lookup.remote
	if lookup.claimed != nil {
		owner = s.startCommitter(lookup.claimed)
	}
	s.setOwner(bucket, owner)
	for _, request := range requests {
		s.handleOwnerRequest(request)
	}
}

func refuseAll(requests []ownerRequest, err error) {
	for _, request := range requests {
		request.reply <- ownerReply{err: err}
	}
}

// startCommitter starts the committer of a claimed bucket.
func (s *service) startCommitter(claimed *claim) *bucketOwner {
	c := newCommitter(s, claimed)
	s.log.Infof("Owning bucket %d in term %d.", claimed.bucket, claimed.ownedBucket.Term())
	s.metrics.Count("journal.claims", 1)
	owner := &bucketOwner{term: claimed.ownedBucket.Term(), address: s.address, committer: c}
	s.committers.Go(func() {
		c.loop(s.committersCtx)
		_ = s.endedCommitters.Post(c)
	})
	return owner
}

// handleCommitterEnd removes a bucket that this daemon no longer owns from the
// view. Requests that found the ownership gone pass its term as stale, so that
// a lookup does not return it again.
func (s *service) handleCommitterEnd(ended *committer) {
	owner := s.view.Load().owners[ended.bucket]
	if owner != nil && owner.committer == ended {
		s.setOwner(ended.bucket, nil)
	}
}

// setOwner publishes a view with a new owner of a bucket; nil means unknown.
func (s *service) setOwner(bucket journal.Bucket, owner *bucketOwner) {
	next := *s.view.Load()
	next.owners[bucket] = owner
	s.view.Publish(&next)
	s.metrics.Gauge("journal.owned", int64(len(next.committers())))
}
