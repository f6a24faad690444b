package gate

import (
	"sync"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// maxCountedWorkspaces bounds the workspaces with counters of their own, and
	// otherWorkspaces stands for the others.
	maxCountedWorkspaces = 100
	otherWorkspaces      = "OTHER"
)

// workspaceCounts counts requests by workspace.
type workspaceCounts struct {
	metrics contract.Metrics
	mu      sync.Mutex
	counted map[structs.WorkspaceName]bool
}

// add counts a request of a workspace; nil counts nothing.
func (c *workspaceCounts) add(workspace *access.Workspace, event string) {
	if workspace != nil {
		c.metrics.Count("gate.workspace."+c.label(workspace.Name)+"."+event, 1)
	}
}

func (c *workspaceCounts) label(name structs.WorkspaceName) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.counted[name] && len(c.counted) >= maxCountedWorkspaces {
		return otherWorkspaces
	}
	c.counted[name] = true
	return string(name)
}
