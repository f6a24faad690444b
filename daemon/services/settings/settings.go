// Package settings implements the service "control.settings", which holds the
// operators' document in force and the undecided changes, and executes the
// operators' commands.
package settings

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameSettings, func() kernel.Service { return &service{} })
}

const (
	replyCapacity = 64
	// maxWait is how long a request waits for a grant or for the decision on a
	// change.
	maxWait = 2 * time.Second
)

type service struct {
	kernel.Base
	config             config.Daemon
	clock              clockwork.Clock
	loop               *kernel.Loop
	workers            *kernel.Workers
	log                *logrus.Entry
	clients            contract.Clients
	view               *kernel.Snapshot[contract.SettingsView]
	onGrantStateChange func()

	watchResults *kernel.Mailbox[kernel.AsyncResult[watchResult]]
	writeResults *kernel.Mailbox[kernel.AsyncResult[writeResult]]

	// The fields below belong to the control goroutine.
	document      *settings.Document
	revision      settings.Revision
	round         change.Round
	stagedChanges []settings.Change
	grantEnds     time.Time
	leader        *leaderState
}

var (
	_ contract.Settings        = (*service)(nil)
	_ contract.SettingsControl = (*service)(nil)
	_ contract.Operator        = (*service)(nil)
)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	if s.clients, err = kernel.Find[contract.Clients](ctx, contract.NameClients); err != nil {
		return err
	}
	s.clock, s.loop, s.workers, s.log = ctx.Clock(), ctx.Loop(), ctx.Workers(), ctx.Log()
	s.view = kernel.NewSnapshot(&contract.SettingsView{})
	s.onGrantStateChange = func() {}
	s.watchResults = kernel.NewMailbox(s.loop, replyCapacity, s.onWatchResult)
	s.writeResults = kernel.NewMailbox(s.loop, replyCapacity, s.onWriteResult)
	return nil
}

// View implements contract.Settings.
func (s *service) View() *kernel.Snapshot[contract.SettingsView] { return s.view }

// LastKnownParameters implements contract.Settings.
func (s *service) LastKnownParameters(workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	view := s.view.Load()
	if view.Document == nil {
		return settings.ResolvedParameters{}, result.New(result.NoGrant, "no settings are known yet")
	}
	resolved, ok := view.Resolved[workspace]
	if !ok {
		return settings.ResolvedParameters{}, result.New(result.UnknownWorkspace, "%s", workspace)
	}
	return resolved, nil
}

// DecidedParameters implements contract.Settings.
func (s *service) DecidedParameters(ctx context.Context, workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		view, viewReplaced := s.view.Watch()
		resolved, err := s.parametersOf(view, workspace)
		if err == nil || result.CodeOf(err) == result.UnknownWorkspace {
			return resolved, err
		}
		select {
		case <-viewReplaced:
		case <-ctx.Done():
			return settings.ResolvedParameters{}, err
		}
	}
}

func (s *service) parametersOf(view *contract.SettingsView, workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	if view.Document == nil || !s.clock.Now().Before(view.GrantEnds) {
		return settings.ResolvedParameters{}, result.New(result.NoGrant, "")
	}
	if view.InDoubt[workspace] {
		return settings.ResolvedParameters{}, result.New(result.SettingsInDoubt, "workspace %s", workspace)
	}
	resolved, ok := view.Resolved[workspace]
	if !ok {
		return settings.ResolvedParameters{}, result.New(result.UnknownWorkspace, "%s", workspace)
	}
	return resolved, nil
}

// OnGrantStateChange implements contract.SettingsControl.
func (s *service) OnGrantStateChange(handler func()) { s.onGrantStateChange = handler }

// GrantState implements contract.SettingsControl.
func (s *service) GrantState() (zone.GrantState, bool) {
	state := zone.GrantState{Round: s.round, Undecided: len(s.stagedChanges) > 0, Revision: s.revision}
	return state, s.document != nil && (s.leader == nil || s.mayGrant())
}

// SetGrant implements contract.SettingsControl.
func (s *service) SetGrant(ends time.Time) {
	if ends.Equal(s.grantEnds) {
		return
	}
	s.grantEnds = ends
	view := *s.view.Load()
	view.GrantEnds = ends
	s.view.Publish(&view)
}

// ApplyDelta implements contract.SettingsControl. It ignores a delta that is
// older than the state in force.
func (s *service) ApplyDelta(delta contract.SettingsDelta) error {
	document, revision := s.document, s.revision
	if delta.Whole != nil && delta.Since > revision {
		if err := delta.Whole.Validate(); err != nil {
			return err
		}
		document, revision = delta.Whole, delta.Since
	}
	if document == nil {
		return result.New(result.NoGrant, "the collector handed over no document")
	}
	var rounds []change.AcceptedRound
	for _, accepted := range delta.Accepted {
		if accepted.Revision == revision+settings.Revision(len(rounds))+1 {
			rounds = append(rounds, accepted)
		}
	}
	document, err := change.Replay(document, rounds)
	if err != nil {
		return err
	}
	s.adoptState(document, revision+settings.Revision(len(rounds)), delta.Round, delta.Staged)
	return nil
}

// adoptState puts a settings state in force, unless the current one is newer
// or equal.
func (s *service) adoptState(document *settings.Document, revision settings.Revision, round change.Round, staged []settings.Change) {
	if revision < s.revision || round < s.round {
		return
	}
	unchanged := revision == s.revision && round == s.round && len(staged) == len(s.stagedChanges) && s.document != nil
	if unchanged {
		return
	}
	if revision > s.revision {
		s.log.Infof("Settings revision %d is in force.", revision)
	}
	s.document, s.revision, s.round, s.stagedChanges = document, revision, round, staged
	s.publishView()
	if s.leader == nil {
		s.onGrantStateChange()
	}
}

func (s *service) publishView() {
	view := &contract.SettingsView{
		Revision:  s.revision,
		Document:  s.document,
		Resolved:  make(map[structs.WorkspaceName]settings.ResolvedParameters, len(s.document.Workspaces)),
		InDoubt:   make(map[structs.WorkspaceName]bool),
		GrantEnds: s.grantEnds,
	}
	for _, workspace := range s.document.Workspaces {
		view.Resolved[workspace.Name], _ = s.document.Resolve(workspace.Name)
	}
	for _, workspace := range s.undecidedWorkspaces() {
		view.InDoubt[workspace] = true
	}
	s.view.Publish(view)
}

// undecidedWorkspaces lists the workspaces whose settings the undecided
// changes alter. Staging rejects changes that do not apply; should some fail
// to apply here, every workspace is listed.
func (s *service) undecidedWorkspaces() []structs.WorkspaceName {
	if len(s.stagedChanges) == 0 {
		return nil
	}
	after, err := change.Replay(s.document, []change.AcceptedRound{{Changes: s.stagedChanges}})
	if err != nil {
		s.log.WithError(err).Error("Cannot apply the staged changes.")
		after = &settings.Document{}
	}
	return settings.ChangedWorkspaces(s.document, after)
}
