// Package catalog is the service "control.catalog": it follows what the
// operator and the trainers write to the platform's store. A configuration
// comes into force whole and is never replaced by an older one.
package catalog

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameCatalog, func() kernel.Service { return &service{} })
}

// pace finds a watch that was cut in time for a change to be in force within
// three seconds; versions of several models are named at nearly the same time.
var pace = contract.WatchOptions{PollTimeout: 1500 * time.Millisecond, BatchDelay: 400 * time.Millisecond}

type service struct {
	kernel.Base
	log  *logrus.Entry
	view *kernel.Snapshot[contract.CatalogView]
	// workspaces stays empty: on a managed platform the operator configures
	// routes, so every caller has the same share.
	workspaces *kernel.Snapshot[contract.SettingsView]
}

var (
	_ contract.Catalog  = (*service)(nil)
	_ contract.Settings = (*service)(nil)
)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	ledger, err := kernel.Find[contract.TransactionalStore](ctx, contract.NameTransactionalStore)
	if err != nil {
		return err
	}
	s.log = ctx.Log()
	s.view = kernel.NewSnapshot(&contract.CatalogView{TargetVersions: map[structs.ServiceName]structs.WeightVersion{}})
	s.workspaces = kernel.NewSnapshot(&contract.SettingsView{})
	ledger.WatchPrefix(platform.OperatorPrefix, pace, s.take)
	return nil
}

// Current implements contract.Catalog.
func (s *service) Current() *kernel.Snapshot[contract.CatalogView] { return s.view }

// View implements contract.Settings.
func (s *service) View() *kernel.Snapshot[contract.SettingsView] { return s.workspaces }

// DecidedParameters implements contract.Settings.
func (s *service) DecidedParameters(_ context.Context, workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return s.LastKnownParameters(workspace)
}

// LastKnownParameters implements contract.Settings.
func (s *service) LastKnownParameters(workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return settings.ResolvedParameters{}, result.New(result.UnknownWorkspace, "%s", workspace)
}

// take applies news on the control goroutine. A removal changes nothing: what
// was in force stays in force.
func (s *service) take(news contract.PrefixChanges) {
	next := *s.view.Load()
	next.TargetVersions = maps.Clone(next.TargetVersions)
	changed := false
	for _, record := range news.Records {
		switch {
		case record.Removed:
		case record.Key == platform.ConfigurationKey:
			changed = s.configure(&next, record) || changed
		case strings.HasPrefix(record.Key, platform.VersionPrefix):
			changed = s.want(&next, record) || changed
		}
	}
	if changed {
		s.view.Publish(&next)
	}
}

func (s *service) configure(next *contract.CatalogView, record outside.Record) bool {
	decoded, err := platform.DecodeCatalog(record.Value)
	if err != nil {
		s.log.WithError(err).WithField("revision", record.Revision).Error("A configuration cannot be read; the one before stays in force.")
		return false
	}
	if next.Catalog != nil && decoded.Version <= next.Catalog.Version {
		return false
	}
	s.log.WithFields(logrus.Fields{"version": decoded.Version, "revision": record.Revision}).Info("A configuration is in force.")
	next.Catalog = decoded
	return true
}

func (s *service) want(next *contract.CatalogView, record outside.Record) bool {
	named, err := platform.DecodeRequestedVersion(record.Key, record.Value)
	if err != nil {
		s.log.WithError(err).Warn("A named version cannot be read.")
		return false
	}
	if named.Version <= next.TargetVersions[named.Model] {
		return false
	}
	s.log.WithFields(logrus.Fields{"model": named.Model, "version": named.Version}).Info("A weight version is wanted.")
	next.TargetVersions[named.Model] = named.Version
	return true
}
