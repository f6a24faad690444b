package jobs

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

type text = contract.Text

const (
	// tickEvery is how often running items are looked over.
	tickEvery = 250 * time.Millisecond
	// blockedFor is how long an engine that refused an item is left alone: a
	// load of weights takes about a second, a queue empties sooner.
	blockedFor = 250 * time.Millisecond
	// rewardWithin bounds one round of attempts at a reward call.
	rewardWithin = 4 * time.Second
	// rewardPause is the pause before a failed reward call is made again.
	rewardPause = 100 * time.Millisecond
	// avoidMost is how many engines an item remembers to avoid.
	avoidMost = 2
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
		service: route.Targets[0].Service, maxAttempts: route.MaxAttempts, itemLife: route.ItemLife,
		resultsDue: route.ResultsDue, rank: route.Rank, single: route.SingleVersion,
	}
}

// due is when the job's results are due.
func (j *job) due() time.Time { return j.submitted.Add(j.terms.resultsDue) }

// item is an item of an owned job.
type item struct {
	*batch.Item
	phase phase
	text  *text
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
	pace     time.Duration
	versions map[structs.ServiceName]structs.WeightVersion
	blocked  map[structs.ServiceName]time.Time
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
func (s *service) engineNews(news contract.EngineNews) {
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
	s.loop.After(0, s.schedule)
}

// tick looks after running and waiting items.
func (s *service) tick() {
	s.loop.After(tickEvery, s.tick)
	now := s.loop.Now()
	for _, j := range s.owned {
		if j.open() {
			s.watch(j, now)
			s.verify(j)
			s.checkpoint(j, now)
		}
		j.forget(now)
		s.sweep(j, now)
	}
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
		s.place(j, now)
	}
}

func (s *service) place(j *job, now time.Time) {
	var engines []placement.Engine
	for _, it := range j.items {
		if it.phase != phaseWaiting {
			continue
		}
		if batch.Expired(j.submitted, now, j.terms.itemLife) {
			s.log.WithFields(logrus.Fields{"job": j.ID, "item": it.ID}).Info("An item is given up: its time is over.")
			s.finish(j, it, batch.Result{ID: it.ID, Dead: true})
			continue
		}
		if it.text.Whole {
			s.judge(j, it)
			continue
		}
		if engines == nil {
			engines = s.candidates(j, now)
		}
		events := s.eventsLeft(j, it)
		choice, ok := placement.Place(engines, j.MinVersion, events, it.avoid)
		if !ok {
			choice, ok = placement.Place(engines, j.MinVersion, events, nil)
		}
		if !ok {
			continue
		}
		engines[choice].Own++
		s.start(j, it, engines[choice].Server, events, now)
	}
}

// defaultTokensPerEvent holds where the operator does not say.
const defaultTokensPerEvent = 64

// eventsLeft estimates how many events an item still needs. The caller's hint is
// often far off: an item that has outlived it is likely to go on for long.
func (s *service) eventsLeft(j *job, it *item) int {
	per := defaultTokensPerEvent
	if view := s.catalog.Current().Load(); view.Catalog != nil {
		if service := view.Catalog.Services[j.terms.service]; service.Engine != nil && service.Engine.TokensPerEvent > 0 {
			per = service.Engine.TokensPerEvent
		}
	}
	made := it.held
	if it.phase == phaseRunning {
		made += it.progress.Events()
	}
	return max(1, it.LengthHint/per-made, made/2)
}

// candidates are the engines that may run a job's items.
func (s *service) candidates(j *job, now time.Time) []placement.Engine {
	view := s.catalog.Current().Load()
	if view.Catalog == nil {
		return nil
	}
	servers := s.servers.Entries().Load().ByService[j.terms.service]
	engines := make([]placement.Engine, 0, len(servers))
	for _, server := range servers {
		known := s.engine(server)
		engines = append(engines, placement.Engine{
			Server: server, Version: max(server.Versions[j.Model], known.versions[j.Model]),
			Own: known.own, Pace: known.pace,
			Distance: s.distance(server.Zone), Blocked: now.Before(known.blocked[j.Model]),
		})
	}
	return engines
}

func (s *service) distance(zone structs.ZoneName) time.Duration {
	switch {
	case zone == s.config.Place.Zone:
		return 0
	case s.config.Fleet.Regions[zone] == s.config.Place.Region:
		return zoneTrip
	}
	return regionTrip
}

// runEnded is the end of an item's run.
type runEnded struct {
	job    string
	epoch  uint64
	item   *item
	server catalog.Server
	run    contract.Run
}

// start runs an item on an engine.
func (s *service) start(j *job, it *item, server catalog.Server, events int, now time.Time) {
	ctx, stop := context.WithCancel(j.ctx)
	it.phase, it.server, it.begun, it.stop, it.moving = phaseRunning, server.ID, now, stop, false
	it.progress = &contract.Progress{}
	s.engine(server).own++
	request := contract.RunRequest{
		Job: &j.Job, Item: it.Item, Server: server, Urgency: placement.Urgency(events, j.due().Sub(now), j.terms.rank), Text: it.text,
		Patience: max(time.Second, j.submitted.Add(j.terms.itemLife).Sub(now)), Single: j.terms.single,
	}
	progress := it.progress
	id, epoch := j.ID, j.own.Epoch
	s.workers.Go(func(context.Context) {
		defer stop()
		ended := runEnded{job: id, epoch: epoch, item: it, server: server, run: s.runner.Run(ctx, request, progress)}
		if err := s.runs.Post(ended); err != nil {
			s.log.WithError(err).WithField("job", id).Error("The end of a run is lost.")
		}
	})
}

// runEnded takes in the end of a run on the control goroutine.
func (s *service) runEnded(ended runEnded) {
	it, run := ended.item, ended.run
	now := s.loop.Now()
	s.learn(ended, now)
	j := s.owned[ended.job]
	if j == nil || j.own.Epoch != ended.epoch || it.phase != phaseRunning {
		return
	}
	it.phase, it.held = phaseWaiting, len(run.Text.Events)
	if carried := it.carried; carried != nil {
		it.carried = nil
		if carried.Last > it.text.Last && run.End != contract.RunWhole {
			it.text, it.held, it.kept = carried, len(carried.Events), 0
			s.wake()
			return
		}
	}
	switch run.End {
	case contract.RunWhole:
		s.judge(j, it)
	case contract.RunImpossible:
		s.finish(j, it, batch.Result{ID: it.ID, Dead: true})
	case contract.RunFailed:
		it.failures++
		if it.failures >= j.terms.maxAttempts {
			s.finish(j, it, batch.Result{ID: it.ID, Dead: true})
			break
		}
		it.addAvoid(ended.server.ID)
	case contract.RunCut:
		it.addAvoid(ended.server.ID)
		if j.terms.single || len(run.Text.Versions) > 0 && !j.Fits(run.Text.Versions, false) {
			it.text, it.held, it.kept = &text{}, 0, 0
		}
	}
	s.wake()
}

func (it *item) addAvoid(server structs.HostName) {
	it.avoid = append(it.avoid, server)
	if len(it.avoid) > avoidMost {
		it.avoid = it.avoid[1:]
	}
}

// learn takes in what a run showed of its engine.
func (s *service) learn(ended runEnded, now time.Time) {
	known := s.engines[ended.server.ID]
	if known == nil {
		return
	}
	known.own = max(0, known.own-1)
	if known.started != ended.server.Started {
		return
	}
	it, run := ended.item, ended.run
	if run.Version != 0 {
		if j := s.owned[ended.job]; j != nil {
			known.versions[j.Model] = run.Version
		}
	}
	if run.End == contract.RunNotStarted || run.End == contract.RunStale {
		if j := s.owned[ended.job]; j != nil {
			known.blocked[j.Model] = now.Add(blockedFor)
		}
	}
	if it.progress == nil {
		return
	}
	if pace, ok := it.progress.Pace(now); ok {
		known.pace = placement.Smooth(known.pace, pace)
	}
}

// watch moves the runs of a job that are slow.
func (s *service) watch(j *job, now time.Time) {
	var engines []placement.Engine
	for _, it := range j.items {
		if it.phase != phaseRunning || it.moving {
			continue
		}
		pace, ok := it.progress.Pace(now)
		if !ok {
			continue
		}
		if engines == nil {
			engines = s.candidates(j, now)
		}
		left := s.eventsLeft(j, it)
		choice, ok := placement.Place(engines, j.MinVersion, left, append(slices.Clone(it.avoid), it.server))
		if !ok {
			continue
		}
		elsewhere := engines[choice].Pace
		if elsewhere == 0 {
			elsewhere = placement.DefaultPace
		}
		if !placement.ShouldMove(left, pace, elsewhere) {
			continue
		}
		s.log.WithFields(logrus.Fields{
			"job": j.ID, "item": it.ID, "from": it.server, "pace_ms": pace.Milliseconds(), "left": left,
			"elsewhere_ms": elsewhere.Milliseconds(),
		}).Info("A slow run is moved.")
		engines[choice].Own++
		if known := s.engines[it.server]; known != nil {
			known.pace = placement.Smooth(known.pace, pace)
		}
		it.moving = true
		it.stop()
	}
}

// judgement is the outcome of a reward call.
type judgement struct {
	job      string
	epoch    uint64
	item     *item
	score    string
	failures int
	attempts int
	err      error
}

// judge sends the reward call of an item whose text is whole.
func (s *service) judge(j *job, it *item) {
	if it.Reward == nil {
		s.complete(j, it, "")
		return
	}
	it.phase = phaseJudging
	id, epoch, ctx := j.ID, j.own.Epoch, j.ctx
	due := s.loop.Now().Add(rewardWithin)
	s.workers.Go(func(context.Context) {
		came := s.reward(ctx, it.Reward, due)
		came.job, came.epoch, came.item = id, epoch, it
		if err := s.judged.Post(came); err != nil {
			s.log.WithError(err).WithField("job", id).Error("The outcome of a reward call is lost.")
		}
	})
}

func (s *service) reward(ctx context.Context, reward *batch.Reward, due time.Time) judgement {
	current := s.catalog.Current().Load().Catalog
	route := current.Match(reward.Host, reward.Path)
	if route == nil {
		return judgement{err: result.New(result.NotFound, "no route for %s%s", reward.Host, reward.Path)}
	}
	ctx, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	forwarded, err := s.sender.Forward(ctx, contract.Proxied{
		Route: route, ID: reward.ID, Method: http.MethodPost, Host: reward.Host, Target: reward.Path,
		Header: http.Header{}, Body: reward.Body, Due: due,
	})
	if err != nil {
		return judgement{err: err, attempts: route.MaxAttempts}
	}
	if forwarded.Status >= http.StatusMultipleChoices || forwarded.Stamp == "" {
		return judgement{
			failures: forwarded.Failures, attempts: route.MaxAttempts,
			err: result.New(result.BackendBroke, "status %d", forwarded.Status),
		}
	}
	return judgement{score: forwarded.Stamp}
}

// judgementCame takes in the outcome of a reward call on the control goroutine.
func (s *service) judgementCame(came judgement) {
	j, it := s.owned[came.job], came.item
	if j == nil || j.own.Epoch != came.epoch || it.phase != phaseJudging || j.own.Ended {
		return
	}
	if came.err == nil {
		s.complete(j, it, came.score)
		return
	}
	it.judged += came.failures
	s.log.WithError(came.err).WithFields(logrus.Fields{"job": j.ID, "item": it.ID, "failures": it.judged}).
		Info("A reward call failed.")
	if it.judged > 0 && it.judged >= max(came.attempts, j.terms.maxAttempts) {
		s.finish(j, it, batch.Result{ID: it.ID, Dead: true})
		return
	}
	if batch.Expired(j.submitted, s.loop.Now(), j.terms.itemLife) {
		s.finish(j, it, batch.Result{ID: it.ID, Dead: true})
		return
	}
	s.loop.After(rewardPause, func() {
		if it.phase == phaseJudging && s.owned[came.job] == j && !j.own.Ended {
			s.judge(j, it)
		}
	})
}

// complete records a whole and judged text.
func (s *service) complete(j *job, it *item, score string) {
	s.finish(j, it, batch.Result{
		ID: it.ID, Output: strings.Join(it.text.Events, "\n"), Versions: it.text.Versions, Score: score,
	})
}
