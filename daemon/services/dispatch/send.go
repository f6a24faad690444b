package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/platform"
)

// maxBufferedBytes bounds a response that is buffered before it is forwarded; a
// longer one is streamed.
const maxBufferedBytes = 256 << 10

// attemptResult is the result of sending a request to one server.
type attemptResult struct {
	reply contract.ForwardReply
	// failure is set when the server itself reported a failure.
	failure *contract.ForwardReply
	err     error
}

// send sends the request to the server of a ticket and finishes the ticket. If
// fresh is set, it uses a new connection.
func (s *service) send(ctx context.Context, request contract.ForwardRequest, position resume.Position, ticket contract.Ticket, fresh bool) attemptResult {
	started := time.Now()
	attempt := s.roundTrip(ctx, request, position, ticket, fresh)
	latency := time.Since(started)
	attempt.reply.Server = ticket.Server.Name
	if attempt.failure != nil {
		attempt.failure.Server = ticket.Server.Name
	}
	outcome := contract.TicketOutcome{
		Err: attempt.err, Latency: latency, Bytes: int64(request.Body.Len() + len(attempt.reply.Body)),
	}
	if ctx.Err() != nil && attempt.err != nil {
		outcome.Err = ctx.Err()
	}
	ticket.Finish(outcome)
	if attempt.err != nil {
		s.log.WithError(attempt.err).WithFields(logrus.Fields{
			"request": request.ID, "server": ticket.Server.Name, "route": request.Route.Name, "ms": latency.Milliseconds(),
		}).Info("Request attempt failed.")
	}
	return attempt
}

func (s *service) roundTrip(ctx context.Context, request contract.ForwardRequest, position resume.Position, ticket contract.Ticket, fresh bool) attemptResult {
	remaining := time.Until(request.Deadline)
	if remaining <= 0 {
		return attemptResult{err: result.New(result.DueTimePassed, "before it was sent to %s", ticket.Server.Name)}
	}
	origin := contract.OriginOf(ticket.Server)
	permit, err := resume.Authorize(position, origin)
	if err != nil {
		return attemptResult{err: result.Wrap(result.NoBackend, err)}
	}
	outgoing := platform.BackendRequest{
		Server: ticket.Server.Name, Address: ticket.Server.Address,
		Method: request.Method, Host: request.Host, Target: request.Target,
		Header: request.Header, Body: request.Body, AttemptID: request.ID,
		Timeout: remaining, Priority: platform.NoPriority,
		Resume: permit, Identity: identityOf(request.Workspace),
	}
	kind := contract.ExchangeRequest
	if request.IsAccepted {
		kind = contract.ExchangeCall
	}
	sentAt := time.Now()
	var connection connectionTrace
	response, err := s.links.Do(connection.attach(ctx), contract.Exchange{
		Server: ticket.Server.Name, Address: ticket.Server.Address, Kind: kind, Fresh: fresh || s.spoilt.has(ticket.Server.Name, sentAt),
		Repeatable: request.Route.Kind == catalog.KindIdempotent, Build: outgoing.NewRequest,
	})
	if err != nil {
		if connection.isSpoilt() && ctx.Err() == nil {
			s.spoilt.add(ticket.Server.Name, time.Now())
		}
		return attemptResult{err: exchangeError(ctx, sendErrorCode(err), err)}
	}
	headers := platform.DecodeResponseHeaders(response, request.ID)
	if headers.MatchesOther && connection.isSpoilt() {
		s.spoilt.add(ticket.Server.Name, time.Now())
	}
	if headers.DescribesServer {
		s.limits.Observe(ticket.Server.Name, headers.RateLimit, sentAt)
	}
	if headers.Leaving {
		s.hosts.Report(ticket.Server.Name, contract.SignalLeaving)
	}
	if request.Workspace != nil && headers.MatchesAttempt && !headers.NotRun && !headers.Misdirected {
		s.usage.RecordStart(request.Workspace.Name, time.Now())
	}
	attempt := s.readResponse(ctx, request, response, headers)
	s.recordOrigin(ctx, request, origin, attempt.reply)
	return attempt
}

// sendErrorCode returns NoBackend for a request that cannot have been sent, and
// BackendBroke for one that may have been.
func sendErrorCode(err error) result.Code {
	if transport.IsDialFailure(err) {
		return result.NoBackend
	}
	return result.BackendBroke
}

// readResponse classifies a response by its headers and reads its body.
func (s *service) readResponse(ctx context.Context, request contract.ForwardRequest, response *http.Response, headers platform.ResponseHeaders) attemptResult {
	code := responseCode(response.StatusCode, headers)
	serverFailed := isServerFailure(response.StatusCode, headers)
	if code != result.OK && !serverFailed {
		if headers.MatchesOther {
			// The connection must not be kept: the next response may be this request's.
			_ = response.Body.Close()
		} else {
			transport.Discard(response)
		}
		return attemptResult{err: result.New(code, "status %d", response.StatusCode)}
	}
	reply := contract.ForwardReply{Status: response.StatusCode, Header: response.Header, Stamp: headers.ServerStamp}
	if request.DiscardBody && !serverFailed {
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return attemptResult{err: exchangeError(ctx, result.AnswerCut, err)}
		}
		return attemptResult{reply: reply}
	}
	if !serverFailed && isStream(request.Route, response) {
		reply.Stream = response
		return attemptResult{reply: reply}
	}
	body, isWhole, err := readBuffered(ctx, response)
	if err == nil && !isWhole {
		return s.longResponse(reply, response, body, serverFailed)
	}
	_ = response.Body.Close()
	if err != nil {
		return attemptResult{err: exchangeError(ctx, result.AnswerCut, err)}
	}
	reply.Body = body
	if serverFailed {
		return attemptResult{failure: &reply, err: result.New(code, "status %d", response.StatusCode)}
	}
	return attemptResult{reply: reply}
}

// readBuffered reads a response that is short enough, as long as there is room for it. If
// it is not whole, it returns its start.
func readBuffered(ctx context.Context, response *http.Response) (start []byte, isWhole bool, err error) {
	holding := contract.HoldingOf(ctx)
	claim := func(bytes int64) error {
		if !holding.TryClaim(bytes) {
			return errNoRoom
		}
		return nil
	}
	limited := io.LimitReader(response.Body, maxBufferedBytes+1)
	payload, err := transport.ReadPayload(limited, response.ContentLength, claim)
	if errors.Is(err, errNoRoom) {
		return payload.Bytes(), false, nil
	}
	return payload.Bytes(), err == nil && payload.Len() <= maxBufferedBytes, err
}

// errNoRoom means that the rest of a response has to be streamed.
var errNoRoom = errors.New("dispatch: no room for a response")

// longResponse streams a response for which there is no room, or whose length was not
// announced and which turns out to be longer than what is buffered. The report of a failure is not that long;
// such a body may have no end.
func (s *service) longResponse(reply contract.ForwardReply, response *http.Response, start []byte, serverFailed bool) attemptResult {
	if serverFailed {
		_ = response.Body.Close()
		return attemptResult{err: result.New(result.BackendBroke, "status %d with over %d bytes", response.StatusCode, maxBufferedBytes)}
	}
	response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(start), response.Body), Closer: response.Body}
	reply.Stream = response
	return attemptResult{reply: reply}
}

// prefixedBody is a body of which the start has been read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// isStream reports whether a response is streamed to the caller.
func isStream(route *catalog.Route, response *http.Response) bool {
	return route.Kind == catalog.KindStream || response.ContentLength > maxBufferedBytes ||
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// isServerFailure reports whether the server itself reported a failure.
func isServerFailure(status int, headers platform.ResponseHeaders) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable && headers.MatchesAttempt && !headers.NotRun
}

// responseCode returns the result code of a response by its status and headers;
// OK means that it is forwarded to the caller.
func responseCode(status int, headers platform.ResponseHeaders) result.Code {
	switch {
	case headers.Misdirected:
		return result.NoBackend
	case headers.NotRun:
		return result.BackendBusy
	case !headers.MatchesAttempt:
		return result.BackendBroke
	case status < http.StatusMultipleChoices && headers.ServerStamp == "":
		return result.OutcomeUnknown
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		// The request may have run: an overloaded server need not report that
		// it did not run a request.
		return result.OutcomeUnknown
	}
	return result.OK
}
