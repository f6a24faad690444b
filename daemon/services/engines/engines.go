// Package engines is the service "traffic.engines": it runs the items of batch
// jobs as streams on model engines and notes which version made each event.
package engines

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameEngines, func() kernel.Service { return &service{} })
}

const (
	// dialTimeout bounds a new connection to an engine.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is how long a connection is kept for the next item. One that
	// the engine has closed meanwhile costs another attempt, not a result.
	idleTimeout = 60 * time.Second
	// idlePerServer holds as many as an engine runs at once.
	idlePerServer = 16
	// firstWithin bounds the wait for an answer: an engine that loads weights
	// says so at once, and one that queues is worth less than another.
	firstWithin = 2500 * time.Millisecond
	// nextWithin bounds the wait for the next event: it is longer than the
	// pause that a change of weights makes.
	nextWithin = 1600 * time.Millisecond
	// maxRefusal bounds what is read of a refusal, in bytes.
	maxRefusal = 4 << 10
)

var (
	errSilent    = errors.New("engines: the stream fell silent")
	errNoVersion = errors.New("engines: the answer names no version")
	errForeign   = errors.New("engines: the answer belongs to another request")
	errMixed     = errors.New("engines: the weights changed within a text that must have one version")
)

type service struct {
	kernel.Base
	metrics   contract.Metrics
	log       *logrus.Entry
	transport *http.Transport
}

var _ contract.Engines = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	s.log = ctx.Log()
	s.transport = transport.New(transport.Options{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdlePerHost: idlePerServer})
	var err error
	s.metrics, err = kernel.Find[contract.Metrics](ctx, contract.NameMetrics)
	return err
}

// Stop implements kernel.Service.
func (s *service) Stop(context.Context) error {
	s.transport.CloseIdleConnections()
	return nil
}

// Run implements contract.Engines.
func (s *service) Run(ctx context.Context, request contract.RunRequest, progress *contract.Progress) contract.RunResult {
	started := time.Now()
	before := request.Text.Last
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstWithin, func() { cancel(errSilent) })
	defer silence.Stop()
	run := s.run(ctx, request, progress, silence)
	run.Text = request.Text
	if cause := context.Cause(ctx); cause != nil && run.Err != nil {
		run.Err = cause
	}
	s.metrics.Time("engines.run", time.Since(started))
	entry := s.log.WithFields(logrus.Fields{
		"job": request.Job.ID, "item": request.Item.ID, "server": request.Server.ID, "model": request.Job.Model,
		"version": run.Version, "after": before, "last": run.Text.Last, "end": run.Outcome.String(), "status": run.Status,
		"ms": time.Since(started).Milliseconds(), "first_ms": progress.TimeToFirstEvent(started).Milliseconds(), "urgency": request.Urgency,
	})
	if run.Err != nil {
		entry = entry.WithError(run.Err)
	}
	entry.Info("A run ended.")
	return run
}

func (s *service) run(ctx context.Context, request contract.RunRequest, progress *contract.Progress, silence *time.Timer) contract.RunResult {
	header := make(http.Header, len(request.Item.Headers))
	for name, value := range request.Item.Headers {
		header.Set(name, value)
	}
	outgoing, err := platform.BackendRequest{
		Server: request.Server.ID, Address: request.Server.Address,
		Method: http.MethodPost, Host: request.Job.Host, Target: request.Item.Path,
		Header: header, Body: request.Item.Body, AttemptID: string(request.Item.ID),
		Timeout: request.Timeout, Priority: request.Urgency,
		ResumeAfter: request.Text.Last,
	}.NewRequest(ctx)
	if err != nil {
		return contract.RunResult{Outcome: contract.RunImpossible, Err: err}
	}
	response, err := s.transport.RoundTrip(outgoing)
	if transport.IsDialFailure(err) {
		return contract.RunResult{Outcome: contract.RunUnreachable, Err: err}
	}
	if err != nil {
		return contract.RunResult{Outcome: contract.RunInterrupted, Err: err}
	}
	defer response.Body.Close()
	answer := platform.DecodeResponseHeaders(response, string(request.Item.ID))
	run := contract.RunResult{Status: response.StatusCode, Version: answer.Version}
	run.Outcome, run.Err = begin(request, response.StatusCode, answer)
	if run.Err != nil {
		if answer.NotRun {
			// Read to its end, the connection serves again.
			_, _ = io.CopyN(io.Discard, response.Body, maxRefusal)
		}
		return run
	}
	// A stream that is asked for after its last event names no version.
	request.Text.Version = answer.Version
	run.Outcome, run.Err = read(request, response.Body, progress, silence)
	run.Version = request.Text.Version
	return run
}

// begin judges the start of an answer; an error ends the run.
func begin(request contract.RunRequest, status int, answer platform.ResponseHeaders) (contract.RunOutcome, error) {
	switch {
	case answer.NotRun:
		return contract.RunNotStarted, errors.Errorf("status %d", status)
	case !answer.MatchesAttempt:
		return contract.RunInterrupted, errForeign
	case status == http.StatusUnprocessableEntity:
		return contract.RunImpossible, errors.Errorf("status %d", status)
	case status == http.StatusInternalServerError:
		return contract.RunFailed, errors.Errorf("status %d", status)
	case status != http.StatusOK:
		return contract.RunInterrupted, errors.Errorf("status %d", status)
	case answer.Version == 0 && request.Text.Last == 0:
		return contract.RunInterrupted, errNoVersion
	case answer.Version != 0 && answer.Version < request.Job.MinVersion:
		return contract.RunStaleWeights, errors.Errorf("version %d", answer.Version)
	case request.SingleVersion && request.Text.Last > 0 && answer.Version != 0 && request.Text.Version != answer.Version:
		return contract.RunStaleWeights, errMixed
	}
	return contract.RunCompleted, nil
}

// read adds the events of a stream to the text.
func read(request contract.RunRequest, body io.Reader, progress *contract.Progress, silence *time.Timer) (contract.RunOutcome, error) {
	text := request.Text
	version := text.Version
	events := platform.NewEventReader(body)
	for {
		event, err := events.Next()
		if err == io.EOF {
			text.MarkWhole()
			return contract.RunCompleted, nil
		}
		if err != nil {
			return contract.RunInterrupted, err
		}
		if event.ID != text.Last+1 {
			return contract.RunInterrupted, errors.Errorf("event %d after event %d", event.ID, text.Last)
		}
		if event.Version != 0 {
			if request.SingleVersion && event.Version != version {
				return contract.RunInterrupted, errMixed
			}
			version = event.Version
		}
		if version == 0 {
			return contract.RunInterrupted, errNoVersion
		}
		silence.Reset(nextWithin)
		progress.RecordEvent(time.Now())
		text.Add(event.ID, event.Data, version)
	}
}
