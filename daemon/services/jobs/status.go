package jobs

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.StatusReporter = (*service)(nil)

// maxShownWorkspaces bounds the workspaces of a service that operators are shown.
const maxShownWorkspaces = 10

// ReportStatus implements contract.StatusReporter.
func (s *service) ReportStatus(ctx context.Context, status *contract.ManagedStatus) error {
	var queues []contract.QueueStatus
	if err := s.loopExecutor.Do(ctx, func() { queues = s.itemQueues() }); err != nil {
		return err
	}
	status.Queues = append(status.Queues, queues...)
	return nil
}

// itemQueues returns the items that run on and wait for the engines of each service.
func (s *service) itemQueues() []contract.QueueStatus {
	now := s.loop.Now()
	tallies, runningAt := make(map[structs.ServiceName]*limit.WaitTally), make(map[structs.ServiceName]int)
	for _, j := range s.ownedJobs {
		if !j.isOpen() {
			continue
		}
		tally := tallies[j.route.service]
		if tally == nil {
			tally = &limit.WaitTally{}
			tallies[j.route.service] = tally
		}
		waiting, running, oldest := j.itemCounts(now)
		tally.Add("", j.Workspace, waiting, oldest)
		runningAt[j.route.service] += running
	}
	var queues []contract.QueueStatus
	for name, tally := range tallies {
		report := tally.Report(maxShownWorkspaces)
		report.Running = runningAt[name]
		queues = append(queues, contract.QueueStatus{Service: name, Kind: contract.QueueItems, QueueReport: report})
	}
	return queues
}

// itemCounts returns how many items wait and run, and for how long the oldest has waited.
func (j *job) itemCounts(now time.Time) (waiting, running int, oldest time.Duration) {
	for _, it := range j.items {
		switch it.phase {
		case phaseRunning:
			running++
		case phaseWaiting:
			waiting++
			oldest = max(oldest, now.Sub(it.waitingSince))
		}
	}
	return waiting, running, oldest
}
