package catalog

import (
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
)

// maxLoggedFlaws bounds the log lines for the flaws of one configuration.
const maxLoggedFlaws = 20

// applyWorkspaces lets flawed workspaces of a new configuration keep the keys that they
// had in the previous one, which is nil at first.
func (s *service) applyWorkspaces(next, previous *catalog.Catalog) {
	if next.Access == nil {
		return
	}
	flaws := next.Access.Flaws()
	for _, flaw := range flaws[:min(len(flaws), maxLoggedFlaws)] {
		s.log.WithFields(logrus.Fields{
			"code": int(result.WorkspaceFlawed), "version": next.Version, "workspace": flaw.Workspace, "why": flaw.Reason,
		}).Error("A workspace's configuration cannot be used; its last usable one stays in force.")
	}
	if len(flaws) > maxLoggedFlaws {
		s.log.WithFields(logrus.Fields{"code": int(result.WorkspaceFlawed), "version": next.Version, "more": len(flaws) - maxLoggedFlaws}).
			Error("More workspaces cannot be used.")
	}
	if previous != nil {
		next.Access = next.Access.Over(previous.Access)
	}
}
