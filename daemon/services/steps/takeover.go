package steps

import (
	"context"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// maxTakeoverAttempts is the number of attempts of a takeover that loses the
// race for the head.
const maxTakeoverAttempts = 3

func keyPrefix(workspace structs.WorkspaceName) string {
	return "steps/" + url.PathEscape(string(workspace)) + "/"
}

func headKey(workspace structs.WorkspaceName) string { return keyPrefix(workspace) + "head" }

func segmentPrefix(workspace structs.WorkspaceName) string {
	return keyPrefix(workspace) + "segments/"
}

func segmentKey(workspace structs.WorkspaceName, version step.Version) string {
	return segmentPrefix(workspace) + strconv.FormatUint(version.Step, 10) + "/" +
		strconv.FormatUint(uint64(version.Term), 10) + "-" + strconv.FormatUint(version.Operation, 10)
}

// findOwner reads the head and returns its owner. If the request allows it, this
// daemon takes over when the head has no owner, when its term is not newer than
// the failed term, or when its owner is this incarnation of the daemon, whose
// pool is gone.
func (s *service) findOwner(ctx context.Context, request ownerRequest) (ownership, error) {
	var lastErr error
	for range maxTakeoverAttempts {
		head, revision, err := readHead(ctx, s.clients.Platform().Store, request.workspace)
		if err != nil {
			return ownership{}, result.Wrap(result.StoreUnavailable, err)
		}
		ownedHere := head.Owner.Incarnation == s.selfOwner().Incarnation
		if head.Term > request.failedTerm && !ownedHere {
			return ownership{owner: head.Owner, term: head.Term}, nil
		}
		if !request.takeOver {
			return ownership{}, result.New(result.PeerUnreachable, "nobody owns the steps of %s", request.workspace)
		}
		found, err := s.takeOver(ctx, request.workspace, head, revision)
		if err == nil {
			return found, nil
		}
		lastErr = err
		if !errors.Is(err, outside.ErrConflict) {
			break
		}
	}
	return ownership{}, result.Wrap(result.StoreUnavailable, lastErr)
}

// takeOver writes a head with a new term and this daemon as its owner, and loads
// the segments that the head references.
func (s *service) takeOver(ctx context.Context, workspace structs.WorkspaceName, head step.Head, revision outside.Revision) (ownership, error) {
	store := s.clients.Platform().Store
	next := head.TakeOver(s.selfOwner())
	revision, err := writeHead(ctx, store, workspace, revision, next)
	if err != nil {
		return ownership{}, err
	}
	lists, err := s.loadSegments(ctx, workspace, next)
	if err != nil {
		return ownership{}, err
	}
	s.metrics.Count("steps.takeovers", 1)
	return ownership{owner: next.Owner, term: next.Term, sealer: s.newSealer(workspace, step.NewPool(next, lists), revision)}, nil
}

// readHead returns the head of a workspace and its revision. A missing head is
// returned as an empty one with revision zero.
func readHead(ctx context.Context, store outside.Store, workspace structs.WorkspaceName) (step.Head, outside.Revision, error) {
	entry, err := store.Get(ctx, headKey(workspace))
	if errors.Is(err, outside.ErrNotFound) {
		return step.Head{}, 0, nil
	}
	if err != nil {
		return step.Head{}, 0, err
	}
	head, err := decodeHead(entry.Value)
	return head, entry.Revision, err
}

// writeHead replaces a head by compare-and-swap and returns its new revision.
// When the store's reply is lost, it reads the head back to find out whether the
// write took effect.
func writeHead(ctx context.Context, store outside.Store, workspace structs.WorkspaceName, expected outside.Revision, head step.Head) (outside.Revision, error) {
	value, err := encodeHead(head)
	if err != nil {
		return 0, err
	}
	revision, err := store.CompareAndSwap(ctx, headKey(workspace), expected, value, 0)
	if err == nil {
		return revision, nil
	}
	if !errors.Is(err, outside.ErrUnavailable) {
		return 0, err
	}
	written, revision, readErr := readHead(ctx, store, workspace)
	if readErr == nil && written.SameWrite(head) {
		return revision, nil
	}
	return 0, err
}

// loadSegments reads the segments that a head references and deletes all others.
// Those are orphans of older terms, which can no longer write a head that
// references them.
func (s *service) loadSegments(ctx context.Context, workspace structs.WorkspaceName, head step.Head) ([]step.SampleList, error) {
	store := s.clients.Platform().Store
	if head.LastSealed == 0 && head.Term == 1 {
		return nil, nil
	}
	entries, err := store.List(ctx, segmentPrefix(workspace))
	if err != nil {
		return nil, err
	}
	byKey := make(map[string]outside.Entry, len(entries))
	for _, entry := range entries {
		byKey[entry.Key] = entry
	}
	lists := make([]step.SampleList, 0, len(head.Segments))
	for _, segment := range head.Segments {
		key := segmentKey(workspace, segment.Version)
		list, err := decodeList(byKey[key].Value)
		if err != nil {
			return nil, errors.Wrap(err, key)
		}
		lists = append(lists, list)
		delete(byKey, key)
	}
	for _, orphan := range byKey {
		_ = store.Delete(ctx, orphan.Key, orphan.Revision)
	}
	return lists, nil
}
