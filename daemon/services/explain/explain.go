// Package explain implements the service "ops.explain": it answers operators' questions
// about a daemon on a managed platform. It decides nothing: each service reports on itself.
package explain

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameExplain, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	daemon    config.Daemon
	catalog   contract.Catalog
	session   contract.Session
	metrics   contract.MetricsReader
	requests  contract.RequestForecaster
	reporters []reporter
	log       *logrus.Entry
	loop      *kernel.Loop
	workers   *kernel.Workers
	// leader is published by the control goroutine.
	leader *kernel.Snapshot[contract.LeaderStatus]
}

// reporter is a service that reports on itself.
type reporter struct {
	name kernel.Name
	contract.StatusReporter
}

// reporterNames lists the services that have something to show, in the order in which they
// are asked.
func reporterNames() []kernel.Name {
	return []kernel.Name{contract.NameDuties, contract.NameUsage, contract.NameFleetSize, contract.NameBalance, contract.NameJobs}
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.daemon, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	s.log, s.loop, s.workers = ctx.Log(), ctx.Loop(), ctx.Workers()
	s.leader = kernel.NewSnapshot(&contract.LeaderStatus{Since: s.loop.Now()})
	var operators contract.OperatorHTTP
	err = kernel.FindAll(ctx,
		kernel.Bind(&operators, contract.NameMetricsHTTP),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.requests, contract.NameManagedFront),
	)
	if err != nil {
		return err
	}
	for _, name := range reporterNames() {
		found, err := kernel.Find[contract.StatusReporter](ctx, name)
		if err != nil {
			return err
		}
		s.reporters = append(s.reporters, reporter{name, found})
	}
	operators.HandleGet(contract.PathStatus, s.serveStatus)
	operators.HandleGet(contract.PathRoute, s.serveRoute)
	return nil
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.session.View(), s.follow)
	return nil
}

// follow notes when the leader changes. It runs on the control goroutine.
func (s *service) follow(view *contract.SessionView) {
	host, known := membership.HostOf(view.Leader), s.leader.Load()
	if host != known.Host || view.FencingToken != known.FencingToken {
		s.leader.Publish(&contract.LeaderStatus{Host: host, FencingToken: view.FencingToken, Since: s.loop.Now()})
	}
}

func (s *service) serveStatus(w http.ResponseWriter, r *http.Request) {
	status := s.status(r.Context())
	s.write(w, http.StatusOK, contract.Status{Host: s.daemon.Host, Place: s.daemon.Place, Managed: &status})
}

// write responds with a value as JSON.
func (s *service) write(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		s.log.WithError(err).Error("Could not encode a response to an operator.")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(encoded); err != nil {
		s.log.WithError(err).Debug("Writing a response to an operator failed.")
	}
}

// status gathers the reports of the services.
func (s *service) status(ctx context.Context) contract.ManagedStatus {
	view := s.session.View().Load()
	status := contract.ManagedStatus{
		Host: s.daemon.Host, Zone: s.daemon.Place.Zone, Session: view.Self.Name, HoldsLease: s.session.HoldsLease(),
		LiveDaemons: len(view.Live), Leader: *s.leader.Load(), Refusals: refusals(s.metrics.All()),
	}
	if current := s.catalog.Current().Load().Catalog; current != nil {
		status.ConfigurationVersion = uint64(current.Version)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, reporter := range s.reporters {
		if err := reporter.ReportStatus(ctx, &status); err != nil {
			s.log.WithError(err).WithField("missing", reporter.name).Info("A part of the status is missing.")
			status.Missing = append(status.Missing, string(reporter.name))
		}
	}
	status.Queues = longestQueues(status.Queues)
	return status
}
