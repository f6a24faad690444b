package jobs

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// expectedTokens returns what a run of an item is expected to need of its engine's memory
// when it ends: the prompt and the text.
func (s *service) expectedTokens(j *job, it *item, eventsLeft int) int {
	prompt := max(0, it.TotalTokens-it.MaxOutputTokens)
	return prompt + (it.resumeOffset+eventsLeft)*s.tokensPerEvent(j)
}

// tokenCapacity returns the size of the memory for tokens of a job's engines; zero means
// unknown.
func (s *service) tokenCapacity(j *job) int {
	if view := s.catalog.Current().Load(); view.Catalog != nil {
		if service := view.Catalog.Services[j.route.service]; service.Engine != nil {
			return service.Engine.KVCacheTokens
		}
	}
	return 0
}

// observePreemptions notes the engines that seem to have preempted runs of a job, so that
// they get less work for a while.
func (s *service) observePreemptions(j *job, now time.Time) {
	silences := make(map[structs.HostName][]placement.RunSilence)
	for _, it := range j.items {
		if it.phase != phaseRunning || it.isMoving {
			continue
		}
		if silence, hasBegun := it.progress.Silence(now); hasBegun {
			sample, _ := it.progress.PaceSample(now)
			silences[it.server] = append(silences[it.server], placement.RunSilence{Silence: silence, Pace: sample.Mean})
		}
	}
	for server, runs := range silences {
		state, preempted := s.engines[server], placement.Preempted(runs)
		if state == nil || preempted == 0 {
			continue
		}
		if !now.Before(state.preemptsUntil) {
			s.metrics.Count("jobs.engines_preempting", 1)
			s.log.WithFields(logrus.Fields{"server": server, "job": j.ID, "silent": preempted, "runs": len(runs), "tokens": state.tokens}).Info("An engine preempts runs.")
		}
		state.preemptsUntil = now.Add(placement.PreemptionTTL)
	}
}
