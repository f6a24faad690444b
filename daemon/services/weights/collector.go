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

// storeReply is the reply of the weight store for a model.
type storeReply struct {
	model   structs.ServiceName
	version structs.WeightVersion
}

// engineReply is the reply of an engine to an action: the version that it runs.
type engineReply struct {
	action  weights.Action
	version structs.WeightVersion
}

// startCollector starts the collector's work in a term.
func (s *service) startCollector(term structs.Term) {
	s.stopCollector()
	s.planner = weights.NewPlanner(s.limits, term, s.loop.Now())
	for model, version := range *s.view.Load() {
		s.planner.SetTarget(model, version)
	}
	s.updateEngines()
	s.watchModels()
}

// stopCollector stops the collector's work. Orders in flight can't be cancelled;
// engines that enforce fencing refuse them by their term once a newer collector
// has sent an order.
func (s *service) stopCollector() {
	s.loop.CancelTimer(s.actionTimer)
	s.planner, s.actionTimer = nil, nil
}

// updateEngines passes the engines of the zone to the planner.
func (s *service) updateEngines() {
	if s.planner == nil {
		return
	}
	s.engines = make(map[structs.HostName]structs.BackendServer)
	var engines []weights.Engine
	for model := range s.models {
		for _, server := range s.hostView.Services[model] {
			if server.Kind != structs.KindEngine || server.Place.Zone != s.config.Place.Zone {
				continue
			}
			s.engines[server.Name] = server
			engines = append(engines, weights.Engine{Name: server.Name, Model: model, EnforcesFencing: server.EnforcesFencing})
		}
	}
	s.planner.SetEngines(engines)
	s.runDueActions()
}

// watchModels starts a watch of the weight store for each model that has none.
func (s *service) watchModels() {
	if s.planner == nil {
		return
	}
	for model := range s.models {
		if !s.watching[model] {
			s.watchModel(model)
		}
	}
}

// watchModel waits for a newer version of a model on a worker.
func (s *service) watchModel(model structs.ServiceName) {
	s.watching[model] = true
	store, after := s.clients.Platform().Weights, s.Newest(model)
	kernel.RunAsync(s.workers, 0, s.storeReplies, func(ctx context.Context) (storeReply, error) {
		version, err := store.Newest(ctx, model, after, longPollTimeout)
		return storeReply{model: model, version: version}, err
	})
}

func (s *service) onStoreReply(reply kernel.AsyncResult[storeReply]) {
	model := reply.Value.model
	s.watching[model] = false
	if reply.Err == nil && s.recordVersion(model, reply.Value.version) {
		s.watchModels()
		return
	}
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debugf("Failed to watch the weight store for %s.", model)
	}
	s.loop.AfterFunc(jitter(retryDelay), s.watchModels)
}

// runDueActions starts the actions that are due and sets the timer for the next
// one.
func (s *service) runDueActions() {
	if s.planner == nil {
		return
	}
	now := s.loop.Now()
	for _, action := range s.planner.TakeDueActions(now) {
		s.startAction(action)
	}
	s.loop.CancelTimer(s.actionTimer)
	s.actionTimer = nil
	if next, ok := s.planner.NextDue(now); ok {
		s.actionTimer = s.loop.AfterFunc(max(next.Sub(now), time.Millisecond), s.runDueActions)
	}
	s.reportProgress()
}

// reportProgress sets the gauge of the engines that don't run the target version.
func (s *service) reportProgress() {
	for model := range s.models {
		progress := s.planner.Progress(model)
		s.metrics.Gauge("weights.behind."+string(model), int64(progress.Engines-progress.Current))
	}
}

// startAction calls an engine on a worker: it reads the version that the engine
// runs, or sends an order to load another one.
func (s *service) startAction(action weights.Action) {
	engine, address := s.clients.Platform().Engine, s.engines[action.Engine].Address
	if action.Kind == weights.ActionRead {
		kernel.RunAsync(s.workers, readBackTimeout, s.engineReplies, func(ctx context.Context) (engineReply, error) {
			load, err := engine.FetchLoad(ctx, address)
			return engineReply{action: action, version: load.Version}, err
		})
		return
	}
	s.metrics.Count("weights.orders", 1)
	timeout := time.Duration(s.config.Weights.OrderWithin)
	order := outside.Order{Model: action.Model, Version: action.Version, Term: action.Term}
	kernel.RunAsync(s.workers, timeout, s.engineReplies, func(ctx context.Context) (engineReply, error) {
		version, err := engine.SendOrder(ctx, address, order)
		return engineReply{action: action, version: version}, err
	})
}

func (s *service) onEngineReply(reply kernel.AsyncResult[engineReply]) {
	action := reply.Value.action
	if s.planner == nil || s.planner.Term() != action.Term {
		return
	}
	if action.Kind == weights.ActionRead {
		s.onVersionRead(action, reply.Value.version, reply.Err)
	} else {
		s.onOrderReply(action, reply.Value.version, reply.Err)
	}
	s.runDueActions()
}

func (s *service) onVersionRead(action weights.Action, version structs.WeightVersion, err error) {
	if s.planner.RecordRead(s.loop.Now(), action.Engine, version, err == nil) {
		s.metrics.Count("weights.went_back", 1)
		s.log.Warnf("%s went back to version %d of %s.", action.Engine, version, action.Model)
	}
}

func (s *service) onOrderReply(action weights.Action, version structs.WeightVersion, err error) {
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
	s.planner.RecordOrder(s.loop.Now(), action.Engine, outcome)
}
