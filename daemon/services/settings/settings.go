// Package settings is the service "control.settings": the operators' document
// in force, the changes that are being decided, and the operators' commands.
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
	// maxHold is how long a request waits for a grant or a decision.
	maxHold = 2 * time.Second
)

type service struct {
	kernel.Base
	config  config.Daemon
	clock   clockwork.Clock
	loop    *kernel.Loop
	workers *kernel.Workers
	log     *logrus.Entry
	clients contract.Clients
	view    *kernel.Snapshot[contract.SettingsView]
	onNews  func()

	loaded  *kernel.Mailbox[kernel.AsyncResult[loaded]]
	written *kernel.Mailbox[kernel.AsyncResult[written]]

	// The fields below belong to the control goroutine.
	document  *settings.Document
	revision  settings.Revision
	round     change.Round
	staged    []settings.Change
	grantEnds time.Time
	lead      *lead
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
	s.onNews = func() {}
	s.loaded = kernel.NewMailbox(s.loop, replyCapacity, s.onLoaded)
	s.written = kernel.NewMailbox(s.loop, replyCapacity, s.onWritten)
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
	ctx, cancel := context.WithTimeout(ctx, maxHold)
	defer cancel()
	for {
		view, replaced := s.view.Watch()
		resolved, err := s.acquire(view, workspace)
		if err == nil || result.CodeOf(err) == result.UnknownWorkspace {
			return resolved, err
		}
		select {
		case <-replaced:
		case <-ctx.Done():
			return settings.ResolvedParameters{}, err
		}
	}
}

func (s *service) acquire(view *contract.SettingsView, workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
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
func (s *service) OnGrantStateChange(call func()) { s.onNews = call }

// GrantState implements contract.SettingsControl.
func (s *service) GrantState() (zone.GrantState, bool) {
	news := zone.GrantState{Round: s.round, Undecided: len(s.staged) > 0, Revision: s.revision}
	return news, s.document != nil && (s.lead == nil || s.mayGrant())
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

// ApplyDelta implements contract.SettingsControl. A carry that is older than what is
// known changes nothing.
func (s *service) ApplyDelta(carry contract.SettingsDelta) error {
	document, revision := s.document, s.revision
	if carry.Whole != nil && carry.Since > revision {
		if err := carry.Whole.Validate(); err != nil {
			return err
		}
		document, revision = carry.Whole, carry.Since
	}
	if document == nil {
		return result.New(result.NoGrant, "the collector handed over no document")
	}
	var missing []change.AcceptedRound
	for _, accepted := range carry.Accepted {
		if accepted.Revision == revision+settings.Revision(len(missing))+1 {
			missing = append(missing, accepted)
		}
	}
	document, err := change.Replay(document, missing)
	if err != nil {
		return err
	}
	s.adopt(document, revision+settings.Revision(len(missing)), carry.Round, carry.Staged)
	return nil
}

// adopt makes a state of the settings the one in force, unless a newer one is.
func (s *service) adopt(document *settings.Document, revision settings.Revision, round change.Round, staged []settings.Change) {
	if revision < s.revision || round < s.round {
		return
	}
	same := revision == s.revision && round == s.round && len(staged) == len(s.staged) && s.document != nil
	if same {
		return
	}
	if revision > s.revision {
		s.log.Infof("Revision %d is in force.", revision)
	}
	s.document, s.revision, s.round, s.staged = document, revision, round, staged
	s.publish()
	if s.lead == nil {
		s.onNews()
	}
}

func (s *service) publish() {
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
	for _, workspace := range s.touched() {
		view.InDoubt[workspace] = true
	}
	s.view.Publish(view)
}

// touched lists the workspaces that the undecided changes alter. Should they
// not apply, which staging rules out, every workspace counts as touched.
func (s *service) touched() []structs.WorkspaceName {
	if len(s.staged) == 0 {
		return nil
	}
	after, err := change.Replay(s.document, []change.AcceptedRound{{Changes: s.staged}})
	if err != nil {
		s.log.WithError(err).Error("Staged changes do not apply.")
		after = &settings.Document{}
	}
	return settings.ChangedWorkspaces(s.document, after)
}
