package journal

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/outside"
)

// errOwnerChanged means that the daemon asked does not own the bucket, usually
// because another daemon has claimed it.
var errOwnerChanged = errors.New("journal: bucket has another owner")

// bucketStore reads and writes the heads and segments of the buckets in the
// transactional store.
type bucketStore struct{ store outside.Store }

func headKey(bucket journal.Bucket) string { return fmt.Sprintf("journal/%d/head", bucket) }

func segmentKey(bucket journal.Bucket, ref journal.SegmentRef) string {
	return fmt.Sprintf("journal/%d/segments/%d-%d", bucket, ref.Term, ref.Number)
}

// readHead returns the head of a bucket. A bucket without one yields an empty
// head with revision zero.
func (s *bucketStore) readHead(ctx context.Context, bucket journal.Bucket) (journal.Head, outside.Revision, error) {
	var head journal.Head
	entry, err := s.store.Get(ctx, headKey(bucket))
	if errors.Is(err, outside.ErrNotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	return head, entry.Revision, json.Unmarshal(entry.Value, &head)
}

// readSegments returns the segments that a head refers to, in its order.
func (s *bucketStore) readSegments(ctx context.Context, bucket journal.Bucket, head *journal.Head) ([]journal.Segment, error) {
	segments := make([]journal.Segment, 0, len(head.Segments))
	for _, ref := range head.Segments {
		entry, err := s.store.Get(ctx, segmentKey(bucket, ref))
		if err != nil {
			return nil, errors.WithMessagef(err, "read segment %d", ref.Number)
		}
		var segment journal.Segment
		if err := json.Unmarshal(entry.Value, &segment); err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

// write writes the segment of a proposal, if any, and then its head, expecting
// a revision of the head. It fails with errOwnerChanged when another daemon has
// written the head. After any other error of the store the proposal may have
// been written, and the caller repeats it unchanged.
func (s *bucketStore) write(ctx context.Context, bucket journal.Bucket, proposal *journal.Proposal, expected outside.Revision) (outside.Revision, error) {
	if err := s.writeSegment(ctx, bucket, proposal.Segment); err != nil {
		return 0, err
	}
	value, err := json.Marshal(&proposal.Head)
	if err != nil {
		return 0, err
	}
	revision, err := s.store.CompareAndSwap(ctx, headKey(bucket), expected, value, 0)
	if errors.Is(err, outside.ErrConflict) {
		return s.confirmWrite(ctx, bucket, proposal)
	}
	return revision, err
}

// writeSegment writes a segment. A conflict means that an earlier attempt wrote
// it, since no other write uses its key.
func (s *bucketStore) writeSegment(ctx context.Context, bucket journal.Bucket, segment *journal.Segment) error {
	if segment == nil {
		return nil
	}
	value, err := json.Marshal(segment)
	if err != nil {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, segmentKey(bucket, segment.Ref), 0, value, 0)
	if errors.Is(err, outside.ErrConflict) {
		return nil
	}
	return err
}

// confirmWrite resolves a conflict on the head: it returns the revision when
// the stored head is the proposed one, written by an attempt whose reply was
// lost, and errOwnerChanged otherwise.
func (s *bucketStore) confirmWrite(ctx context.Context, bucket journal.Bucket, proposal *journal.Proposal) (outside.Revision, error) {
	head, revision, err := s.readHead(ctx, bucket)
	if err != nil {
		return 0, err
	}
	if !proposal.Matches(&head) {
		return 0, errOwnerChanged
	}
	return revision, nil
}

// removeSegments deletes segments that no head refers to any longer. A segment
// that cannot be deleted stays in the store unused.
func (s *bucketStore) removeSegments(ctx context.Context, bucket journal.Bucket, refs []journal.SegmentRef) {
	for _, ref := range refs {
		entry, err := s.store.Get(ctx, segmentKey(bucket, ref))
		if err == nil {
			_ = s.store.Delete(ctx, segmentKey(bucket, ref), entry.Revision)
		}
	}
}
