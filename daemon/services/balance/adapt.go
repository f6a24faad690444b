package balance

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	// loadPollInterval is the time between load polls, each of one engine: 20
	// polls a second, about 6 KB/s.
	loadPollInterval = 50 * time.Millisecond
	// loadPollTimeout bounds one poll.
	loadPollTimeout = time.Second
)

// adaptLimits computes the concurrency limits of all servers from their
// windows. It runs only while there is traffic.
func (s *service) adaptLimits() {
	// Requests that end from here on start the timers again.
	s.control.timersRunning.Store(false)
	now, hadTraffic := s.now(), false
	for _, sr := range s.control.services {
		if s.adaptServiceLimits(sr) {
			hadTraffic = true
			s.updateCapacity(now, sr)
		}
		s.updateTierLoads(sr)
	}
	if hadTraffic {
		s.signalTraffic()
	}
}

// adaptServiceLimits updates the limits of a service's servers and reports
// whether the service had traffic.
func (s *service) adaptServiceLimits(sr *serviceRecord) bool {
	hadTraffic := false
	for _, r := range sr.records {
		w := r.counters.limitWindow.rotate(r.counters.inFlight.Load())
		if w.PeakInFlight == 0 && w.Finished == 0 {
			continue
		}
		hadTraffic = true
		r.counters.limit.Store(int32(r.adaptive.Observe(w)))
	}
	return hadTraffic
}

// rotate returns the statistics of the window and starts the next one, whose
// peak begins at the requests in flight.
func (w *limitWindow) rotate(inFlight int32) limit.WindowStats {
	return limit.WindowStats{
		Finished:     int(w.finishedCount.Swap(0)),
		TotalLatency: time.Duration(w.totalLatency.Swap(0)),
		Failed:       int(w.failedCount.Swap(0)),
		PeakInFlight: int(w.peakInFlight.Swap(inFlight)),
	}
}

// updateTierLoads sums the reported loads of other daemons for each tier.
func (s *service) updateTierLoads(sr *serviceRecord) {
	sums := make([]int64, len(sr.tierLoads))
	for i, counters := range sr.counters {
		sums[sr.table.TierOf(i)] += int64(counters.otherLoad.Load())
	}
	for i, sum := range sums {
		sr.tierLoads[i].other.Store(sum)
	}
}

// pollLoad polls the next engine of this daemon's zone for its load, while
// there is traffic.
func (s *service) pollLoad() {
	engines := s.control.zoneEngines
	if len(engines) == 0 || !s.control.timersRunning.Load() {
		s.control.pollScheduled = false
		return
	}
	s.loop.AfterFunc(loadPollInterval, s.pollLoad)
	s.control.pollIndex = (s.control.pollIndex + 1) % len(engines)
	server, counters := engines[s.control.pollIndex].server, engines[s.control.pollIndex].counters
	engine := s.clients.Platform().Engine
	kernel.RunAsync(s.workers, loadPollTimeout, s.control.loads, func(ctx context.Context) (loadReport, error) {
		ownInFlight := counters.inFlight.Load()
		load, err := engine.FetchLoad(ctx, server.Address)
		return loadReport{server: server.Name, ownInFlight: ownInFlight, load: load}, err
	})
}

// handleLoad stores the part of a reported load that comes from other daemons;
// this daemon counts its own requests itself.
func (s *service) handleLoad(reply kernel.AsyncResult[loadReport]) {
	if reply.Err != nil {
		return
	}
	report := reply.Value
	r, ok := s.control.records[report.server]
	if !ok {
		return
	}
	otherLoad := int32(report.load.Running+report.load.Waiting) - report.ownInFlight
	r.counters.otherLoad.Store(max(0, otherLoad))
	if version := uint64(report.load.Version); version != 0 && r.counters.weightVersion.Swap(version) != version {
		s.schedulePublish()
	}
}
