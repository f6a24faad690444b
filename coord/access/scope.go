package access

import "github.com/flamingobeam/flamingobeam/coord/structs"

// Scope says which batch jobs a caller may see and change.
type Scope struct {
	// All is set in a deployment without workspaces, where any caller may.
	All bool
	// Workspace is that of the caller's key; empty for a caller without a key.
	Workspace structs.WorkspaceName
	// Public is set if jobs may be submitted without a key. They have no workspace.
	Public bool
}

// Visibility says whether a batch job exists for a caller.
type Visibility uint8

// The visibilities of a job.
const (
	// Visible means that the caller may see and change the job.
	Visible Visibility = iota
	// Hidden means that the job does not exist for the caller.
	Hidden
	// Undecided means that the job's record names no workspace, although the job must
	// have one: an earlier release wrote it. The caller is told neither that the job
	// exists nor that it does not.
	Undecided
)

// Sees returns the visibility of a job of a workspace. The name is empty if the job's
// record names none.
func (s Scope) Sees(workspace structs.WorkspaceName) Visibility {
	switch {
	case s.All, workspace == "" && s.Public, workspace != "" && workspace == s.Workspace:
		return Visible
	case workspace == "":
		return Undecided
	}
	return Hidden
}
