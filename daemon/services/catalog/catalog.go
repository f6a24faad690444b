// Package catalog implements the service "control.catalog", which watches the
// configurations and weight versions that the operator and the trainers write
// to the platform's store. A configuration is applied as a whole and never
// replaced by an older one.
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

// watchOptions bounds the time until a change is in force to three seconds,
// also when a watch connection was lost. It batches the weight versions of
// several models, which trainers write at about the same time.
var watchOptions = contract.WatchOptions{PollTimeout: 1500 * time.Millisecond, BatchDelay: 400 * time.Millisecond}

type service struct {
	kernel.Base
	log  *logrus.Entry
	view *kernel.Snapshot[contract.CatalogView]
	// settingsView stays empty: on a managed platform the operator configures
	// routes, and every caller has the same share.
	settingsView *kernel.Snapshot[contract.SettingsView]
}

var (
	_ contract.Catalog  = (*service)(nil)
	_ contract.Settings = (*service)(nil)
)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	store, err := kernel.Find[contract.TransactionalStore](ctx, contract.NameTransactionalStore)
	if err != nil {
		return err
	}
	s.log = ctx.Log()
	s.view = kernel.NewSnapshot(&contract.CatalogView{TargetVersions: map[structs.ServiceName]structs.WeightVersion{}})
	s.settingsView = kernel.NewSnapshot(&contract.SettingsView{})
	store.WatchPrefix(platform.OperatorPrefix, watchOptions, s.applyChanges)
	return nil
}

// Current implements contract.Catalog.
func (s *service) Current() *kernel.Snapshot[contract.CatalogView] { return s.view }

// View implements contract.Settings.
func (s *service) View() *kernel.Snapshot[contract.SettingsView] { return s.settingsView }

// DecidedParameters implements contract.Settings.
func (s *service) DecidedParameters(_ context.Context, workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return s.LastKnownParameters(workspace)
}

// LastKnownParameters implements contract.Settings.
func (s *service) LastKnownParameters(workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return settings.ResolvedParameters{}, result.New(result.UnknownWorkspace, "%s", workspace)
}

// applyChanges applies changes on the control goroutine. A removal is ignored:
// the last configuration and the last versions stay in force.
func (s *service) applyChanges(changes contract.News) {
	next := *s.view.Load()
	next.TargetVersions = maps.Clone(next.TargetVersions)
	changed := false
	for _, record := range changes.Records {
		switch {
		case record.Removed:
		case record.Key == platform.ConfigurationKey:
			changed = s.applyConfiguration(&next, record, changes) || changed
		case strings.HasPrefix(record.Key, platform.VersionPrefix):
			changed = s.applyTargetVersion(&next, record) || changed
		}
	}
	if changed {
		s.view.Publish(&next)
	}
}

func (s *service) applyConfiguration(next *contract.CatalogView, record outside.Record, changes contract.News) bool {
	decoded, err := platform.DecodeCatalog(record.Value)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"revision": record.Revision, "code": int(result.SettingsMalformed)}).Error("Cannot decode a configuration; the previous one stays in force.")
		return false
	}
	if next.Catalog != nil && decoded.Version <= next.Catalog.Version {
		return false
	}
	s.applyWorkspaces(decoded, next.Catalog)
	s.log.WithFields(logrus.Fields{
		"version": decoded.Version, "revision": record.Revision, "source": changes.Source, "age_ms": changes.Age.Milliseconds(),
	}).Info("A configuration is in force.")
	next.Catalog = decoded
	return true
}

func (s *service) applyTargetVersion(next *contract.CatalogView, record outside.Record) bool {
	target, err := platform.DecodeRequestedVersion(record.Key, record.Value)
	if err != nil {
		s.log.WithError(err).Warn("Cannot decode a target weight version.")
		return false
	}
	if target.Version <= next.TargetVersions[target.Model] {
		return false
	}
	s.log.WithFields(logrus.Fields{"model": target.Model, "version": target.Version}).Info("A target weight version is set.")
	next.TargetVersions[target.Model] = target.Version
	return true
}
