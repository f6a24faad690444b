// Package engines is the service "traffic.engines": it runs the items of batch
// jobs as streams on model engines and records the weight version of each
// event.
package engines

import (
	"cmp"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameEngines, func() kernel.Service { return &service{} })
}

const (
	// firstEventTimeout bounds the wait for the first event: an engine that
	// loads weights refuses at once, and another engine is better than one that
	// queues the request for longer.
	firstEventTimeout = 2500 * time.Millisecond
	// nextEventTimeout bounds the wait for each further event. It is longer
	// than the pause of a weight swap.
	nextEventTimeout = 1600 * time.Millisecond
	// maxTextBytes bounds a text with its events: a result must fit in one value of the
	// store, which holds 1 MiB of JSON.
	maxTextBytes = 512 << 10
	// eventOverhead is what an event costs in memory and in a result besides its data,
	// in bytes.
	eventOverhead = 32
	// maxEmptyEvents is the number of events of a text that may hold no token.
	maxEmptyEvents = 64
	// limitPatience is how long a run waits for an engine whose limit of requests is
	// used up, before it is placed elsewhere.
	limitPatience = 100 * time.Millisecond
)

var (
	errNoVersion     = errors.New("engines: response has no weight version")
	errWrongAttempt  = errors.New("engines: response to another request")
	errOverlong      = errors.New("engines: stream is longer than a text can be")
	errMixedVersions = errors.New("engines: weight version changed in a single-version text")
)

type service struct {
	kernel.Base
	metrics contract.Metrics
	links   contract.ServerLinks
	hosts   contract.Hosts
	limits  contract.ServerLimits
	log     *logrus.Entry
}

var _ contract.Engines = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	s.log = ctx.Log()
	return kernel.FindAll(ctx,
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.links, contract.NameServerLinks),
		kernel.Bind(&s.hosts, contract.NameHosts),
		kernel.Bind(&s.limits, contract.NameServerLimits),
	)
}

// Run implements contract.Engines.
func (s *service) Run(ctx context.Context, request contract.RunRequest, progress *contract.Progress) contract.RunResult {
	started := time.Now()
	resumed := request.Text.Position()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(firstEventTimeout, func() { cancel(contract.CutStalled) })
	defer stallTimer.Stop()
	isNewConnection := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isNewConnection = !info.Reused }})
	result := s.runStream(traced, request, progress, stallTimer)
	result.Text = request.Text
	if cause := context.Cause(ctx); cause != nil && result.Err != nil {
		result.Err = cause
	}
	reason := contract.EndReason(ctx, result)
	s.metrics.Time("engines.run", time.Since(started))
	s.metrics.Count("engines.runs_ended."+strings.ReplaceAll(reason, " ", "_"), 1)
	entry := s.log.WithFields(logrus.Fields{
		"job": request.Job.ID, "item": request.Item.ID, "server": request.Server.ID, "software": request.Server.Software, "model": request.Job.Model,
		"version": result.Version, "after": resumed.Last, "text_software": resumed.Origin.Software, "last": result.Text.Last, "end": result.Outcome.String(), "status": result.Status,
		"ms": time.Since(started).Milliseconds(), "first_ms": progress.TimeToFirstEvent(started).Milliseconds(), "urgency": request.Urgency,
		"start": request.Start.String(), "reason": reason, "new_connection": isNewConnection,
	})
	if result.Err != nil {
		entry = entry.WithError(result.Err)
	}
	entry.Info("A run ended.")
	return result
}

func (s *service) runStream(ctx context.Context, request contract.RunRequest, progress *contract.Progress, stallTimer *time.Timer) contract.RunResult {
	permit, err := resume.Authorize(request.Text.Position(), resume.OriginOf(request.Server))
	if err != nil {
		return contract.RunResult{Outcome: contract.RunInterrupted, Err: err}
	}
	if permit.Last() > 0 {
		s.metrics.Count("engines.texts_resumed", 1)
	}
	if err := s.limits.Acquire(ctx, request.Server.ID, limitPatience); err != nil {
		return contract.RunResult{Outcome: contract.RunNotStarted, Err: err, RetryAfter: result.RetryAfterOf(err)}
	}
	header := make(http.Header, len(request.Item.Headers))
	for name, value := range request.Item.Headers {
		header.Set(name, value)
	}
	outgoing := platform.BackendRequest{
		Server: request.Server.ID, Address: request.Server.Address,
		Method: http.MethodPost, Host: request.Job.Host, Target: request.Item.Path,
		Header: header, Body: structs.PayloadOf(request.Item.Body), AttemptID: string(request.Item.ID),
		Timeout: request.Timeout, Priority: request.Urgency,
		Resume: permit, Identity: platform.Identity{IsManaged: request.HasWorkspaces, Workspace: request.Job.Workspace},
	}
	sentAt := time.Now()
	response, err := s.links.Do(ctx, contract.Exchange{
		Server: request.Server.ID, Address: request.Server.Address, Kind: contract.ExchangeItem, Repeatable: true, Build: outgoing.NewRequest,
	})
	if transport.IsDialFailure(err) {
		return contract.RunResult{Outcome: contract.RunUnreachable, Err: err}
	}
	if err != nil {
		return contract.RunResult{Outcome: contract.RunInterrupted, Err: err}
	}
	defer response.Body.Close()
	headers := platform.DecodeResponseHeaders(response, string(request.Item.ID))
	if headers.DescribesServer {
		s.limits.Observe(request.Server.ID, headers.RateLimit, sentAt)
	}
	if headers.Leaving {
		s.hosts.Report(request.Server.ID, contract.SignalLeaving)
	}
	result := contract.RunResult{Status: response.StatusCode, Version: headers.Version}
	result.Outcome, result.Err = checkResponse(request, response.StatusCode, headers)
	if result.Err != nil {
		transport.Discard(response)
		return result
	}
	// The response to a stream that is resumed after its last event has no
	// version.
	version := cmp.Or(headers.Version, request.Text.Version)
	result.Version, result.Outcome, result.Err = readEvents(request, version, response.Body, progress, stallTimer)
	return result
}

// checkResponse checks the status and headers of a response. An error ends the
// run with the returned outcome.
func checkResponse(request contract.RunRequest, status int, headers platform.ResponseHeaders) (contract.RunOutcome, error) {
	switch {
	case headers.NotRun:
		return contract.RunNotStarted, errors.Errorf("status %d", status)
	case !headers.MatchesAttempt:
		return contract.RunInterrupted, errWrongAttempt
	case status == http.StatusUnprocessableEntity:
		return contract.RunImpossible, errors.Errorf("status %d", status)
	case status == http.StatusInternalServerError:
		return contract.RunFailed, errors.Errorf("status %d", status)
	case status != http.StatusOK:
		return contract.RunInterrupted, errors.Errorf("status %d", status)
	case headers.Version == 0 && request.Text.Last == 0:
		return contract.RunInterrupted, errNoVersion
	case headers.Version != 0 && headers.Version < request.Job.MinVersion:
		return contract.RunStaleWeights, errors.Errorf("weight version %d is too old", headers.Version)
	case request.SingleVersion && headers.Version != 0 && !request.Text.HasOnlyVersion(headers.Version):
		return contract.RunOtherWeights, errMixedVersions
	}
	return contract.RunCompleted, nil
}

// textBounds is how much may still be added to a text. A faulty engine may send events
// without end.
type textBounds struct{ events, bytes int }

func newTextBounds(request contract.RunRequest) textBounds {
	bounds := textBounds{events: math.MaxInt, bytes: maxTextBytes}
	if longest := request.Item.MaxOutputTokens; longest > 0 {
		bounds.events = longest + maxEmptyEvents
	}
	for _, data := range request.Text.Events {
		bounds.take(data)
	}
	return bounds
}

// take reports whether the data of another event may be added, and counts it.
func (b *textBounds) take(data string) bool {
	b.events--
	b.bytes -= len(data) + eventOverhead
	return b.events >= 0 && b.bytes >= 0
}

// readEvents appends the events of a stream to the text, until the stream ends
// or fails, and returns the weight version at that point. The stream begins at the
// given version. Each event restarts the stall timer.
func readEvents(request contract.RunRequest, version structs.WeightVersion, body io.Reader, progress *contract.Progress, stallTimer *time.Timer) (structs.WeightVersion, contract.RunOutcome, error) {
	text, origin := request.Text, resume.OriginOf(request.Server)
	bounds := newTextBounds(request)
	reader := platform.NewEventReader(body)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			text.MarkWhole()
			return version, contract.RunCompleted, nil
		}
		if err != nil {
			return version, contract.RunInterrupted, err
		}
		if event.ID != text.Last+1 {
			return version, contract.RunInterrupted, errors.Errorf("event %d after event %d", event.ID, text.Last)
		}
		if !bounds.take(event.Data) {
			return version, contract.RunOverlong, errOverlong
		}
		if event.Version != 0 {
			if request.SingleVersion && event.Version != version {
				return event.Version, contract.RunInterrupted, errMixedVersions
			}
			version = event.Version
		}
		if version == 0 {
			return version, contract.RunInterrupted, errNoVersion
		}
		stallTimer.Reset(nextEventTimeout)
		progress.RecordEvent(time.Now())
		text.Add(event.ID, event.Data, version, origin)
	}
}
