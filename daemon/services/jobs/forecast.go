package jobs

import (
	"context"
	"maps"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.JobForecaster = (*service)(nil)

// forecastEvents is the length of the item for which engines are judged, in events.
const forecastEvents = 16

// ForecastJob implements contract.JobForecaster.
func (s *service) ForecastJob(ctx context.Context, submitted *batch.Job, explanation *contract.RouteExplanation) error {
	view := s.session.View().Load()
	owner := modelOwnerOf(string(submitted.Model), view, s.avoidedAtStart(view))
	forecast := &contract.JobForecast{Owner: membership.HostOf(owner.Name)}
	var candidates []contract.CandidateAssessment
	j := &job{Job: *submitted}
	err := s.loopExecutor.Do(ctx, func() {
		j.submittedAt = s.loop.Now()
		s.updateRoute(j)
		candidates = s.assessEngines(j)
		for _, open := range s.ownedJobs {
			if open.isOpen() {
				forecast.OpenJobs++
				forecast.WaitingItems += open.waitingCount()
			}
		}
	})
	if err != nil {
		return err
	}
	forecast.DueSeconds = j.route.resultDeadline.Seconds()
	explanation.Service, explanation.Job = j.route.service, forecast
	if len(candidates) > 0 && candidates[0].PassedOver == "" {
		explanation.Chosen = candidates[0].Server
	}
	shown := min(len(candidates), contract.MaxShownCandidates)
	explanation.Candidates, explanation.Omitted = candidates[:shown], len(candidates)-shown
	if owner.Name != view.Self.Name {
		explanation.Notes = append(explanation.Notes, "another daemon would own the job and place its items; the servers are as this daemon sees them")
	}
	return nil
}

func (j *job) waitingCount() int {
	count := 0
	for _, it := range j.items {
		if it.phase == phaseWaiting {
			count++
		}
	}
	return count
}

// assessEngines returns how the engines are judged for an item of a job that is not
// pressing. It runs on the control goroutine.
func (s *service) assessEngines(j *job) []contract.CandidateAssessment {
	// The selector looks at servers that this daemon has not used, too.
	before := s.engines
	s.engines = maps.Clone(before)
	defer func() { s.engines = before }()
	selector := s.engineSelector(j, s.loop.Now(), false)
	var candidates []contract.CandidateAssessment
	for _, a := range selector.Assess(forecastEvents, j.MinVersion, contract.MaxShownCandidates) {
		engine := selector.Engine(a.Index)
		candidates = append(candidates, contract.CandidateAssessment{
			Server: engine.Server.ID, Zone: engine.Server.Zone, PassedOver: string(a.Objection), Judged: judgedEngine(selector, a.Index, engine),
		})
	}
	return candidates
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
