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
	// changeAttempts is the maximum number of attempts of a change while its
	// outcome is unknown.
	changeAttempts = 5
)

// settingsChecker changes settings and checks that each accepted change is in
// force at every daemon that is allowed to serve the workspace.
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

// changeOutcome is the checked part of the response to a change.
type changeOutcome struct {
	Accepted bool              `json:"accepted"`
	Revision settings.Revision `json:"revision"`
}

// daemonStatus is the checked part of a daemon's status.
type daemonStatus struct {
	Revision settings.Revision  `json:"revision"`
	Granted  bool               `json:"granted"`
	InDoubt  []string           `json:"in_doubt"`
	Document *settings.Document `json:"document"`
}

// change sets the share of a workspace to a unique value, and retries with the
// same change id while the outcome is unknown. It returns the last response.
func (s *settingsChecker) change(ctx context.Context, a arrival) response {
	share := s.newShare()
	change := settings.Change{
		ID: settings.ChangeID(fmt.Sprintf("%x-%d", a.seed, a.number)),
		Edits: []settings.Edit{{
			Kind:      settings.SetWorkspace,
			Workspace: a.stream.Workspace,
			Set:       settings.Parameters{Share: &share},
		}},
	}
	body, err := json.Marshal(change)
	if err != nil {
		return response{err: err}
	}
	start := time.Now()
	var resp response
	mayHaveRun := false
	for range changeAttempts {
		resp = s.balancer.send(ctx, request{method: http.MethodPost, path: pathChanges, body: body})
		if resp.err == nil && resp.outcome != result.MayHaveRun {
			break
		}
		mayHaveRun = true
	}
	if mayHaveRun && resp.code == result.StoreUnavailable {
		// The last attempt changed nothing, but an earlier one may have.
		return resp
	}
	s.checkChange(ctx, a.stream.Workspace, share, resp, time.Since(start))
	return resp
}

// newShare returns a share that no other change uses.
func (s *settingsChecker) newShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastShare += 1.0 / 1024
	return 1 + s.lastShare
}

func (s *settingsChecker) checkChange(ctx context.Context, workspace structs.WorkspaceName, share float64, resp response, duration time.Duration) {
	if resp.err != nil {
		return
	}
	if resp.outcome == result.NotRun {
		s.mu.Lock()
		s.withdrawn[share] = workspace
		s.mu.Unlock()
		return
	}
	var outcome changeOutcome
	if resp.outcome != result.Answered || json.Unmarshal(resp.body, &outcome) != nil || !outcome.Accepted {
		return
	}
	s.tally.recordSettingsChange(duration)
	for _, daemon := range s.balancer.daemons {
		status, ok := s.fetchStatus(ctx, daemon)
		if ok && servesWorkspace(status, workspace) && status.Revision < outcome.Revision {
			s.tally.recordPartialSettings("%s served %s by revision %d after %d was accepted", daemon, workspace, status.Revision, outcome.Revision)
		}
	}
}

// servesWorkspace reports whether a daemon may serve a workspace: it holds an
// unexpired lease of its zone, and the settings of the workspace are not in doubt.
func servesWorkspace(status daemonStatus, workspace structs.WorkspaceName) bool {
	for _, name := range status.InDoubt {
		if name == string(workspace) {
			return false
		}
	}
	return status.Granted
}

func (s *settingsChecker) fetchStatus(ctx context.Context, daemon string) (daemonStatus, bool) {
	resp, _ := s.balancer.sendTo(ctx, daemon, request{method: http.MethodGet, path: pathStatus})
	var status daemonStatus
	if resp.err != nil || json.Unmarshal(resp.body, &status) != nil || status.Document == nil {
		return daemonStatus{}, false
	}
	return status, true
}

// checkWithdrawn checks that no daemon has a withdrawn change in force.
func (s *settingsChecker) checkWithdrawn(ctx context.Context) {
	for _, daemon := range s.balancer.daemons {
		status, ok := s.fetchStatus(ctx, daemon)
		if !ok {
			continue
		}
		for _, workspace := range status.Document.Workspaces {
			share := workspace.Parameters.Share
			if share != nil && s.withdrawn[*share] == workspace.Name {
				s.tally.recordPartialSettings("%s has the withdrawn share %g of %s in force", daemon, *share, workspace.Name)
			}
		}
	}
}
