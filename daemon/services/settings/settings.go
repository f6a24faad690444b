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

	loaded  *kernel.Mailbox[kernel.Reply[loaded]]
	written *kernel.Mailbox[kernel.Reply[written]]

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

// Peek implements contract.Settings.
func (s *service) Peek(workspace structs.WorkspaceName) (settings.Resolved, error) {
	view := s.view.Load()
	if view.Document == nil {
		return settings.Resolved{}, result.New(result.NoGrant, "no settings are known yet")
	}
	resolved, ok := view.Resolved[workspace]
	if !ok {
		return settings.Resolved{}, result.New(result.UnknownWorkspace, "%s", workspace)
	}
	return resolved, nil
}

// Acquire implements contract.Settings.
func (s *service) Acquire(ctx context.Context, workspace structs.WorkspaceName) (settings.Resolved, error) {
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
			return settings.Resolved{}, err
		}
	}
}

func (s *service) acquire(view *contract.SettingsView, workspace structs.WorkspaceName) (settings.Resolved, error) {
	if view.Document == nil || !s.clock.Now().Before(view.GrantEnds) {
		return settings.Resolved{}, result.New(result.NoGrant, "")
	}
	if view.InDoubt[workspace] {
		return settings.Resolved{}, result.New(result.SettingsInDoubt, "workspace %s", workspace)
	}
	resolved, ok := view.Resolved[workspace]
	if !ok {
		return settings.Resolved{}, result.New(result.UnknownWorkspace, "%s", workspace)
	}
	return resolved, nil
}

// OnNews implements contract.SettingsControl.
func (s *service) OnNews(call func()) { s.onNews = call }

// News implements contract.SettingsControl.
func (s *service) News() (zone.News, bool) {
	news := zone.News{Round: s.round, Undecided: len(s.staged) > 0, Revision: s.revision}
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

// Take implements contract.SettingsControl. A carry that is older than what is
// known changes nothing.
func (s *service) Take(carry contract.Carry) error {
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
	var missing []change.Accepted
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
		Resolved:  make(map[structs.WorkspaceName]settings.Resolved, len(s.document.Workspaces)),
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
	after, err := change.Replay(s.document, []change.Accepted{{Changes: s.staged}})
	if err != nil {
		s.log.WithError(err).Error("Staged changes do not apply.")
		after = &settings.Document{}
	}
	return settings.Touched(s.document, after)
}
