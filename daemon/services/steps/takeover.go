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

// claimAttempts is how often a take-over that lost a race is tried again.
const claimAttempts = 3

func prefixOf(workspace structs.WorkspaceName) string {
	return "steps/" + url.PathEscape(string(workspace)) + "/"
}

func headKey(workspace structs.WorkspaceName) string { return prefixOf(workspace) + "head" }

func segmentPrefix(workspace structs.WorkspaceName) string {
	return prefixOf(workspace) + "segments/"
}

func segmentKey(workspace structs.WorkspaceName, version step.Version) string {
	return segmentPrefix(workspace) + strconv.FormatUint(version.Step, 10) + "/" +
		strconv.FormatUint(uint64(version.Term), 10) + "-" + strconv.FormatUint(version.Operation, 10)
}

// findOwner reads the head and takes over when the owner there is the suspect,
// is an earlier state of this daemon, or nobody.
func (s *service) findOwner(ctx context.Context, asked want) (ownership, error) {
	var last error
	for range claimAttempts {
		head, revision, err := readHead(ctx, s.clients.Platform().Store, asked.workspace)
		if err != nil {
			return ownership{}, result.Wrap(result.StoreUnavailable, err)
		}
		mine := head.Owner.Incarnation == s.self().Incarnation
		if head.Term > asked.suspect && !mine {
			return ownership{owner: head.Owner, term: head.Term}, nil
		}
		if !asked.claim {
			return ownership{}, result.New(result.PeerUnreachable, "nobody owns the steps of %s", asked.workspace)
		}
		found, err := s.claim(ctx, asked.workspace, head, revision)
		if err == nil {
			return found, nil
		}
		last = err
		if !errors.Is(err, outside.ErrConflict) {
			break
		}
	}
	return ownership{}, result.Wrap(result.StoreUnavailable, last)
}

// claim takes over with a new term and reads what the head points to.
func (s *service) claim(ctx context.Context, workspace structs.WorkspaceName, head step.Head, revision outside.Revision) (ownership, error) {
	store := s.clients.Platform().Store
	next := head.TakeOver(s.self())
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

// readHead returns a workspace's head; a missing one is empty and has revision
// zero.
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

// writeHead replaces a head. When the answer is lost or the head is no longer
// the expected one, it reads back whether the write took effect after all.
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

// loadSegments reads the segments that a head points to and deletes the rest.
// An older term's segment without a head can get none any more.
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
