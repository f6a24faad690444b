package usage

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/usage"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// recordKey is the key of the counts on which the holders have decided.
const recordKey = "flamingobeam/usage/decided"

const (
	// reportTimeout bounds a report, including the wait for its turn.
	reportTimeout = 3 * time.Second
	// stepTimeout bounds a step that a fault holds up.
	stepTimeout = 6 * time.Second
)

// stepResult is the result of a step of the holder.
type stepResult struct {
	step  usage.Step
	token uint64
	// record and revision are what a Load found, or a Decide wrote; record is nil if the
	// store holds none.
	record   *usage.Record
	revision outside.Revision
	// gathered is the result of a Gather.
	gathered gatherResult
	// isDone is set if a report was confirmed.
	isDone bool
}

// advance starts the next step of the holder, unless one is in progress. It runs on the
// control goroutine.
func (s *service) advance() {
	if s.isBusy || s.book == nil {
		return
	}
	s.loop.CancelTimer(s.timer)
	s.timer = nil
	now := s.trueNow()
	step := s.book.Next(now, s.duties.View().Load().IsSelf)
	if step.Kind == usage.Wait {
		s.timer = s.loop.AfterFunc(max(step.Until.Sub(now), time.Millisecond), s.advance)
		return
	}
	s.isBusy = true
	work := s.workOf(step, now)
	token := s.token
	kernel.RunAsync(s.workers, stepTimeout, s.results, func(ctx context.Context) (stepResult, error) {
		result, err := work(ctx)
		result.step, result.token = step, token
		return result, err
	})
}

// workOf returns the blocking part of a step.
func (s *service) workOf(step usage.Step, now time.Time) func(ctx context.Context) (stepResult, error) {
	switch step.Kind {
	case usage.Load:
		return s.loadRecord
	case usage.Gather:
		request := s.gatherRequest(step, now)
		asked, clocks := s.unanswered(), maps.Clone(s.clocks)
		return func(ctx context.Context) (stepResult, error) {
			return stepResult{gathered: s.gather(ctx, request, asked, clocks)}, nil
		}
	case usage.Decide:
		revision := s.revision
		return func(ctx context.Context) (stepResult, error) { return s.writeRecord(ctx, step.Record, revision) }
	default:
		return func(ctx context.Context) (stepResult, error) {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			outcome, err := s.duties.ReportUsage(ctx, outside.UsageReport{Window: int64(step.From), Counts: step.Counts})
			return stepResult{isDone: err == nil && outcome == outside.DutyDone}, err
		}
	}
}

// loadRecord reads the record.
func (s *service) loadRecord(ctx context.Context) (stepResult, error) {
	stored, err := s.store.Get(ctx, recordKey)
	if errors.Is(err, outside.ErrNotFound) {
		return stepResult{}, nil
	}
	if err != nil {
		return stepResult{}, err
	}
	record := &usage.Record{}
	if err := json.Unmarshal(stored.Value, record); err != nil {
		// An unreadable record cannot be reported. It is replaced by the next decision.
		s.log.WithError(err).WithField("key", recordKey).Error("Could not decode the record of the usage.")
		return stepResult{revision: stored.Revision}, nil
	}
	return stepResult{record: record, revision: stored.Revision}, nil
}

// writeRecord writes the record if the store holds it at a revision.
func (s *service) writeRecord(ctx context.Context, record usage.Record, revision outside.Revision) (stepResult, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return stepResult{}, errors.WithStack(err)
	}
	written, err := s.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: recordKey, Revision: revision}},
		Writes:     []outside.Write{{Key: recordKey, Value: value}},
	})
	return stepResult{record: &record, revision: written}, err
}

// handleResult applies the result of a step on the control goroutine.
func (s *service) handleResult(reply kernel.AsyncResult[stepResult]) {
	s.isBusy = false
	result := reply.Value
	if s.book != nil && result.token == s.token {
		s.apply(result, reply.Err)
	}
	s.advance()
}

func (s *service) apply(result stepResult, err error) {
	now := s.trueNow()
	if err != nil && result.step.Kind != usage.Report && !errors.Is(err, outside.ErrConflict) {
		s.log.WithError(err).WithField("window", result.step.From).Warn("The store did not serve the usage of a window.")
		s.book.StoreFailed(now)
		return
	}
	switch result.step.Kind {
	case usage.Load:
		s.revision = result.revision
		s.book.Loaded(result.record, now)
	case usage.Gather:
		s.applyGathered(result.step, result.gathered)
	case usage.Decide:
		if err != nil {
			s.book.Contested()
			return
		}
		s.revision = result.revision
		s.book.Decided(*result.record)
		s.unsettleClocks()
		s.log.WithFields(logrus.Fields{"from": result.step.From, "to": result.step.To, "open": len(result.record.Decided), "revision": result.revision}).Info("Decided on the usage of windows.")
	case usage.Report:
		s.applyReported(result, err, now)
	}
}

func (s *service) applyReported(result stepResult, err error, now time.Time) {
	window := result.step.From
	s.book.Reported(window, result.isDone, now)
	late := now.Sub(s.rules.EndOf(window))
	entry := s.log.WithFields(logrus.Fields{"window": window, "workspaces": len(result.step.Counts), "requests": total(result.step.Counts), "after_end_ms": late.Milliseconds()})
	if !result.isDone {
		entry.WithError(err).Warn("A usage report is not confirmed.")
		s.metrics.Count("usage.unconfirmed", 1)
		return
	}
	entry.Info("Reported the usage of a window.")
	s.noteReported(window, result.step.Counts, late)
	s.metrics.Gauge("usage.last_window", int64(window))
	s.metrics.Count("usage.reported", 1)
	if late > s.rules.Due {
		s.metrics.Count("usage.reported_late", 1)
	}
}

func total(counts usage.Counts) int64 {
	var sum int64
	for _, count := range counts {
		sum += count
	}
	return sum
}
