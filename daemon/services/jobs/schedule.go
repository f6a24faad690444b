package jobs

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

type text = contract.GeneratedText

const (
	// tickEvery is how often running items are looked over.
	tickEvery = 250 * time.Millisecond
	// blockedFor is how long an engine that refused an item is left alone: a
	// load of weights takes about a second, a queue empties sooner.
	blockedFor = 250 * time.Millisecond
	// unreachableFirst and unreachableMost bound how long an engine is left alone
	// that takes no connections: one that has crashed is back after some seconds.
	unreachableFirst = 250 * time.Millisecond
	unreachableMost  = 4 * time.Second
	// regionTrip and zoneTrip are round trips beyond the own zone.
	regionTrip = 60 * time.Millisecond
	zoneTrip   = 2 * time.Millisecond
)

// terms are what a job's route says of it.
type terms struct {
	service     structs.ServiceName
	maxAttempts int
	itemLife    time.Duration
	resultsDue  time.Duration
	rank        int
	single      bool
}

// setTerms takes the terms of a job from the configuration in force. A job
// whose route is gone keeps those that it had.
func (s *service) setTerms(j *job) {
	current := s.catalog.Current().Load().Catalog
	if current == nil {
		return
	}
	route := current.Match(j.Host, j.Path)
	if route == nil || len(route.Targets) == 0 {
		return
	}
	j.terms = terms{
		service: route.Targets[0].Service, maxAttempts: route.MaxAttempts, itemLife: route.ItemTTL,
		resultsDue: route.ResultDeadline, rank: route.Priority, single: route.SingleVersion,
	}
}

// due is when the job's results are due.
func (j *job) due() time.Time { return j.submitted.Add(j.terms.resultsDue) }

// item is an item of an owned job.
type item struct {
	*batch.Item
	phase phase
	// listed is set once the result stands in the log.
	listed bool
	text   *text
	// failures counts the attempts that servers answered as failed.
	failures int
	// judged counts failures of the reward call.
	judged int
	// kept counts the events that checkpoints of this epoch hold.
	kept int
	// held counts the events that the present run goes on after.
	held     int
	server   structs.HostName
	begun    time.Time
	progress *contract.Progress
	stop     context.CancelFunc
	// moving is set when the run was stopped to go on elsewhere.
	moving bool
	// carried is a text of an earlier job that replaces the stopped run's.
	carried *text
	avoid   []structs.HostName
}

// engine is what this daemon has learned of a model engine.
type engine struct {
	started  int64
	own      int
	versions map[structs.ServiceName]structs.WeightVersion
	// blocked is until when a model's items are kept from an engine that refused
	// one.
	blocked map[structs.ServiceName]time.Time
	// unreached counts the connections in a row that failed, and unreachable is
	// until when no other is tried.
	unreached   int
	unreachable time.Time
}

// serversChanged forgets engines that are gone or have started again, and
// breaks off nothing: runs on leaving servers may end.
func (s *service) serversChanged(view *contract.ServersView) {
	for id, known := range s.engines {
		server, listed := view.All[id]
		if known.own == 0 && (!listed || server.Started != known.started) {
			delete(s.engines, id)
		}
	}
	s.wake()
}

func (s *service) engine(server catalog.Server) *engine {
	known := s.engines[server.ID]
	if known == nil || known.started != server.Started {
		own := 0
		if known != nil {
			own = known.own
		}
		known = &engine{
			started: server.Started, own: own,
			versions: make(map[structs.ServiceName]structs.WeightVersion),
			blocked:  make(map[structs.ServiceName]time.Time),
		}
		s.engines[server.ID] = known
	}
	return known
}

// engineNews takes in what the leader learned of an engine.
func (s *service) engineNews(news contract.EngineWeights) {
	server, listed := s.servers.Entries().Load().All[news.Server]
	if !listed || server.Started != news.Started {
		return
	}
	known := s.engine(server)
	for model, version := range news.Versions {
		if version > known.versions[model] {
			known.versions[model] = version
			delete(known.blocked, model)
		}
	}
	s.wake()
}

// wake has the waiting items placed in this turn of the control loop.
func (s *service) wake() {
	if s.scheduled {
		return
	}
	s.scheduled = true
	s.loop.AfterFunc(0, s.schedule)
}

// tick looks after running and waiting items.
func (s *service) tick() {
	s.loop.AfterFunc(tickEvery, s.tick)
	now := s.loop.Now()
	hasOpen := false
	for _, j := range s.owned {
		if j.open() {
			hasOpen = true
			s.watch(j, now)
			s.checkpoint(j, now)
		}
		j.forget(now)
		s.sweep(j, now)
	}
	s.session.SetOwnsJobs(hasOpen)
	s.schedule()
	s.heirs.tick(now)
}

// schedule places the waiting items: jobs by due time, the longest items first.
func (s *service) schedule() {
	s.scheduled = false
	if s.stopping {
		return
	}
	jobs := make([]*job, 0, len(s.owned))
	for _, j := range s.owned {
		if j.open() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.due().Compare(b.due()), cmp.Compare(a.terms.rank, b.terms.rank), strings.Compare(a.ID, b.ID))
	})
	now := s.loop.Now()
	for _, j := range jobs {
		if j.waits() && s.mayStart(j) {
			s.place(j, now)
		}
	}
}

// waits reports whether an item of the job waits for an engine or its judge.
func (j *job) waits() bool {
	return slices.ContainsFunc(j.items, func(it *item) bool { return it.phase == phaseWaiting })
}

// place starts the waiting items of a job, those with the most events left first.
func (s *service) place(j *job, now time.Time) {
	var waiting []waitingItem
	for _, it := range j.items {
		if it.phase != phaseWaiting {
			continue
		}
		if batch.Expired(j.submitted, now, j.terms.itemLife) {
			s.giveUp(j, it, "its time is over")
			continue
		}
		if it.text.Whole {
			s.judge(j, it)
			continue
		}
		waiting = append(waiting, waitingItem{item: it, left: s.eventsLeft(j, it)})
	}
	if len(waiting) == 0 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b waitingItem) int { return cmp.Compare(b.left, a.left) })
	board := s.board(j, now)
	for _, w := range waiting {
		choice, ok := board.Select(w.left, w.item.avoid)
		if !ok {
			choice, ok = board.Select(w.left, nil)
		}
		if !ok {
			return
		}
		board.Assign(choice)
		s.start(j, w.item, board.Engine(choice).Server, w.left, board.PaceOf(choice), now)
	}
}

// waitingItem is an item that has no engine.
type waitingItem struct {
	item *item
	left int
}

// defaultTokensPerEvent holds where the operator does not say.
const defaultTokensPerEvent = 64

// eventsLeft estimates how many events an item still needs.
func (s *service) eventsLeft(j *job, it *item) int {
	per := defaultTokensPerEvent
	if view := s.catalog.Current().Load(); view.Catalog != nil {
		if service := view.Catalog.Services[j.terms.service]; service.Engine != nil && service.Engine.TokensPerEvent > 0 {
			per = service.Engine.TokensPerEvent
		}
	}
	made := it.held
	if it.phase == phaseRunning {
		made += it.progress.EventCount()
	}
	return int(math.Ceil(placement.EstimateRemainingEvents(float64(it.LengthHint)/float64(per), float64(made))))
}

// board offers the engines that may run a job's items.
func (s *service) board(j *job, now time.Time) *placement.EngineSelector {
	servers := s.servers.Entries().Load().ByService[j.terms.service]
	engines := make([]placement.Engine, 0, len(servers))
	for _, server := range servers {
		known := s.engine(server)
		pace, best := s.paces.Estimate(server)
		engines = append(engines, placement.Engine{
			Server: server, Version: max(server.Versions[j.Model], known.versions[j.Model]),
			LocalItems: known.own, Pace: pace, BestPace: best, RTT: s.distance(server.Zone),
			Blocked: now.Before(known.blocked[j.Model]) || now.Before(known.unreachable),
		})
	}
	return placement.NewEngineSelector(engines, j.MinVersion, s.salt)
}

func (s *service) distance(zone structs.ZoneName) time.Duration {
	switch {
	case zone == s.config.Place.Zone:
		return 0
	case s.config.Platform.Regions[zone] == s.config.Place.Region:
		return zoneTrip
	}
	return regionTrip
}
