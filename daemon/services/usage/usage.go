// Package usage implements the service "control.usage": it counts the requests of each
// workspace that begin to run on this daemon and, on the holder of the duties, gathers the
// counts of all daemons and reports them for each window of time. Without that duty it
// does nothing.
package usage

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/usage"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

func init() {
	kernel.Register(contract.NameUsage, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	isEnabled bool
	host      string
	rules     usage.Rules
	duties    contract.Duties
	session   contract.Session
	store     contract.TransactionalStore
	peers     contract.Peers
	metrics   contract.Metrics
	log       *logrus.Entry
	loop      *kernel.Loop
	workers   *kernel.Workers
	results   *kernel.Mailbox[kernel.AsyncResult[stepResult]]
	executor  *kernel.LoopExecutor

	// The following fields belong to the control goroutine.
	//
	// book is nil while this daemon is not the holder, and token its fencing token.
	book  *usage.Book
	token uint64
	// revision is the revision of the record in the store.
	revision outside.Revision
	// isBusy is set while a step is in progress.
	isBusy bool
	timer  *kernel.Timer
	// reported are the last windows that the platform has confirmed in this tenure.
	reported []contract.UsageWindow
	// clockError is how far this host's clock is ahead of those of most daemons.
	clockError time.Duration
	// clocks holds the clocks of daemons that are or seemed wrong, by name.
	clocks map[string]clockNote

	mu sync.Mutex
	// meter is protected by the lock.
	meter *usage.Meter
}

var _ contract.Usage = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	duties := daemon.Platform.Duties
	s.isEnabled = duties.Address != "" && duties.ReportsUsage && duties.UsageWindow > 0
	if !s.isEnabled {
		return nil
	}
	s.host = string(daemon.Host)
	s.rules = usage.Rules{Length: duties.UsageWindow, Due: duties.UsageDue}
	s.meter, s.clocks = usage.NewMeter(s.rules.KeepTime()), make(map[string]clockNote)
	s.log, s.loop, s.workers = ctx.Log(), ctx.Loop(), ctx.Workers()
	s.results = kernel.NewMailbox(s.loop, 1, s.handleResult)
	s.executor = kernel.NewLoopExecutor(s.loop)
	var rpc contract.RPCServer
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.duties, contract.NameDuties),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.store, contract.NameTransactionalStore),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&rpc, contract.NameRPCServer),
	)
	if err != nil {
		return err
	}
	return rpc.Register(rpcName, &Receiver{service: s})
}

// Start implements kernel.Service.
func (s *service) Start() error {
	if s.isEnabled {
		kernel.Subscribe(s.loop, s.workers, s.duties.View(), s.follow)
	}
	return nil
}

// RecordStart implements contract.Usage.
func (s *service) RecordStart(workspace structs.WorkspaceName, at time.Time) {
	if !s.isEnabled || workspace == "" {
		return
	}
	began := boottime.Now() - time.Since(at)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Add(usage.Start{At: began, Workspace: workspace, Count: 1})
}

// follow begins and ends the work of the holder. A daemon that leads gathers and decides also
// while it may not report yet. It runs on the control goroutine.
func (s *service) follow(view *contract.DutiesView) {
	token, leads := s.session.Leadership()
	leads = leads && token == view.FencingToken && view.Holder == s.host
	switch {
	case !leads && s.book != nil:
		s.log.WithField("token", s.token).Info("Reporting of usage ends on this daemon.")
		s.book = nil
	case leads && (s.book == nil || s.token != token):
		s.log.WithField("token", token).Info("Reporting of usage begins on this daemon.")
		s.book, s.token, s.revision, s.reported = s.rules.NewBook(), token, 0, nil
	}
	s.advance()
}

// trueNow is the holder's estimate of the true time.
func (s *service) trueNow() time.Time { return time.Now().Add(-s.clockError) }
