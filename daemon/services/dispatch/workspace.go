package dispatch

import (
	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/platform"
)

// identityOf returns what a server learns of a caller.
func identityOf(workspace *access.Workspace) platform.Identity {
	if workspace == nil {
		return platform.Identity{}
	}
	return platform.Identity{IsManaged: true, Workspace: workspace.Name}
}
