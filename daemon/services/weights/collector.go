package weights

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/weights"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// published is what the weight store said of a model.
type published struct {
	model   structs.ServiceName
	version structs.WeightVersion
}

// done is how a call to an engine ended.
type done struct {
	action  weights.Action
	version structs.WeightVersion
}

// collect begins the collector's work in a term.
func (s *service) collect(term structs.Term) {
	s.unCollect()
	s.plan = weights.NewPlanner(s.limits, term, s.loop.Now())
	for model, version := range *s.view.Load() {
		s.plan.SetTarget(model, version)
	}
	s.listEngines()
	s.watchAll()
}

// unCollect ends it. Orders under way can't be called back; the term in them
// lets the engines that check it refuse them.
func (s *service) unCollect() {
	s.loop.CancelTimer(s.timer)
	s.plan, s.timer = nil, nil
}

// listEngines hands the zone's engines to the plan.
func (s *service) listEngines() {
	if s.plan == nil {
		return
	}
	s.servers = make(map[structs.HostName]structs.BackendServer)
	var engines []weights.Engine
	for model := range s.models {
		for _, server := range s.hosts.Services[model] {
			if server.Kind != structs.KindEngine || server.Place.Zone != s.config.Place.Zone {
				continue
			}
			s.servers[server.Name] = server
			engines = append(engines, weights.Engine{Name: server.Name, Model: model, EnforcesFencing: server.EnforcesFencing})
		}
	}
	s.plan.SetEngines(engines)
	s.step()
}

// watchAll waits on the weight store for each model.
func (s *service) watchAll() {
	if s.plan == nil {
		return
	}
	for model := range s.models {
		if !s.watching[model] {
			s.watch(model)
		}
	}
}

func (s *service) watch(model structs.ServiceName) {
	s.watching[model] = true
	store, after := s.clients.Platform().Weights, s.Newest(model)
	kernel.RunAsync(s.workers, 0, s.published, func(ctx context.Context) (published, error) {
		version, err := store.Newest(ctx, model, after, watchWait)
		return published{model: model, version: version}, err
	})
}

func (s *service) onPublished(reply kernel.AsyncResult[published]) {
	model := reply.Value.model
	s.watching[model] = false
	if reply.Err == nil && s.learn(model, reply.Value.version) {
		s.watchAll()
		return
	}
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debugf("The weight store did not answer for %s.", model)
	}
	s.loop.AfterFunc(jitter(retryDelay), s.watchAll)
}

// step begins the calls that are due and sets the timer for the next ones.
func (s *service) step() {
	if s.plan == nil {
		return
	}
	now := s.loop.Now()
	for _, action := range s.plan.TakeDueActions(now) {
		s.begin(action)
	}
	s.loop.CancelTimer(s.timer)
	s.timer = nil
	if next, ok := s.plan.NextDue(now); ok {
		s.timer = s.loop.AfterFunc(max(next.Sub(now), time.Millisecond), s.step)
	}
	s.gauge()
}

func (s *service) gauge() {
	for model := range s.models {
		progress := s.plan.Progress(model)
		s.metrics.Gauge("weights.behind."+string(model), int64(progress.Engines-progress.Current))
	}
}

// begin makes a call to an engine on a worker.
func (s *service) begin(action weights.Action) {
	engine, address := s.clients.Platform().Engine, s.servers[action.Engine].Address
	if action.Kind == weights.ActionRead {
		kernel.RunAsync(s.workers, readLimit, s.done, func(ctx context.Context) (done, error) {
			load, err := engine.FetchLoad(ctx, address)
			return done{action: action, version: load.Version}, err
		})
		return
	}
	s.metrics.Count("weights.orders", 1)
	limit := time.Duration(s.config.Weights.OrderWithin)
	order := outside.Order{Model: action.Model, Version: action.Version, Term: action.Term}
	kernel.RunAsync(s.workers, limit, s.done, func(ctx context.Context) (done, error) {
		version, err := engine.SendOrder(ctx, address, order)
		return done{action: action, version: version}, err
	})
}

func (s *service) onDone(reply kernel.AsyncResult[done]) {
	action := reply.Value.action
	if s.plan == nil || s.plan.Term() != action.Term {
		return
	}
	if action.Kind == weights.ActionRead {
		s.onRead(action, reply.Value.version, reply.Err)
	} else {
		s.onOrdered(action, reply.Value.version, reply.Err)
	}
	s.step()
}

func (s *service) onRead(action weights.Action, version structs.WeightVersion, err error) {
	if s.plan.RecordRead(s.loop.Now(), action.Engine, version, err == nil) {
		s.metrics.Count("weights.went_back", 1)
		s.log.Warnf("%s went back to version %d of %s.", action.Engine, version, action.Model)
	}
}

func (s *service) onOrdered(action weights.Action, version structs.WeightVersion, err error) {
	outcome := weights.OrderOutcome{RunningVersion: version, Refused: errors.Is(err, outside.ErrFenced)}
	outcome.Failed = err != nil && !outcome.Refused
	if outcome.Refused {
		s.metrics.Count("weights.refused", 1)
		s.log.Warnf("%s refuses orders of term %d as too old.", action.Engine, action.Term)
	}
	if outcome.Failed {
		s.metrics.Count("weights.failed", 1)
		s.log.WithError(err).Warnf("%s did not carry out the order for version %d.", action.Engine, action.Version)
	}
	s.plan.RecordOrder(s.loop.Now(), action.Engine, outcome)
}
