// Package intake is the service "traffic.intake": the account of all that the daemon
// holds for its clients, and of their connections. Goroutines of traffic use it
// concurrently; a mutex that is held only for short calculations protects it. Package
// coord/intake decides who is refused.
package intake

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameIntake, func() kernel.Service { return &service{conns: make(map[*conn]bool)} })
}

type service struct {
	kernel.Base
	budget      intake.Budget
	descriptors int
	metrics     contract.Metrics
	log         *logrus.Entry

	mu    sync.Mutex
	conns map[*conn]bool
	// counts are the open connections of each door.
	counts [intake.DoorMetrics + 1]int
	// held is the sum of all holdings, ending the part of it that belongs to clients which
	// have been ended, and requests the number of requests in progress.
	held, ending int64
	requests     int
	// work is what accepted batch jobs hold.
	work int64
	// changed is closed when bytes are given back; nil if nobody waits.
	changed chan struct{}
	// nextChoice is when the holders may be looked through again.
	nextChoice time.Time
	// nextLog is when the next choice is logged.
	nextLog time.Time
}

var _ contract.Intake = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.log = ctx.Log()
	memory, descriptors := daemon.Platform.Memory, daemon.Platform.Descriptors
	if memory == 0 {
		memory = systemMemory()
	}
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	s.budget, s.descriptors = budgetOf(daemon.Platform.Entry.Clients, memory, descriptors), descriptors
	s.log.WithFields(logrus.Fields{
		"memory": memory, "descriptors": descriptors, "bytes": s.budget.Bytes, "connections": s.budget.Connections, "requests": s.budget.Requests, "work": s.budget.Work,
	}).Info("Clients are bounded.")
	return kernel.FindAll(ctx, kernel.Bind(&s.metrics, contract.NameMetrics))
}

// budgetOf returns the budget of a host, as far as the settings do not replace it.
func budgetOf(settings config.Clients, memory int64, descriptors int) intake.Budget {
	budget := intake.BudgetOf(memory, descriptors)
	if settings.Bytes > 0 {
		budget.Bytes = settings.Bytes
	}
	if settings.Connections > 0 {
		budget.Connections = settings.Connections
	}
	if settings.Requests > 0 {
		budget.Requests = settings.Requests
	}
	if settings.Work > 0 {
		budget.Work = settings.Work
	}
	if settings.StalledAfter > 0 {
		budget.StalledAfter = time.Duration(settings.StalledAfter)
	}
	return budget
}

// Track implements contract.Intake.
func (s *service) Track(server *http.Server) {
	server.ConnContext = withConnHolding
	server.ConnState = trackState
}

// AdmitsWork implements contract.Intake.
func (s *service) AdmitsWork(bytes int64) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	admits := s.budget.AdmitsWork(s.work, bytes)
	if !admits {
		s.recordChoice(now, "work_refused", 1)
	}
	return admits
}

// HoldWork implements contract.Intake.
func (s *service) HoldWork(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work += bytes
	s.metrics.Gauge("intake.work_bytes", s.work)
}

// snapshot returns the connections that a choice is made from and how they are described
// to it. The caller must hold s.mu.
func (s *service) snapshot(now time.Time, include func(*conn) bool) ([]*conn, []intake.Holder) {
	conns, holders := make([]*conn, 0, len(s.conns)), make([]intake.Holder, 0, len(s.conns))
	for c := range s.conns {
		if !c.isEnded && include(c) {
			conns, holders = append(conns, c), append(holders, c.describe(now))
		}
	}
	return conns, holders
}

// logInterval bounds the log lines about choices, which a crowd causes by the thousand.
const logInterval = time.Second

// recordChoice counts a choice and logs it now and then. The caller must hold s.mu.
func (s *service) recordChoice(now time.Time, what string, count int) {
	s.metrics.Count("intake."+what, int64(count))
	s.metrics.Gauge("intake.held_bytes", s.held)
	s.metrics.Gauge("intake.connections", int64(len(s.conns)))
	s.metrics.Gauge("intake.requests", int64(s.requests))
	if now.Before(s.nextLog) {
		return
	}
	s.nextLog = now.Add(logInterval)
	s.log.WithFields(logrus.Fields{
		"what": what, "count": count, "held": s.held, "bytes": s.budget.Bytes, "connections": len(s.conns), "requests": s.requests,
	}).Info("Clients are ended or refused.")
}
