// Package shutdown is the service "process.shutdown". It holds the schedule of the planned
// stop of this process, which other services follow. The schedule is set once; any
// goroutine may read it.
package shutdown

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/shutdown"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameShutdown, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	grace time.Duration
	log   *logrus.Entry

	once     sync.Once
	schedule shutdown.Schedule
}

var _ contract.Shutdown = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	s.grace, s.log = daemon.Platform.StopGrace, ctx.Log()
	return err
}

// Begin implements contract.Shutdown.
func (s *service) Begin(requested time.Time) shutdown.Schedule {
	s.once.Do(func() {
		s.schedule = shutdown.NewSchedule(requested, s.grace)
		s.log.WithFields(logrus.Fields{
			"requested": requested, "grace": s.grace.String(), "listener_closes": s.schedule.UnreadyEnd,
			"handover": s.schedule.HandoverAt, "drain_end": s.schedule.DrainEnd, "stop_end": s.schedule.StopEnd,
		}).Info("A planned stop begins.")
	})
	return s.schedule
}

// Schedule implements contract.Shutdown.
func (s *service) Schedule() shutdown.Schedule { return s.Begin(time.Now()) }
