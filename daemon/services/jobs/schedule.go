package jobs

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

type generatedText = contract.Text

const (
	// tickInterval is the interval at which running items are checked.
	tickInterval = 250 * time.Millisecond
	// refusalCooldown is how long an engine that refused an item is excluded. A
	// load of weights takes about a second; a queue empties sooner.
	refusalCooldown = 250 * time.Millisecond
	// minConnectCooldown and maxConnectCooldown bound how long an engine is
	// excluded after failed connections. A crashed engine is back after some
	// seconds.
	minConnectCooldown = 250 * time.Millisecond
	maxConnectCooldown = 4 * time.Second
	// regionRTT and zoneRTT are the assumed round-trip times to another region,
	// and to another zone of this daemon's region.
	regionRTT = 60 * time.Millisecond
	zoneRTT   = 2 * time.Millisecond
)

// routeSettings are the settings of a job's route. The resultDeadline is the
// time from the submission until the results are due.
type routeSettings struct {
	service        structs.ServiceName
	maxAttempts    int
	itemTTL        time.Duration
	resultDeadline time.Duration
	priority       int
	singleVersion  bool
}

// routeRemovalGrace is how long a job's route must be missing before its waiting items
// are given up, in case the operator restores it.
const routeRemovalGrace = 2 * time.Second

// updateRoute reads the settings of a job's route from the current
// configuration. If the route no longer exists, no further item starts. A job whose route
// is not known here yet may be on a route that was just added.
func (s *service) updateRoute(j *job) {
	current := s.catalog.Current().Load().Catalog
	if current == nil {
		return
	}
	route := current.Match(j.Host, j.Path)
	if route == nil || len(route.Targets) == 0 {
		if j.route.service != "" && j.routeRemovedAt.IsZero() {
			j.routeRemovedAt = s.loop.Now()
			s.log.WithFields(logrus.Fields{"job": j.ID, "configuration": current.Version}).Info("The route of a batch job was removed.")
		}
		return
	}
	j.routeRemovedAt = time.Time{}
	j.route = routeSettings{
		service: route.Targets[0].Service, maxAttempts: route.MaxAttempts, itemTTL: route.ItemTTL,
		resultDeadline: route.ResultDeadline, priority: access.Rank(s.accessOf(j), route.Priority), singleVersion: route.SingleVersion,
	}
}

// deadline returns the time by which the job's results are due.
func (j *job) deadline() time.Time { return j.submittedAt.Add(j.route.resultDeadline) }

// item is an item of an owned job.
type item struct {
	*batch.Item
	phase phase
	// isListed is set once the result is in the log.
	isListed bool
	text     *generatedText
	// failures counts the attempts that ended with an error of the server.
	failures int
	// rewardFailures counts the failures of the reward call.
	rewardFailures int
	// checkpointOffset is the number of events in the checkpoints of this
	// epoch.
	checkpointOffset int
	// resumeOffset is the number of events after which the current run resumes.
	resumeOffset int
	// waitingSince is when the item began to wait for an engine.
	waitingSince time.Time
	server       structs.HostName
	startedAt    time.Time
	// start is why the next run starts.
	start    contract.RunStart
	progress *contract.Progress
	cancel   context.CancelCauseFunc
	// isMoving is set when the run was stopped to resume on another engine.
	isMoving bool
	// moves counts the moves of the item, and slowSince is when its run became slow;
	// zero while it is not.
	moves     int
	slowSince time.Time
	// replacement is a text of an ended job that replaces the text of the
	// stopped run.
	replacement    *generatedText
	avoidedServers []structs.HostName
}

// engineState is the locally observed state of a model engine.
type engineState struct {
	started    int64
	localItems int
	// tokens is what the runs of this owner are expected to need of the engine's memory, and
	// preemptsUntil is until when it gets less work, after it preempted one of them.
	tokens        int
	preemptsUntil time.Time
	// connections is the number of connections that are likely to be open, in use or
	// idle, and usedAt is when a run last began or ended.
	connections int
	usedAt      time.Time
	versions    map[structs.ServiceName]structs.WeightVersion
	// blockedUntil excludes the engine for a model until that time, after it
	// refused an item of the model.
	blockedUntil map[structs.ServiceName]time.Time
	// connectFailures counts rounds of failed connections since the last
	// success, and unreachableUntil excludes the engine until that time.
	connectFailures  int
	unreachableUntil time.Time
}

// serversChanged removes the state of engines that are gone or have restarted.
// Runs on draining servers may finish, unless the server leaves before.
func (s *service) serversChanged(view *contract.ServersView) {
	for id, state := range s.engines {
		server, listed := view.All[id]
		if state.localItems == 0 && (!listed || server.Started != state.started) {
			delete(s.engines, id)
		}
	}
	s.updateDepartures(view)
	s.schedulePlacement()
}

func (s *service) engineStateOf(server catalog.Server) *engineState {
	state := s.engines[server.ID]
	if state == nil || state.started != server.Started {
		localItems, tokens := 0, 0
		if state != nil {
			localItems, tokens = state.localItems, state.tokens
		}
		state = &engineState{
			started: server.Started, localItems: localItems, tokens: tokens,
			versions:     make(map[structs.ServiceName]structs.WeightVersion),
			blockedUntil: make(map[structs.ServiceName]time.Time),
		}
		s.engines[server.ID] = state
	}
	return state
}

// handleEngineWeights applies the weight versions of an engine that the leader
// reported.
func (s *service) handleEngineWeights(weights contract.EngineNews) {
	server, listed := s.servers.Entries().Load().All[weights.Server]
	if !listed || server.Started != weights.Started {
		return
	}
	state := s.engineStateOf(server)
	for model, version := range weights.Versions {
		if version > state.versions[model] {
			state.versions[model] = version
			delete(state.blockedUntil, model)
		}
	}
	s.schedulePlacement()
}

// schedulePlacement schedules the placement of waiting items on the control
// loop, unless it is scheduled already.
func (s *service) schedulePlacement() {
	if s.isPlacementScheduled {
		return
	}
	s.isPlacementScheduled = true
	s.loop.AfterFunc(0, s.placeWaitingItems)
}

// tick checks the running and waiting items at each tickInterval.
func (s *service) tick() {
	s.loop.AfterFunc(tickInterval, s.tick)
	now := s.loop.Now()
	s.moveFromLeaving(now)
	hasOpen := false
	for _, j := range s.ownedJobs {
		if j.isOpen() {
			hasOpen = true
			if j.routeRemovedAt.IsZero() {
				s.moveStragglers(j, now)
			}
			s.checkpointTexts(j, now)
		}
		j.expireTexts(now)
		s.removeExpired(j, now)
	}
	s.session.SetOwnsJobs(hasOpen)
	s.refreshRuns(now)
	s.placeWaitingItems()
	s.takeover.tick(now)
}

// placeWaitingItems places the waiting items: jobs in the order of batch.Order, the
// longest items first.
func (s *service) placeWaitingItems() {
	s.isPlacementScheduled = false
	if s.isStopping {
		return
	}
	now := s.loop.Now()
	for _, j := range s.openJobsInOrder() {
		if j.hasWaiting() && s.mayStartItems(j) {
			s.placeItems(j, now)
		}
	}
}

// hasWaiting reports whether an item of the job waits for an engine or for its
// reward call.
func (j *job) hasWaiting() bool {
	return slices.ContainsFunc(j.items, func(it *item) bool { return it.phase == phaseWaiting })
}

// placeItems starts the waiting items of a job, those with the most events left
// first.
func (s *service) placeItems(j *job, now time.Time) {
	var waiting []waitingItem
	for _, it := range j.items {
		if it.phase != phaseWaiting {
			continue
		}
		if batch.Expired(j.submittedAt, now, j.route.itemTTL) {
			s.giveUpItem(j, it, "its time is over")
			continue
		}
		if versions := it.text.Versions; len(versions) > 0 && !j.AcceptsVersions(versions, j.route.singleVersion) {
			// The route was not known, or allowed several versions, when the text began.
			s.discardText(j, it, "its weight versions may not be mixed or are too old")
		}
		if it.text.Whole {
			s.judgeItem(j, it)
			continue
		}
		s.dropEmptyTail(j, it)
		if !j.routeRemovedAt.IsZero() {
			if now.Sub(j.routeRemovedAt) >= routeRemovalGrace {
				s.giveUpItem(j, it, "its route was removed")
			}
			continue
		}
		eventsLeft := s.eventsLeft(j, it)
		waiting = append(waiting, waitingItem{item: it, eventsLeft: eventsLeft, tokens: s.expectedTokens(j, it, eventsLeft)})
	}
	if len(waiting) == 0 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b waitingItem) int { return cmp.Compare(b.eventsLeft, a.eventsLeft) })
	pressing := s.pressingCount(j, waiting, now)
	s.placeOn(j, waiting[:pressing], s.engineSelector(j, now, true), now)
	s.placeOn(j, waiting[pressing:], s.engineSelector(j, now, false), now)
}

// selectEngine selects an engine that may continue an item's text. If there is none, the
// item waits for one as long as that is worthwhile, and is then generated anew.
func (s *service) selectEngine(j *job, w *waitingItem, selector *placement.EngineSelector, now time.Time) (int, bool) {
	position := w.item.text.Position()
	if choice, ok := selectPreferred(selector, w, position); ok || position.Last == 0 {
		return choice, ok
	}
	if s.hasServerFor(j, position) && placement.IsWorthWaiting(now.Sub(w.item.waitingSince), w.item.resumeOffset, selector.FallbackPace()) {
		return 0, false
	}
	s.discardText(j, w.item, "no engine of its software version takes it")
	w.eventsLeft = s.eventsLeft(j, w.item)
	return selectPreferred(selector, w, resume.Position{})
}

// selectPreferred avoids the servers on which the item failed if there are others.
func selectPreferred(selector *placement.EngineSelector, w *waitingItem, position resume.Position) (int, bool) {
	if choice, ok := selector.SelectFitting(w.eventsLeft, w.tokens, w.item.avoidedServers, position); ok {
		return choice, true
	}
	return selector.SelectFitting(w.eventsLeft, w.tokens, nil, position)
}

// hasServerFor reports whether a server that takes new work may continue a text.
func (s *service) hasServerFor(j *job, position resume.Position) bool {
	return slices.ContainsFunc(s.servers.Entries().Load().ByService[j.route.service], position.ContinuesAt)
}

// discardText lets an item be generated from its beginning.
func (s *service) discardText(j *job, it *item, why string) {
	if it.resumeOffset == 0 {
		it.text = &generatedText{}
		return
	}
	s.log.WithFields(logrus.Fields{
		"job": j.ID, "item": it.ID, "events": it.resumeOffset, "software": it.text.Position().Origin.Software, "why": why,
	}).Info("A text is generated anew.")
	s.metrics.Count("jobs.texts_discarded", 1)
	it.text, it.resumeOffset, it.checkpointOffset = &generatedText{}, 0, 0
}

// dropEmptyTail drops the last events of an unfinished text that hold no data. A faulty
// engine may have sent them until its run was cut, and another engine would continue after
// them.
func (s *service) dropEmptyTail(j *job, it *item) {
	if !it.text.HasEmptyTail() {
		return
	}
	text := it.text.WithoutEmptyTail()
	s.log.WithFields(logrus.Fields{"job": j.ID, "item": it.ID, "events": it.text.Last, "kept": text.Last}).
		Info("Dropped the empty events at the end of an unfinished text.")
	it.text, it.resumeOffset, it.checkpointOffset = text, len(text.Events), 0
}

// waitingItem is an item without an engine.
type waitingItem struct {
	item       *item
	eventsLeft int
	// tokens is what its run is expected to need of the engine's memory.
	tokens int
}

// defaultTokensPerEvent is used if the engine's settings have no
// TokensPerEvent.
const defaultTokensPerEvent = 64

// tokensPerEvent returns how many tokens an event of a job's engines contains.
func (s *service) tokensPerEvent(j *job) int {
	if view := s.catalog.Current().Load(); view.Catalog != nil {
		if service := view.Catalog.Services[j.route.service]; service.Engine != nil && service.Engine.TokensPerEvent > 0 {
			return service.Engine.TokensPerEvent
		}
	}
	return defaultTokensPerEvent
}

// maxEventsLeft returns how many events an item can still need, and false if its
// longest output is unknown or its text is longer than that: the engine's events then
// contain fewer tokens than configured.
func (s *service) maxEventsLeft(j *job, it *item) (int, bool) {
	tokensPerEvent := s.tokensPerEvent(j)
	maxEvents := (it.MaxOutputTokens + tokensPerEvent - 1) / tokensPerEvent
	left := maxEvents - it.eventsMade()
	return left, left > 0
}

// eventsMade returns how many events of an item's text exist.
func (it *item) eventsMade() int {
	if it.phase == phaseRunning {
		return it.resumeOffset + it.progress.EventCount()
	}
	return it.resumeOffset
}

// eventsLeft estimates how many events an item still needs.
func (s *service) eventsLeft(j *job, it *item) int {
	hint := float64(it.LengthHint) / float64(s.tokensPerEvent(j))
	estimate := int(math.Ceil(placement.EstimateRemainingEvents(hint, float64(it.eventsMade()))))
	if longest, isKnown := s.maxEventsLeft(j, it); isKnown {
		return min(estimate, longest)
	}
	return estimate
}
