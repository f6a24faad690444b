// Package metrics is the service "ops.metrics": counters, gauges and timers
// of the daemon, kept by go-metrics.
package metrics

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

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
	served   sync.Map
}

var _ contract.Metrics = (*service)(nil)

// servedKey names the counters of one workspace and class.
type servedKey struct {
	workspace structs.WorkspaceName
	class     structs.Class
}

// servedCounters count requests that were and were not answered in time.
type servedCounters struct{ good, bad gometrics.Counter }

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

// Served implements contract.Metrics.
func (s *service) Served(workspace structs.WorkspaceName, class structs.Class, good bool) {
	counters := s.countersOf(servedKey{workspace: workspace, class: class})
	if good {
		counters.good.Inc(1)
	} else {
		counters.bad.Inc(1)
	}
}

func (s *service) countersOf(key servedKey) servedCounters {
	if known, ok := s.served.Load(key); ok {
		return known.(servedCounters)
	}
	prefix := "served." + string(key.workspace) + "." + key.class.String()
	counters := servedCounters{
		good: gometrics.GetOrRegisterCounter(prefix+".good", s.registry),
		bad:  gometrics.GetOrRegisterCounter(prefix+".bad", s.registry),
	}
	known, _ := s.served.LoadOrStore(key, counters)
	return known.(servedCounters)
}

// All returns the values of every metric by name.
func (s *service) All() map[string]map[string]any { return s.registry.GetAll() }
