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

// claimAttempts is how often a daemon that loses a race for a bucket looks at
// the head again.
const claimAttempts = 3

// place is where the owner of a bucket takes requests.
type place struct {
	term    structs.Term
	address string
	// owned is set when this daemon is the owner.
	owned *committer
}

// view is the immutable snapshot of the owners of the buckets, as far as they
// are known.
type view struct{ places [journal.BucketCount]*place }

// owned lists the committers of the buckets that this daemon owns.
func (v *view) owned() []*committer {
	var owned []*committer
	for _, each := range v.places {
		if each != nil && each.owned != nil {
			owned = append(owned, each.owned)
		}
	}
	return owned
}

// want asks the control loop for the owner of a bucket whose term is higher
// than one that was found to be gone.
type want struct {
	bucket journal.Bucket
	beyond structs.Term
	reply  chan placed
}

// placed is the reply to a want.
type placed struct {
	place *place
	err   error
}

// claim is a bucket that this daemon has just taken over.
type claim struct {
	bucket   journal.Bucket
	ledger   *journal.OwnedBucket
	revision outside.Revision
}

// finding is what a look at the head of a bucket came to.
type finding struct {
	bucket journal.Bucket
	beyond structs.Term
	// other is set when another daemon owns the bucket, else mine is.
	other *place
	mine  *claim
}

// locate returns the owner of a bucket beyond a term. It may be called from
// any goroutine and fails with code JournalUnreached or Overloaded.
func (s *service) locate(ctx context.Context, bucket journal.Bucket, beyond structs.Term) (*place, error) {
	if known := s.view.Load().places[bucket]; known != nil && known.term > beyond {
		return known, nil
	}
	wanted := want{bucket: bucket, beyond: beyond, reply: make(chan placed, 1)}
	if err := s.wants.Post(wanted); err != nil {
		return nil, result.Wrap(result.Overloaded, err)
	}
	select {
	case got := <-wanted.reply:
		return got.place, got.err
	case <-s.loop.Done():
		return nil, result.New(result.Stopping, "")
	case <-ctx.Done():
		return nil, result.Wrap(result.JournalUnreached, ctx.Err())
	}
}

func (s *service) onWant(wanted want) {
	if known := s.view.Load().places[wanted.bucket]; known != nil && known.term > wanted.beyond {
		wanted.reply <- placed{place: known}
		return
	}
	if s.stopping {
		wanted.reply <- placed{err: result.New(result.Stopping, "")}
		return
	}
	s.waiting[wanted.bucket] = append(s.waiting[wanted.bucket], wanted)
	if len(s.waiting[wanted.bucket]) == 1 {
		s.look(wanted.bucket, wanted.beyond)
	}
}

// look reads the head of a bucket on a worker and takes the bucket over when
// it has no owner beyond a term.
func (s *service) look(bucket journal.Bucket, beyond structs.Term) {
	kernel.RunAsync(s.workers, 0, s.found, func(ctx context.Context) (finding, error) {
		found, err := s.findOwner(ctx, bucket, beyond)
		found.bucket, found.beyond = bucket, beyond
		return found, err
	})
}

func (s *service) findOwner(ctx context.Context, bucket journal.Bucket, beyond structs.Term) (finding, error) {
	stored := s.records()
	err := errLost
	for range claimAttempts {
		head, revision, readErr := stored.readHead(ctx, bucket)
		if readErr != nil {
			return finding{}, readErr
		}
		// An owner at this daemon's own address is a former incarnation, or a
		// claim of this one whose answer was lost.
		if head.Owned() && head.Term > beyond && head.Address != s.address {
			return finding{other: &place{term: head.Term, address: head.Address}}, nil
		}
		var mine *claim
		if mine, err = s.takeOver(ctx, stored, bucket, head, revision); err == nil {
			return finding{mine: mine}, nil
		}
		if !errors.Is(err, errLost) {
			return finding{}, err
		}
	}
	return finding{}, err
}

// takeOver makes this daemon the owner of a bucket. It fails with errLost when
// another daemon was first.
func (s *service) takeOver(ctx context.Context, stored *records, bucket journal.Bucket, head journal.Head, revision outside.Revision) (*claim, error) {
	segments, err := stored.readSegments(ctx, bucket, &head)
	if errors.Is(err, outside.ErrNotFound) {
		// The owner replaced a segment after the head was read.
		return nil, errLost
	}
	if err != nil {
		return nil, err
	}
	ledger, proposal := journal.ClaimBucket(head, segments, s.self, s.address, s.strategy)
	written, err := stored.write(ctx, bucket, proposal, revision)
	if err != nil && !errors.Is(err, errLost) {
		// The write may have taken effect; written again it cannot do so twice.
		written, err = stored.write(ctx, bucket, proposal, revision)
	}
	if err != nil {
		return nil, err
	}
	ledger.MarkCommitted()
	return &claim{bucket: bucket, ledger: ledger, revision: written}, nil
}

func (s *service) onFound(reply kernel.AsyncResult[finding]) {
	found := reply.Value
	bucket := found.bucket
	waiting := s.waiting[bucket]
	s.waiting[bucket] = nil
	if reply.Err != nil {
		s.log.WithError(reply.Err).Warnf("The owner of bucket %d could not be found.", bucket)
		refuse(waiting, result.Wrap(result.JournalUnreached, reply.Err))
		return
	}
	if s.stopping {
		// A bucket that was claimed meanwhile is taken over by who needs it.
		refuse(waiting, result.New(result.Stopping, ""))
		return
	}
	known := found.other
	if found.mine != nil {
		known = s.begin(found.mine)
	}
	s.setPlace(bucket, known)
	for _, wanted := range waiting {
		s.onWant(wanted)
	}
}

func refuse(waiting []want, err error) {
	for _, wanted := range waiting {
		wanted.reply <- placed{err: err}
	}
}

// begin starts the committer of a bucket that was claimed.
func (s *service) begin(mine *claim) *place {
	owned := newCommitter(s, mine)
	s.log.Infof("Owning bucket %d in term %d.", mine.bucket, mine.ledger.Term())
	s.metrics.Count("journal.claims", 1)
	known := &place{term: mine.ledger.Term(), address: s.address, owned: owned}
	s.committers.Go(func() {
		owned.loop(s.committing)
		_ = s.losses.Post(owned)
	})
	return known
}

// onLoss forgets a bucket that this daemon no longer owns. Its place stays
// known to be stale by the term that requests found gone.
func (s *service) onLoss(lost *committer) {
	known := s.view.Load().places[lost.bucket]
	if known != nil && known.owned == lost {
		s.setPlace(lost.bucket, nil)
	}
}

func (s *service) setPlace(bucket journal.Bucket, known *place) {
	next := *s.view.Load()
	next.places[bucket] = known
	s.view.Publish(&next)
	s.metrics.Gauge("journal.owned", int64(len(next.owned())))
}
