package duties

import (
	"context"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.StatusReporter = (*service)(nil)

// ReportStatus implements contract.StatusReporter.
func (s *service) ReportStatus(_ context.Context, status *contract.ManagedStatus) error {
	if !s.hasDuties() {
		return nil
	}
	view := s.view.Load()
	duties := &contract.DutiesStatus{Holder: view.Holder, FencingToken: view.FencingToken, Since: view.Since, IsSelf: view.IsSelf}
	if s.settings.ReportsUsage {
		duties.Duties = append(duties.Duties, "usage reports")
	}
	if s.settings.ScalesFleet {
		duties.Duties = append(duties.Duties, "orders for servers")
	}
	status.Duties = duties
	return nil
}
