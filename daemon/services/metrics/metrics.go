// Package metrics implements the service "ops.metrics": the counters, gauges and timers
// of the daemon, on top of go-metrics.
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
	// requests maps requestKey to *requestCounters.
	requests sync.Map
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

// requestKey identifies the counters of one workspace and class.
type requestKey struct {
	workspace structs.WorkspaceName
	class     structs.Class
}

// requestCounters counts good and bad requests, in total and per time slot.
type requestCounters struct {
	good, bad gometrics.Counter

	mu     sync.Mutex
	series burn.Series
}

func (c *requestCounters) add(now time.Time, good bool) {
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
func (s *service) Time(name string, duration time.Duration) {
	gometrics.GetOrRegisterTimer(name, s.registry).Update(duration)
}

// RecordRequest implements contract.Metrics.
func (s *service) RecordRequest(workspace structs.WorkspaceName, class structs.Class, good bool) {
	s.countersOf(requestKey{workspace: workspace, class: class}).add(s.clock.Now(), good)
}

func (s *service) countersOf(key requestKey) *requestCounters {
	if existing, ok := s.requests.Load(key); ok {
		return existing.(*requestCounters)
	}
	prefix := "served." + string(key.workspace) + "." + key.class.String()
	counters := &requestCounters{
		good: gometrics.GetOrRegisterCounter(prefix+".good", s.registry),
		bad:  gometrics.GetOrRegisterCounter(prefix+".bad", s.registry),
	}
	existing, _ := s.requests.LoadOrStore(key, counters)
	return existing.(*requestCounters)
}

// Burn implements contract.MetricsReader.
func (s *service) Burn(objective func(structs.WorkspaceName) (float64, bool)) burn.Report {
	now := s.clock.Now()
	report := burn.Report{At: now, PeriodSeconds: burn.Period.Seconds()}
	s.requests.Range(func(k, v any) bool {
		key, counters := k.(requestKey), v.(*requestCounters)
		if target, ok := objective(key.workspace); ok {
			counters.mu.Lock()
			defer counters.mu.Unlock()
			report.Rows = append(report.Rows, burn.NewRow(now, key.workspace, key.class, target, &counters.series))
		}
		return true
	})
	report.Sort()
	return report
}

// All implements contract.MetricsReader.
func (s *service) All() map[string]map[string]any { return s.registry.GetAll() }
