package journal

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/outside"
)

// errLost means that another daemon changed the head of a bucket.
var errLost = errors.New("journal: the bucket has another owner")

// records reads and writes the values of the buckets.
type records struct{ store outside.Store }

func headKey(bucket journal.Bucket) string { return fmt.Sprintf("journal/%d/head", bucket) }

func segmentKey(bucket journal.Bucket, ref journal.SegmentRef) string {
	return fmt.Sprintf("journal/%d/segments/%d-%d", bucket, ref.Term, ref.Number)
}

// readHead returns the head of a bucket, empty with revision zero when there
// is none yet.
func (r *records) readHead(ctx context.Context, bucket journal.Bucket) (journal.Head, outside.Revision, error) {
	var head journal.Head
	entry, err := r.store.Get(ctx, headKey(bucket))
	if errors.Is(err, outside.ErrNotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	return head, entry.Revision, json.Unmarshal(entry.Value, &head)
}

// readSegments returns the segments that a head points to, in order.
func (r *records) readSegments(ctx context.Context, bucket journal.Bucket, head *journal.Head) ([]journal.Segment, error) {
	segments := make([]journal.Segment, 0, len(head.Segments))
	for _, ref := range head.Segments {
		entry, err := r.store.Get(ctx, segmentKey(bucket, ref))
		if err != nil {
			return nil, errors.WithMessagef(err, "segment %d", ref.Number)
		}
		var segment journal.Segment
		if err := json.Unmarshal(entry.Value, &segment); err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

// write writes a proposal over a revision: the segment first, then the head.
// It fails with errLost when the head was changed by another, and with an
// error of package platform when the proposal has to be written again as it
// is.
func (r *records) write(ctx context.Context, bucket journal.Bucket, proposal *journal.Proposal, expected outside.Revision) (outside.Revision, error) {
	if err := r.writeSegment(ctx, bucket, proposal.Segment); err != nil {
		return 0, err
	}
	value, err := json.Marshal(&proposal.Head)
	if err != nil {
		return 0, err
	}
	revision, err := r.store.CompareAndSwap(ctx, headKey(bucket), expected, value, 0)
	if errors.Is(err, outside.ErrConflict) {
		return r.readBack(ctx, bucket, proposal)
	}
	return revision, err
}

// writeSegment writes a segment. A conflict means that an earlier attempt
// wrote it, since no other write uses its key.
func (r *records) writeSegment(ctx context.Context, bucket journal.Bucket, segment *journal.Segment) error {
	if segment == nil {
		return nil
	}
	value, err := json.Marshal(segment)
	if err != nil {
		return err
	}
	_, err = r.store.CompareAndSwap(ctx, segmentKey(bucket, segment.Ref), 0, value, 0)
	if errors.Is(err, outside.ErrConflict) {
		return nil
	}
	return err
}

// readBack tells whether the head in the store is the one proposed, written by
// an attempt whose answer was lost.
func (r *records) readBack(ctx context.Context, bucket journal.Bucket, proposal *journal.Proposal) (outside.Revision, error) {
	head, revision, err := r.readHead(ctx, bucket)
	if err != nil {
		return 0, err
	}
	if !proposal.Matches(&head) {
		return 0, errLost
	}
	return revision, nil
}

// remove deletes segments that no head points to. One that cannot be deleted
// stays behind and does no harm.
func (r *records) remove(ctx context.Context, bucket journal.Bucket, refs []journal.SegmentRef) {
	for _, ref := range refs {
		entry, err := r.store.Get(ctx, segmentKey(bucket, ref))
		if err == nil {
			_ = r.store.Delete(ctx, segmentKey(bucket, ref), entry.Revision)
		}
	}
}
