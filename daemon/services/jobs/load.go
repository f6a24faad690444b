package jobs

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/scaling"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// loadInterval is the interval at which the work of the owned jobs is reported to the
// holder of the duties. It is short against the time in which a server starts.
const loadInterval = time.Second

// reportLoad reports the work of the owned jobs, if their services have a variable number
// of servers.
func (s *service) reportLoad() {
	s.loop.AfterFunc(loadInterval, s.reportLoad)
	view := s.catalog.Current().Load()
	if view.Catalog == nil || len(s.ownedJobs) == 0 {
		return
	}
	var loads []contract.ServiceLoad
	for name, configured := range view.Catalog.Services {
		if configured.Scaling == nil {
			continue
		}
		if load := s.loadOf(name, configured); len(load.Steps) > 0 || load.Open > 0 {
			loads = append(loads, load)
		}
	}
	s.fleet.RecordLoad(loads)
}

// loadOf returns the work of one service. Works are at the mean pace of its servers.
func (s *service) loadOf(name structs.ServiceName, configured catalog.Service) contract.ServiceLoad {
	now, pace := s.loop.Now(), s.meanPace(name)
	load := contract.ServiceLoad{Service: name}
	for _, j := range s.ownedJobs {
		if j.route.service != name {
			continue
		}
		if age := now.Sub(j.submittedAt); age <= scaling.MemoryOf(j.route.resultDeadline) {
			load.Steps = append(load.Steps, contract.StepLoad{
				Model: j.Model, Number: j.Step, Work: time.Duration(s.eventsOf(j, configured)) * pace, Age: age, Due: j.route.resultDeadline,
			})
		}
		if !j.isOpen() {
			continue
		}
		for _, it := range j.items {
			switch it.phase {
			case phaseRunning:
				load.Running++
				load.Open += time.Duration(s.eventsLeft(j, it)) * pace
			case phaseWaiting:
				load.Open += time.Duration(s.eventsLeft(j, it)) * pace
			}
		}
	}
	return load
}

// eventsOf estimates the events of a whole step, once for each job.
func (s *service) eventsOf(j *job, configured catalog.Service) float64 {
	if j.stepEvents > 0 {
		return j.stepEvents
	}
	tokensPerEvent := float64(defaultTokensPerEvent)
	if configured.Engine != nil && configured.Engine.TokensPerEvent > 0 {
		tokensPerEvent = float64(configured.Engine.TokensPerEvent)
	}
	for i := range j.Items {
		j.stepEvents += placement.EstimateRemainingEvents(float64(j.Items[i].LengthHint)/tokensPerEvent, 0)
	}
	return j.stepEvents
}

// meanPace returns the mean best pace of a service's servers.
func (s *service) meanPace(name structs.ServiceName) time.Duration {
	servers := s.servers.Entries().Load().ByService[name]
	engines := make([]placement.Engine, len(servers))
	for i, server := range servers {
		_, engines[i].BestPace = s.paces.Estimate(server)
	}
	return placement.MeanBestPace(engines)
}
