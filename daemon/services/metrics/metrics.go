// Package metrics is the service "ops.metrics": counters, gauges and timers
// of the daemon, kept by go-metrics.
package metrics

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/flamingobeam/flamingobeam/coord/burn"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameMetrics, func() kernel.Service {
		return &service{registry: gometrics.NewRegistry()}
	})
}

type service struct {
	kernel.Base
	registry gometrics.Registry
	clock    clockwork.Clock
	served   sync.Map
}

var (
	_ contract.Metrics       = (*service)(nil)
	_ contract.MetricsReader = (*service)(nil)
)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	s.clock = ctx.Clock()
	return nil
}

// servedKey names the counters of one workspace and class.
type servedKey struct {
	workspace structs.WorkspaceName
	class     structs.Class
}

// servedCounters count requests that were and were not answered in time, in
// all and by time slots.
type servedCounters struct {
	good, bad gometrics.Counter

	mu     sync.Mutex
	series burn.Series
}

func (c *servedCounters) add(now time.Time, good bool) {
	if good {
		c.good.Inc(1)
	} else {
		c.bad.Inc(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.series.Add(now, good)
}

// Count implements contract.Metrics.
func (s *service) Count(name string, delta int64) {
	gometrics.GetOrRegisterCounter(name, s.registry).Inc(delta)
}

// Gauge implements contract.Metrics.
func (s *service) Gauge(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, s.registry).Update(value)
}

// Time implements contract.Metrics.
func (s *service) Time(name string, span time.Duration) {
	gometrics.GetOrRegisterTimer(name, s.registry).Update(span)
}

// RecordRequest implements contract.Metrics.
func (s *service) RecordRequest(workspace structs.WorkspaceName, class structs.Class, good bool) {
	s.countersOf(servedKey{workspace: workspace, class: class}).add(s.clock.Now(), good)
}

func (s *service) countersOf(key servedKey) *servedCounters {
	if known, ok := s.served.Load(key); ok {
		return known.(*servedCounters)
	}
	prefix := "served." + string(key.workspace) + "." + key.class.String()
	counters := &servedCounters{
		good: gometrics.GetOrRegisterCounter(prefix+".good", s.registry),
		bad:  gometrics.GetOrRegisterCounter(prefix+".bad", s.registry),
	}
	known, _ := s.served.LoadOrStore(key, counters)
	return known.(*servedCounters)
}

// Burn implements contract.MetricsReader.
func (s *service) Burn(objective func(structs.WorkspaceName) (float64, bool)) burn.Report {
	now := s.clock.Now()
	report := burn.Report{At: now, PeriodSeconds: burn.Period.Seconds()}
	s.served.Range(func(k, v any) bool {
		key, counters := k.(servedKey), v.(*servedCounters)
		if wanted, ok := objective(key.workspace); ok {
			counters.mu.Lock()
			defer counters.mu.Unlock()
			report.Rows = append(report.Rows, burn.NewRow(now, key.workspace, key.class, wanted, &counters.series))
		}
		return true
	})
	report.Sort()
	return report
}

// All implements contract.MetricsReader.
func (s *service) All() map[string]map[string]any { return s.registry.GetAll() }
