package jobs

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// updateDepartures notes when the servers leave that say so. Runs on other draining
// servers may finish there.
func (s *service) updateDepartures(view *contract.ServersView) {
	now := s.loop.Now()
	hasNew := false
	for id, server := range view.All {
		if !server.Draining || server.LeavesIn <= 0 {
			continue
		}
		before, known := s.departures[id]
		s.departures[id] = before.Update(server.Started, server.LeavesIn, now)
		if state := s.engines[id]; !known && state != nil && state.localItems > 0 {
			hasNew = true
			s.log.WithFields(logrus.Fields{"server": id, "leaves_ms": server.LeavesIn.Milliseconds(), "runs": state.localItems}).Info("A server with runs was reclaimed.")
		}
	}
	for id, departure := range s.departures {
		if server, isListed := view.All[id]; !isListed || server.Started != departure.Started {
			delete(s.departures, id)
		}
	}
	if hasNew {
		s.moveFromLeaving(now)
	}
}

// moveFromLeaving stops the runs that would not finish before their server leaves, as far
// as other engines can continue them.
func (s *service) moveFromLeaving(now time.Time) {
	if len(s.departures) == 0 {
		return
	}
	for _, j := range s.ownedJobs {
		if j.isOpen() && j.routeRemovedAt.IsZero() {
			s.moveJobFromLeaving(j, now)
		}
	}
}

func (s *service) moveJobFromLeaving(j *job, now time.Time) {
	var selector *placement.EngineSelector
	for _, it := range j.items {
		departure, isLeaving := s.departures[it.server]
		if it.phase != phaseRunning || it.isMoving || !isLeaving {
			continue
		}
		if selector == nil {
			selector = s.engineSelector(j, now, false)
		}
		eventsLeft, pace := s.eventsLeft(j, it), selector.FallbackPace()
		if sample, ok := it.progress.PaceSample(now); ok {
			pace = sample.Recent
		}
		if departure.Finishes(eventsLeft, pace, now) {
			continue
		}
		choice, ok := selector.Select(eventsLeft, append(slices.Clone(it.avoidedServers), it.server), it.text.Position())
		if !ok {
			continue
		}
		s.log.WithFields(logrus.Fields{
			"job": j.ID, "item": it.ID, "from": it.server, "leaves_ms": departure.At.Sub(now).Milliseconds(),
			"pace_ms": pace.Milliseconds(), "left": eventsLeft,
		}).Info("Moving a run from a server that leaves.")
		s.metrics.Count("jobs.moved_from_leaving", 1)
		selector.Assign(choice)
		it.isMoving = true
		it.cancel(contract.CutLeaving)
	}
}
