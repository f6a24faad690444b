package jobs

import (
	"context"
	"maps"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.JobForecaster = (*service)(nil)

const (
	// forecastEvents is the length of the item for which engines are judged, in events.
	forecastEvents = 16
	// forecastTimeout bounds a question to the owner.
	forecastTimeout = 700 * time.Millisecond
)

// ForecastRPC asks the owner of a model's jobs what would become of a job. Earlier releases
// refuse the call.
type ForecastRPC struct {
	Host, Path string
	Model      structs.ServiceName
	MinVersion structs.WeightVersion
	Workspace  structs.WorkspaceName
}

// ForecastReply is the reply to ForecastRPC. Job.Owner is not set.
type ForecastReply struct {
	Service    structs.ServiceName
	Job        contract.JobForecast
	Candidates []contract.CandidateAssessment
	Omitted    int
}

// Forecast answers a question of another daemon. It changes nothing.
func (r *Receiver) Forecast(request ForecastRPC, reply *ForecastReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), forecastTimeout)
	defer cancel()
	var err error
	*reply, err = r.service.forecastAsOwner(ctx, request)
	return err
}

// ForecastJob implements contract.JobForecaster. The daemon that would own the job is asked,
// as it places the items; while it does not answer, this one's view has to do.
func (s *service) ForecastJob(ctx context.Context, submitted *batch.Job, explanation *contract.RouteExplanation) error {
	view := s.session.View().Load()
	owner := modelOwnerOf(string(submitted.Model), view, s.avoidedAtStart(view, submitted.Workspace))
	request := ForecastRPC{
		Host: submitted.Host, Path: submitted.Path, Model: submitted.Model, MinVersion: submitted.MinVersion, Workspace: submitted.Workspace,
	}
	var reply ForecastReply
	var err error
	isAnswered := false
	if owner.Name != view.Self.Name {
		callCtx, cancel := context.WithTimeout(ctx, forecastTimeout)
		err = s.peers.Call(callCtx, owner.RPCAddress, rpcName+".Forecast", request, &reply)
		cancel()
		isAnswered = err == nil
		if !isAnswered {
			explanation.Notes = append(explanation.Notes, "the owner did not answer; the servers and jobs are as this daemon sees them")
			s.log.WithError(err).WithField("daemon", owner.Name).Info("The owner of a model's jobs answered no question of an operator.")
		}
	}
	if !isAnswered {
		if reply, err = s.forecastAsOwner(ctx, request); err != nil {
			return err
		}
	}
	reply.Job.Owner = membership.HostOf(owner.Name)
	explanation.Service, explanation.Job = reply.Service, &reply.Job
	explanation.Candidates, explanation.Omitted = reply.Candidates, reply.Omitted
	if len(reply.Candidates) > 0 && reply.Candidates[0].PassedOver == "" {
		explanation.Chosen = reply.Candidates[0].Server
	}
	return nil
}

// forecastAsOwner returns what would become of a job at this daemon.
func (s *service) forecastAsOwner(ctx context.Context, request ForecastRPC) (ForecastReply, error) {
	j := &job{Job: batch.Job{Host: request.Host, Path: request.Path, Model: request.Model, MinVersion: request.MinVersion, Workspace: request.Workspace}}
	var reply ForecastReply
	err := s.loopExecutor.Do(ctx, func() {
		j.submittedAt = s.loop.Now()
		s.updateRoute(j)
		reply.Candidates, reply.Omitted = s.assessEngines(j)
		for _, open := range s.ownedJobs {
			if open.isOpen() {
				waiting, _, _ := open.itemCounts(j.submittedAt)
				reply.Job.OpenJobs++
				reply.Job.WaitingItems += waiting
			}
		}
	})
	if err != nil {
		return ForecastReply{}, err
	}
	reply.Service, reply.Job.DueSeconds = j.route.service, j.route.resultDeadline.Seconds()
	return reply, nil
}

// assessEngines returns how the first engines are judged for an item of a job that is not
// pressing, and the number of the others. It runs on the control goroutine.
func (s *service) assessEngines(j *job) ([]contract.CandidateAssessment, int) {
	// The selector looks at servers that this daemon has not used, too.
	before := s.engines
	s.engines = maps.Clone(before)
	defer func() { s.engines = before }()
	selector := s.engineSelector(j, s.loop.Now(), false)
	assessed := selector.Assess(forecastEvents, j.MinVersion, contract.MaxShownCandidates)
	shown := min(len(assessed), contract.MaxShownCandidates)
	var candidates []contract.CandidateAssessment
	for _, a := range assessed[:shown] {
		engine := selector.Engine(a.Index)
		candidates = append(candidates, contract.CandidateAssessment{
			Server: engine.Server.ID, Zone: engine.Server.Zone, PassedOver: string(a.Objection), Judged: judgedEngine(selector, a.Index, engine),
		})
	}
	return candidates, len(assessed) - shown
}

func judgedEngine(selector *placement.EngineSelector, index int, engine *placement.Engine) map[string]float64 {
	judged := map[string]float64{
		"version": float64(engine.Version), "slots": float64(engine.Server.Slots), "own_items": float64(engine.LocalItems),
		"other_items": float64(engine.OtherItems), "pace_ms": float64(selector.PaceOf(index).Microseconds()) / 1000, "rtt_ms": float64(engine.RTT.Microseconds()) / 1000,
	}
	if engine.IsForeign {
		judged["foreign"] = 1
	}
	return judged
}
