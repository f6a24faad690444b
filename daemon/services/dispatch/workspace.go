package dispatch

import (
	"cmp"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/platform"
)

// identityOf returns what a server learns of a caller.
func identityOf(workspace *access.Workspace) platform.Identity {
	if workspace == nil {
		return platform.Identity{}
	}
	return platform.Identity{IsManaged: true, Workspace: workspace.Name}
}

// chargeWorkspace lets a request use the share of its workspace.
func chargeWorkspace(request contract.ForwardRequest, pick *contract.PickRequest) {
	workspace := cmp.Or(request.Workspace, request.OnBehalfOf)
	if workspace == nil {
		return
	}
	pick.Workspace, pick.WorkspacePriority, pick.ByDemand = workspace.Name, workspace.Priority, true
}
