package gate

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/platform"
)

const (
	// defaultTimeout is the timeout of requests that have none.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes is the maximum size of a body if the operator sets none.
	defaultMaxBodyBytes = 32 << 20
	// defaultRetryAfter is the Retry-After of refusals that have none. A full server
	// has capacity again after one or two requests.
	defaultRetryAfter = 250 * time.Millisecond
	// maxResultsWait is the longest time that a read of results waits for new ones.
	maxResultsWait = 2 * time.Second
	// jobCallTimeout is the timeout for submitting or ending a batch job, which
	// write to the store.
	jobCallTimeout = 4 * time.Second
	// responseMargin is the part of the caller's timeout that is reserved for the
	// transfer of the response.
	responseMargin  = 30 * time.Millisecond
	contentTypeJSON = "application/json"
)

// writeError responds with an error of the daemon, as opposed to an error response of
// a backend server.
func (s *service) writeError(w http.ResponseWriter, r *http.Request, headers platform.RequestHeaders, err error) {
	coded, status, retryAfter := responseTo(err)
	entry := coded.Entry()
	s.metrics.Count("gate.refused."+entry.Name, 1)
	s.log.WithFields(logrus.Fields{
		"request": headers.AttemptID, "host": r.Host, "path": r.URL.Path, "code": int(coded.Code), "status": status,
		"outcome": entry.Outcome, "why": coded.Detail,
	}).Info("A request was not answered by a server.")
	platform.SetResponseHeaders(w.Header(), headers.AttemptID, retryAfter)
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	if _, err := io.WriteString(w, `{"code":`+strconv.Itoa(int(coded.Code))+`}`); err != nil {
		s.log.WithError(err).WithField("request", headers.AttemptID).Debug("Writing an error response failed.")
	}
}

// responseTo returns the status and the Retry-After of the response to an error.
func responseTo(err error) (coded *result.Error, status int, retryAfter time.Duration) {
	if !errors.As(err, &coded) {
		coded = result.Wrap(result.OutcomeUnknown, err)
	}
	entry := coded.Entry()
	status, retryAfter = entry.Status, coded.RetryAfter
	if entry.Outcome == result.NotRun && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	if entry.Outcome == result.MayHaveRun && status != http.StatusGatewayTimeout {
		status = http.StatusBadGateway
	}
	if retryAfter == 0 && status == http.StatusServiceUnavailable {
		retryAfter = defaultRetryAfter
	}
	return coded, status, retryAfter
}

// withDrain returns a context that also ends when requests in flight are ended at a
// planned stop. The returned function must be called once it is not needed any more.
func (s *service) withDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.drainCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

// requestDeadline returns the deadline of a request that arrived at started. It
// applies the shorter of the caller's and the route's timeouts.
func requestDeadline(started time.Time, headers platform.RequestHeaders, route *catalog.Route) time.Time {
	timeout := headers.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return started.Add(timeout)
}

// checkDrain refuses a request that could still be in progress when this daemon has
// stopped. One that may be repeated is served within the time that is left.
func (s *service) checkDrain(route *catalog.Route, deadline time.Time) error {
	if s.stopping.Load() && route.Kind != catalog.KindIdempotent && s.shutdown.Schedule().MayOutlast(deadline) {
		return result.New(result.Stopping, "its deadline is after the end of this daemon")
	}
	return nil
}

// writeGrace is how long after the deadline of a request its response may still be
// written. A caller that does not read holds its connection no longer.
const writeGrace = 2 * time.Second

// limitWrites sets a deadline for the writes of a response and returns a function
// that removes it, as the connection serves further requests.
func (s *service) limitWrites(w http.ResponseWriter, deadline time.Time) func() {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(deadline); err != nil {
		s.log.WithError(err).Debug("Could not set a write deadline.")
	}
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// forward sends a request to a backend server and relays the response.
func (s *service) forward(w http.ResponseWriter, r *http.Request, call routeCall) {
	headers, route, current := call.headers, call.route, call.catalog
	started := time.Now()
	deadline := requestDeadline(started, headers, route)
	body, err := s.readBody(w, r, maxBodyBytes(current.Limits), deadline)
	if err != nil {
		s.refuseUnread(w, r, headers, err)
		return
	}
	if headers.InvalidPosition {
		s.writeError(w, r, headers, result.New(result.BadRequest, "the ID of the last event is not a number"))
		return
	}
	if err := s.checkDrain(route, deadline); err != nil {
		s.writeError(w, r, headers, err)
		return
	}
	ctx, release := s.withDrain(r.Context())
	defer release()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer s.limitWrites(w, deadline.Add(writeGrace))()
	contract.HoldingOf(ctx).Pass()
	reply, err := s.dispatch.Forward(ctx, contract.ForwardRequest{
		Route: route, ID: headers.AttemptID, Method: r.Method, Host: r.Host, Target: r.RequestURI,
		Header: r.Header, Body: body, Deadline: deadline,
		ResumeAfter: headers.ResumeAfter, ResumedAttempt: headers.ResumedAttempt, Workspace: call.workspace,
	})
	if err != nil {
		if ctx.Err() != nil && result.OutcomeOf(err) == result.MayHaveRun {
			err = result.New(result.GroupUnfinished, "no answer in %v", time.Since(started))
		}
		s.writeError(w, r, headers, err)
		return
	}
	s.metrics.Time("gate.answered", time.Since(started))
	s.workspaces.add(call.workspace, "answered")
	s.log.WithFields(logrus.Fields{
		"request": headers.AttemptID, "route": route.Name, "configuration": current.Version, "workspace": call.workspaceName(), "server": reply.Server,
		"servers_asked": reply.Attempts, "status": reply.Status, "ms": time.Since(started).Milliseconds(),
	}).Info("A request was answered.")
	platform.CopyResponseHeaders(w.Header(), reply.Header)
	if reply.Stream != nil {
		s.writeStream(w, headers, reply)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	if _, err := w.Write(reply.Body); err != nil {
		s.log.WithError(err).WithField("request", headers.AttemptID).Info("Writing a response failed.")
	}
}

// writeStream relays a streamed response and flushes each piece. If the stream is
// interrupted, it aborts the connection to the caller, so that the response does not
// look complete.
func (s *service) writeStream(w http.ResponseWriter, headers platform.RequestHeaders, reply contract.ForwardReply) {
	defer reply.Stream.Body.Close()
	if length := reply.Stream.ContentLength; length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(reply.Status)
	if err := transport.Stream(w, reply.Stream.Body); err != nil {
		s.log.WithError(err).WithField("request", headers.AttemptID).Info("Response stream was interrupted.")
		panic(http.ErrAbortHandler)
	}
}

// submitJob accepts a batch job.
func (s *service) submitJob(w http.ResponseWriter, r *http.Request, call routeCall) {
	started, headers := time.Now(), call.headers
	payload, err := s.readBody(w, r, min(maxBodyBytes(call.catalog.Limits), contract.MaxJobBytes), started.Add(cmp.Or(headers.Timeout, defaultTimeout)))
	if err != nil {
		s.refuseUnread(w, r, headers, err)
		return
	}
	body := payload.Bytes()
	if err := contract.HoldingOf(r.Context()).Claim(jobBytes(body)); err != nil {
		s.writeError(w, r, headers, err)
		return
	}
	job, err := platform.DecodeJob(headers.AttemptID, r.Host, r.URL.EscapedPath(), body)
	if err != nil {
		s.writeError(w, r, headers, result.Wrap(result.BadRequest, err))
		return
	}
	if call.workspace != nil {
		job.Workspace = call.workspace.Name
	}
	timeout := jobCallTimeout
	if headers.Timeout > 0 {
		timeout = min(timeout, headers.Timeout-responseMargin)
	}
	// The caller may disconnect. A submission that has been started is completed
	// nevertheless.
	ctx, release := s.withDrain(r.Context())
	defer release()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	contract.HoldingOf(ctx).Pass()
	err = s.jobs.Submit(ctx, job, body)
	s.metrics.Time("gate.submit", time.Since(started))
	if err != nil {
		s.writeError(w, r, headers, err)
		return
	}
	s.workspaces.add(call.workspace, "answered")
	platform.SetResponseHeaders(w.Header(), headers.AttemptID, 0)
	w.WriteHeader(http.StatusAccepted)
}

// listResults responds with the results of a batch job after a position.
func (s *service) listResults(w http.ResponseWriter, r *http.Request, call jobCall) {
	headers := call.headers
	after, err := strconv.Atoi(r.URL.Query().Get(platform.QueryAfter))
	if err != nil || after < 0 {
		after = 0
	}
	ctx, release := s.withDrain(r.Context())
	defer release()
	reply, err := s.jobs.Results(ctx, call.scope, contract.ResultsRequest{ID: call.id, After: after, Wait: min(headers.Wait, maxResultsWait)})
	if err != nil {
		s.writeError(w, r, headers, err)
		return
	}
	if err := contract.HoldingOf(ctx).Claim(resultsBytes(reply.Results)); err != nil {
		s.writeError(w, r, headers, err)
		return
	}
	encoded, err := platform.EncodeResults(reply.Total, after, reply.Results)
	if err != nil {
		s.writeError(w, r, headers, result.Wrap(result.StoreUnavailable, err))
		return
	}
	s.writeBody(w, contentTypeJSON, encoded)
}

func (s *service) writeBody(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		s.log.WithError(err).Debug("Writing a response failed.")
	}
}

// serveItemBody responds with the body of an item of a batch job.
func (s *service) serveItemBody(w http.ResponseWriter, r *http.Request, call jobCall) {
	item := batch.ItemID(r.URL.Query().Get(platform.QueryItem))
	ctx, release := s.withDrain(r.Context())
	defer release()
	body, err := s.jobs.ItemBody(ctx, call.scope, call.id, item)
	if err != nil {
		s.writeError(w, r, call.headers, err)
		return
	}
	if err := contract.HoldingOf(ctx).Claim(int64(len(body))); err != nil {
		s.writeError(w, r, call.headers, err)
		return
	}
	s.writeBody(w, "application/octet-stream", body)
}

// endJob serves a request to end a batch job.
func (s *service) endJob(w http.ResponseWriter, r *http.Request, call jobCall) {
	ctx, release := s.withDrain(r.Context())
	defer release()
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	if err := s.jobs.End(ctx, call.scope, call.id); err != nil {
		s.writeError(w, r, call.headers, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
