package jobs

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// hasWorkspaces reports whether the deployment has workspaces.
func (s *service) hasWorkspaces() bool {
	current := s.catalog.Current().Load().Catalog
	return current != nil && current.Access != nil
}

// accessOf returns the workspace of a job; nil if it has none or no configuration names it
// any more.
func (s *service) accessOf(j *job) *access.Workspace {
	if j.Workspace == "" || !s.hasWorkspaces() {
		return nil
	}
	workspace, ok := s.catalog.Current().Load().Catalog.Access.Named(j.Workspace)
	if !ok {
		return nil
	}
	return &workspace
}

// checkScope checks that a job exists for a caller. It fails with code NotFound if it does
// not, and with code StoreUnavailable if that cannot be decided.
func (s *service) checkScope(ctx context.Context, scope access.Scope, id string) error {
	if scope.All {
		return nil
	}
	workspace, err := s.workspaceOf(ctx, id)
	if err != nil {
		return err
	}
	return s.visibilityError(id, scope.Sees(workspace))
}

func (s *service) visibilityError(id string, visibility access.Visibility) error {
	switch visibility {
	case access.Hidden:
		s.metrics.Count("jobs.hidden", 1)
		return result.New(result.NotFound, "batch job %s of another workspace", id)
	case access.Undecided:
		return result.New(result.StoreUnavailable, "the workspace of batch job %s is not recorded", id)
	}
	return nil
}

// workspaceOf returns the workspace of a job, which is empty if none is recorded. An
// earlier release that owned the job has left it out of the ownership record; the job as
// it was submitted still names it.
func (s *service) workspaceOf(ctx context.Context, id string) (structs.WorkspaceName, error) {
	if view, isOwned := s.jobViews.Load(id); isOwned {
		return view.(*kernel.Snapshot[jobView]).Load().workspace, nil
	}
	ownership, err := s.lookUpOwner(ctx, id)
	if err != nil || ownership.Workspace != "" {
		return ownership.Workspace, err
	}
	job, err := s.jobStore.readJobCached(ctx, id)
	if err != nil {
		return "", s.storeError(id, err)
	}
	if job.Workspace != "" {
		ownership.Workspace = job.Workspace
		s.rememberOwner(id, ownership)
	}
	return job.Workspace, nil
}

// checkResubmission checks that a job which exists already was submitted by the workspace
// that submits it now. It fails with code NotFound if it was not, and with code
// OutcomeUnknown if that cannot be decided: the caller may be told neither that the job is
// accepted nor that it will not run.
func (s *service) checkResubmission(ctx context.Context, job *batch.Job) error {
	workspace, err := s.workspaceOf(ctx, job.ID)
	if err != nil {
		return result.Wrap(result.OutcomeUnknown, err)
	}
	scope := access.Scope{Workspace: job.Workspace, Public: job.Workspace == ""}
	if err := s.visibilityError(job.ID, scope.Sees(workspace)); result.CodeOf(err) != result.StoreUnavailable {
		return err
	}
	return result.New(result.OutcomeUnknown, "the workspace of batch job %s is not recorded", job.ID)
}
