package balance

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	// pollEvery is the time between two engines that are asked for their
	// load: 20 a second, some 6 KB a second.
	pollEvery = 50 * time.Millisecond
	// pollTimeout bounds one call.
	pollTimeout = time.Second
)

// adapt finds the limits of all servers from their windows. It runs only while
// there is traffic.
func (s *service) adapt() {
	// Traffic that comes from here on arms the timers anew.
	s.control.isActive.Store(false)
	now, seen := s.now(), false
	for _, sr := range s.control.services {
		if s.adaptService(sr) {
			seen = true
			s.resize(now, sr)
		}
		s.sumOthers(sr)
	}
	if seen {
		s.arm()
	}
}

// adaptService reports whether the service had traffic.
func (s *service) adaptService(sr *serviceRecord) bool {
	seen := false
	for _, r := range sr.records {
		w := r.place.window.take(r.place.inFlight.Load())
		if w.PeakInFlight == 0 && w.Finished == 0 {
			continue
		}
		seen = true
		r.place.limit.Store(int32(r.adaptive.Observe(w)))
	}
	return seen
}

// take empties the window; what is in flight now begins the next one.
func (w *window) take(inFlight int32) limit.WindowStats {
	return limit.WindowStats{
		Finished:     int(w.finished.Swap(0)),
		TotalLatency: time.Duration(w.latency.Swap(0)),
		Failed:       int(w.refused.Swap(0)),
		PeakInFlight: int(w.peak.Swap(inFlight)),
	}
}

// sumOthers brings the reported loads of the tiers up to date.
func (s *service) sumOthers(sr *serviceRecord) {
	sums := make([]int64, len(sr.loads))
	for i, p := range sr.places {
		sums[sr.table.TierOf(i)] += int64(p.others.Load())
	}
	for i, sum := range sums {
		sr.loads[i].others.Store(sum)
	}
}

// poll asks the next engine of the own zone for its load, while there is
// traffic.
func (s *service) poll() {
	engines := s.control.engines
	if len(engines) == 0 || !s.control.isActive.Load() {
		s.control.polling = false
		return
	}
	s.loop.AfterFunc(pollEvery, s.poll)
	s.control.polled = (s.control.polled + 1) % len(engines)
	server, p := engines[s.control.polled].server, engines[s.control.polled].place
	engine := s.clients.Platform().Engine
	kernel.RunAsync(s.workers, pollTimeout, s.control.loads, func(ctx context.Context) (loadReport, error) {
		own := p.inFlight.Load()
		load, err := engine.FetchLoad(ctx, server.Address)
		return loadReport{server: server.Name, own: own, load: load}, err
	})
}

// onLoad takes in a report: the part that is not the own requests is kept, the
// own ones are counted by the daemon itself.
func (s *service) onLoad(reply kernel.AsyncResult[loadReport]) {
	if reply.Err != nil {
		return
	}
	report := reply.Value
	r, ok := s.control.records[report.server]
	if !ok {
		return
	}
	others := int32(report.load.Running+report.load.Waiting) - report.own
	r.place.others.Store(max(0, others))
	if version := uint64(report.load.Version); version != 0 && r.place.version.Swap(version) != version {
		s.changed()
	}
}
