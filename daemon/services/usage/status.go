package usage

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/usage"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.StatusReporter = (*service)(nil)

// maxShownWindows bounds the reported windows that are kept for operators.
const maxShownWindows = 8

// noteReported keeps a window that the platform has confirmed for operators.
func (s *service) noteReported(window usage.Window, counts usage.Counts, late time.Duration) {
	s.reported = append(s.reported, contract.UsageWindow{
		Window: int64(window), Ended: s.rules.EndOf(window), Requests: total(counts), Workspaces: len(counts), LateSeconds: late.Seconds(),
	})
	s.reported = s.reported[max(0, len(s.reported)-maxShownWindows):]
}

// ReportStatus implements contract.StatusReporter. Only the holder knows of reports.
func (s *service) ReportStatus(ctx context.Context, status *contract.ManagedStatus) error {
	if !s.isEnabled {
		return nil
	}
	var shown *contract.UsageStatus
	err := s.executor.Do(ctx, func() {
		if s.book == nil {
			return
		}
		shown = &contract.UsageStatus{Reported: append([]contract.UsageWindow(nil), s.reported...)}
		for _, window := range s.book.Unreported() {
			shown.Unreported = append(shown.Unreported, int64(window))
		}
	})
	if err == nil {
		status.Usage = shown
	}
	return err
}
