package jobs

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// pressingCount returns how many of the waiting items, the longest first, are pressing.
func (s *service) pressingCount(j *job, waiting []waitingItem, now time.Time) int {
	count := 0
	for count < len(waiting) && placement.IsPressing(waiting[count].eventsLeft, placement.DefaultPace, j.deadline().Sub(now)) {
		count++
	}
	return count
}

// placeOn starts waiting items on the engines of a selector.
func (s *service) placeOn(j *job, waiting []waitingItem, selector *placement.EngineSelector, now time.Time) {
	for i := range waiting {
		w := &waiting[i]
		if _, ok := selector.Select(w.eventsLeft, nil, resume.Position{}); !ok {
			return
		}
		choice, ok := s.selectEngine(j, w, selector, now)
		if !ok || !selector.Engine(choice).TakesNow() {
			continue
		}
		selector.AssignTokens(choice, w.tokens)
		s.startRun(j, w.item, selector.Engine(choice).Server, w.eventsLeft, selector.PaceOf(choice), now)
	}
}

// engineSelector returns a selector over the engines that can run a job's items. For
// pressing items only the time counts in which they end.
func (s *service) engineSelector(j *job, now time.Time, isPressing bool) *placement.EngineSelector {
	servers := s.servers.Entries().Load().ByService[j.route.service]
	engines := make([]placement.Engine, 0, len(servers))
	homes := s.modelHomes(j.route.service)
	capacity, ownRuns, ownTokens := s.tokenCapacity(j), 0, 0
	for _, state := range s.engines {
		ownRuns, ownTokens = ownRuns+state.localItems, ownTokens+state.tokens
	}
	for _, server := range servers {
		state := s.engineStateOf(server)
		pace, bestPace := s.paces.Estimate(server)
		localItems, connections := state.localItems, state.openConnections(now)
		if state.connectFailures > 0 {
			// One item at a time finds out whether the engine is back.
			localItems = max(localItems, server.Slots-1)
		}
		if isPressing {
			connections = server.Slots
		}
		others := s.sharedRuns.Others(server.ID, now)
		engines = append(engines, placement.Engine{
			Server: server, Version: max(server.Versions[j.Model], state.versions[j.Model]),
			LocalItems: localItems, Connections: connections, OtherItems: others, IsForeign: !isPressing && homes.isForeign(server, state, j.Model),
			Pace: pace, BestPace: bestPace, RTT: s.roundTripTo(server.Zone),
			Memory:   placement.TokenMemory{Capacity: capacity, Expected: state.tokens + placement.ExpectedTokens(others, ownTokens, ownRuns, capacity, server.Slots)},
			Preempts: !isPressing && now.Before(state.preemptsUntil),
			Blocked:  now.Before(state.blockedUntil[j.Model]) || now.Before(state.unreachableUntil) || !s.limits.HasRoom(server.ID),
		})
	}
	selector := placement.NewEngineSelector(engines, j.MinVersion, s.selectionSalt)
	selector.StepEnd = time.Duration(s.mostEventsLeft(j)) * selector.FallbackPace()
	return selector
}

// mostEventsLeft returns the number of events that the longest open text of a job still
// needs.
func (s *service) mostEventsLeft(j *job) int {
	most := 0
	for _, it := range j.items {
		if it.phase == phaseRunning || it.phase == phaseWaiting {
			most = max(most, s.eventsLeft(j, it))
		}
	}
	return most
}

func (s *service) roundTripTo(zone structs.ZoneName) time.Duration {
	switch {
	case zone == s.config.Place.Zone:
		return 0
	case s.config.Platform.Regions[zone] == s.config.Place.Region:
		return zoneRTT
	}
	return regionRTT
}

// modelHomes knows which models the engines of a service take first.
type modelHomes struct {
	models  []structs.ServiceName
	targets map[structs.ServiceName]structs.WeightVersion
}

func (s *service) modelHomes(name structs.ServiceName) modelHomes {
	view := s.catalog.Current().Load()
	if view.Catalog == nil {
		return modelHomes{}
	}
	return modelHomes{models: view.Catalog.Models(name), targets: view.TargetVersions}
}

// isForeign reports whether an engine takes the items of another model before those of
// the given one: it runs weights of both that their next steps accept.
func (h modelHomes) isForeign(server catalog.Server, state *engineState, model structs.ServiceName) bool {
	usable := make([]structs.ServiceName, 0, len(h.models))
	for _, other := range h.models {
		if max(server.Versions[other], state.versions[other])+1 >= h.targets[other] {
			usable = append(usable, other)
		}
	}
	home := placement.HomeModel(server.ID, usable)
	return home != "" && home != model
}

// idleConnectionTTL is how long an idle connection to an engine is expected to stay open.
const idleConnectionTTL = 8 * time.Second

// beginRun counts a run that starts, and its connection.
func (e *engineState) beginRun(now time.Time) {
	e.connections = max(e.openConnections(now), e.localItems+1)
	e.localItems++
	e.usedAt = now
}

// endRun counts the end of a run. Its connection stays open if the response was read to its
// end.
func (e *engineState) endRun(outcome contract.RunOutcome, now time.Time) {
	e.localItems = max(0, e.localItems-1)
	e.usedAt = now
	if outcome == contract.RunInterrupted || outcome == contract.RunUnreachable || outcome == contract.RunOverlong {
		e.connections = max(e.localItems, e.connections-1)
	}
}

// openConnections returns the number of connections that are likely to be open.
func (e *engineState) openConnections(now time.Time) int {
	if now.Sub(e.usedAt) > idleConnectionTTL {
		return e.localItems
	}
	return e.connections
}
