package jobs

import (
	"context"

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
	tallies, running := make(map[structs.ServiceName]*limit.WaitTally), make(map[structs.ServiceName]int)
	for _, j := range s.ownedJobs {
		if !j.isOpen() {
			continue
		}
		tally := tallies[j.route.service]
		if tally == nil {
			tally = &limit.WaitTally{}
			tallies[j.route.service] = tally
		}
		for _, it := range j.items {
			switch it.phase {
			case phaseRunning:
				running[j.route.service]++
			case phaseWaiting:
				tally.Add("", j.Workspace, now.Sub(it.waitingSince))
			}
		}
	}
	var queues []contract.QueueStatus
	for name, tally := range tallies {
		report := tally.Report(maxShownWorkspaces)
		report.Running = running[name]
		queues = append(queues, contract.QueueStatus{Service: name, Kind: contract.QueueItems, QueueReport: report})
	}
	return queues
}
