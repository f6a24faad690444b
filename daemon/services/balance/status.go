package balance

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.StatusReporter = (*service)(nil)

// maxShownWorkspaces bounds the workspaces of a service that operators are shown.
const maxShownWorkspaces = 10

// ReportStatus implements contract.StatusReporter.
func (s *service) ReportStatus(_ context.Context, status *contract.ManagedStatus) error {
	now := s.clock.Now()
	for name, view := range s.snapshot.Load().services {
		report := view.admission.report(now)
		if report.Running > 0 || report.Waiting > 0 {
			status.Queues = append(status.Queues, contract.QueueStatus{Service: name, Kind: contract.QueueRequests, QueueReport: report})
		}
	}
	return nil
}

func (q *admissionQueue) report(now time.Time) limit.QueueReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Report(now, maxShownWorkspaces)
}
