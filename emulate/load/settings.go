package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	pathChanges = "/v1/operator/changes"
	pathStatus  = "/v1/operator/status?document=true"
	// settleAttempts is how often an operator asks again what became of a
	// change.
	settleAttempts = 5
)

// settingsChecker changes settings and checks that an accepted change is seen
// by every daemon that serves by the settings.
type settingsChecker struct {
	balancer *balancer
	tally    *tally

	mu        sync.Mutex
	withdrawn map[float64]structs.WorkspaceName
	lastShare float64
}

func newSettingsChecker(b *balancer, t *tally) *settingsChecker {
	return &settingsChecker{balancer: b, tally: t, withdrawn: make(map[float64]structs.WorkspaceName)}
}

// outcome is the part of a change's outcome that is checked.
type outcome struct {
	Accepted bool              `json:"accepted"`
	Revision settings.Revision `json:"revision"`
}

// status is the part of a daemon's status that is checked.
type status struct {
	Revision settings.Revision  `json:"revision"`
	Granted  bool               `json:"granted"`
	InDoubt  []string           `json:"in_doubt"`
	Document *settings.Document `json:"document"`
}

// change sets the workspace's share to a value of its own and asks again with
// the same id while the outcome is unknown. It returns the last response.
func (s *settingsChecker) change(ctx context.Context, p performance) response {
	share := s.nextShare()
	change := settings.Change{
		ID: settings.ChangeID(fmt.Sprintf("%x-%d", p.seed, p.number)),
		Edits: []settings.Edit{{
			Kind:      settings.SetWorkspace,
			Workspace: p.stream.Workspace,
			Set:       settings.Parameters{Share: &share},
		}},
	}
	body, err := json.Marshal(change)
	if err != nil {
		return response{err: err}
	}
	begun := time.Now()
	var got response
	uncertain := false
	for range settleAttempts {
		got = s.balancer.send(ctx, request{method: http.MethodPost, path: pathChanges, body: body})
		if got.err == nil && got.outcome != result.MayHaveRun {
			break
		}
		uncertain = true
	}
	if uncertain && got.code == result.StoreUnavailable {
		// Nothing was changed by this try, but an earlier one may have been.
		return got
	}
	s.settle(ctx, p.stream.Workspace, share, got, time.Since(begun))
	return got
}

// nextShare gives values that tell the changes apart.
func (s *settingsChecker) nextShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastShare += 1.0 / 1024
	return 1 + s.lastShare
}

func (s *settingsChecker) settle(ctx context.Context, workspace structs.WorkspaceName, share float64, got response, span time.Duration) {
	if got.err != nil {
		return
	}
	if got.outcome == result.NotRun {
		s.mu.Lock()
		s.withdrawn[share] = workspace
		s.mu.Unlock()
		return
	}
	var decided outcome
	if got.outcome != result.Answered || json.Unmarshal(got.body, &decided) != nil || !decided.Accepted {
		return
	}
	s.tally.accepted(span)
	for _, daemon := range s.balancer.daemons {
		seen, ok := s.status(ctx, daemon)
		if ok && serves(seen, workspace) && seen.Revision < decided.Revision {
			s.tally.partial("%s served %s by revision %d after %d was accepted", daemon, workspace, seen.Revision, decided.Revision)
		}
	}
}

// serves reports whether a daemon serves a workspace by its settings now.
func serves(seen status, workspace structs.WorkspaceName) bool {
	for _, name := range seen.InDoubt {
		if name == string(workspace) {
			return false
		}
	}
	return seen.Granted
}

func (s *settingsChecker) status(ctx context.Context, daemon string) (status, bool) {
	got, _ := s.balancer.sendTo(ctx, daemon, request{method: http.MethodGet, path: pathStatus})
	var seen status
	if got.err != nil || json.Unmarshal(got.body, &seen) != nil || seen.Document == nil {
		return status{}, false
	}
	return seen, true
}

// finish checks that no withdrawn change is in force anywhere.
func (s *settingsChecker) finish(ctx context.Context) {
	for _, daemon := range s.balancer.daemons {
		seen, ok := s.status(ctx, daemon)
		if !ok {
			continue
		}
		for _, workspace := range seen.Document.Workspaces {
			share := workspace.Parameters.Share
			if share != nil && s.withdrawn[*share] == workspace.Name {
				s.tally.partial("%s has the withdrawn share %g of %s in force", daemon, *share, workspace.Name)
			}
		}
	}
}
