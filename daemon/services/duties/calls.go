package duties

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/duty"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/outside"
)

// usageSubject is the subject of all usage reports. That of an order of servers is the
// service with the zone.
const usageSubject duty.Subject = "usage"

// ReportUsage implements contract.Duties.
func (s *service) ReportUsage(ctx context.Context, report outside.UsageReport) (outside.DutyOutcome, error) {
	outcome, err := s.call(ctx, matter{subject: usageSubject}, func(ctx context.Context, holder outside.DutyHolder) (outside.DutyOutcome, error) {
		return s.calls.ReportUsage(ctx, holder, report)
	})
	if err == nil && outcome == outside.DutyConflict {
		// Only a higher fencing token is a reason to refuse a report. The next holder gets
		// one that is higher still.
		s.yield(0, "A usage report was refused for its fencing token.")
	}
	return outcome, err
}

// OrderServers implements contract.Duties.
func (s *service) OrderServers(ctx context.Context, order outside.ServerOrder) (outside.DutyOutcome, error) {
	subject := duty.Subject(string(order.Service) + " " + string(order.Zone))
	return s.call(ctx, matter{subject: subject, reclaimable: order.Reclaimable}, func(ctx context.Context, holder outside.DutyHolder) (outside.DutyOutcome, error) {
		return s.calls.OrderServers(ctx, holder, order)
	})
}

// matter is what a call is about. Orders of reclaimable servers share their subject with
// those of others, but not the pauses after a call that failed.
type matter struct {
	subject     duty.Subject
	reclaimable bool
}

// paused returns the subject whose calls are paused after one that failed.
func (m matter) paused() duty.Subject {
	if m.reclaimable {
		return m.subject + " reclaimable"
	}
	return m.subject
}

type sendFunc func(ctx context.Context, holder outside.DutyHolder) (outside.DutyOutcome, error)

// call makes one call of a subject: after the subject's last one has ended, when the
// tenure and the rate allow it, and only if this daemon holds the duties when the first
// byte leaves. A call that could not be made before ctx ends counts as rate limited.
func (s *service) call(ctx context.Context, about matter, send sendFunc) (outside.DutyOutcome, error) {
	tenure, err := s.begin(ctx, about)
	if err != nil {
		return outside.DutyRateLimited, err
	}
	if tenure == nil {
		return outside.DutyRateLimited, nil
	}
	defer s.end(about.subject)
	guard := &sendGuard{mayWrite: func() bool { return s.isCurrent(tenure) }}
	callCtx, cancel := context.WithTimeout(withSendGuard(ctx, guard), callTimeout)
	defer cancel()
	started := boottime.Now()
	outcome, err := send(callCtx, outside.DutyHolder{Name: s.host, FencingToken: tenure.Token})
	s.record(tenure, about, outcome, err)
	s.metrics.Time("duties.call", boottime.Since(started))
	entry := s.log.WithFields(logrus.Fields{"subject": about.paused(), "token": tenure.Token, "ms": boottime.Since(started).Milliseconds()})
	switch {
	case err == nil:
		s.reach.succeeded()
		entry.WithField("outcome", outcome.String()).Info("Made a call of a duty.")
		return outcome, nil
	case guard.hasSent():
		entry.WithError(err).Warn("A call of a duty has no response.")
		return outcome, result.Wrap(result.OutcomeUnknown, err)
	case guard.wasRefused():
		entry.Info("A call of a duty was not sent: the duties were lost meanwhile.")
		return outcome, notHolder()
	default:
		entry.WithError(err).Warn("The platform cannot be reached for a duty.")
		s.checkReach()
		return outside.DutyRefused, nil
	}
}

func notHolder() error { return result.New(result.NotHolder, "this daemon is not the holder now") }

// isCurrent reports whether a tenure lasts.
func (s *service) isCurrent(tenure *duty.Tenure) bool {
	token, holds := s.session.Leadership()
	return holds && token == tenure.Token
}

// begin waits until a call of a subject may be made, and marks it as in flight. It
// returns no tenure if ctx ends before, and fails with code NotHolder if this daemon does
// not hold the duties.
func (s *service) begin(ctx context.Context, about matter) (*duty.Tenure, error) {
	for {
		tenure := s.currentTenure()
		if tenure == nil || !tenure.MayCall(boottime.Now()) {
			return nil, notHolder()
		}
		ended, wait := s.tryBegin(tenure, about)
		if ended == nil && wait == 0 {
			return tenure, nil
		}
		if !await(ctx, ended, wait) {
			return nil, nil
		}
	}
}

// tryBegin marks a call of a subject as in flight. If that has to wait, it returns the
// end of the subject's call in flight, or how long.
func (s *service) tryBegin(tenure *duty.Tenure, about matter) (ended chan struct{}, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended := s.inFlight[about.subject]; ended != nil {
		return ended, 0
	}
	if wait := tenure.Wait(about.paused(), boottime.Now()); wait > 0 {
		return nil, wait
	}
	if wait, ok := s.bucket.Take(time.Now(), 0); !ok {
		return nil, wait
	}
	s.inFlight[about.subject] = make(chan struct{})
	return nil, 0
}

// await waits for a channel if it is not nil, or else for a time. It returns false if ctx
// ends first.
func await(ctx context.Context, ended chan struct{}, wait time.Duration) bool {
	if ended != nil {
		select {
		case <-ended:
			return true
		case <-ctx.Done():
			return false
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// end marks the call of a subject as ended.
func (s *service) end(subject duty.Subject) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.inFlight[subject])
	delete(s.inFlight, subject)
}

// record records the outcome of a call in its tenure. That there are no reclaimable servers
// at present is no conflict between holders.
func (s *service) record(tenure *duty.Tenure, about matter, outcome outside.DutyOutcome, err error) {
	recorded := duty.NotExecuted
	switch {
	case err != nil:
		s.metrics.Count("duties.failed", 1)
	case outcome == outside.DutyDone:
		recorded = duty.Executed
	case outcome == outside.DutyConflict && !about.reclaimable:
		recorded = duty.Conflict
		s.metrics.Count("duties.conflicts", 1)
	default:
		s.metrics.Count("duties.not_executed", 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tenure.Record(about.paused(), recorded, boottime.Now())
}
