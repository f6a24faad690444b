package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/platform"
)

// maxBuffered bounds an answer that is read whole before it is passed on, in
// bytes; a longer one is passed on as it comes.
const maxBuffered = 1 << 20

// maxRefusal bounds what is read of a refusal, in bytes.
const maxRefusal = 4 << 10

// try is what came of sending a request to one server.
type try struct {
	forwarded contract.ForwardReply
	// failure is set when the server itself answered that it failed.
	failure *contract.ForwardReply
	err     error
}

// send sends the request to the server of a ticket.
func (s *service) send(ctx context.Context, request contract.ForwardRequest, ticket contract.Ticket) try {
	started := time.Now()
	done := s.exchange(ctx, request, ticket)
	latency := time.Since(started)
	done.forwarded.Server = ticket.Server.Name
	if done.failure != nil {
		done.failure.Server = ticket.Server.Name
	}
	finish := contract.TicketOutcome{
		Err: done.err, Latency: latency, Bytes: int64(len(request.Body) + len(done.forwarded.Body)),
	}
	if ctx.Err() != nil && done.err != nil {
		finish.Err = ctx.Err()
	}
	ticket.Finish(finish)
	if done.err != nil {
		s.log.WithError(done.err).WithFields(logrus.Fields{
			"request": request.ID, "server": ticket.Server.Name, "route": request.Route.Name, "ms": latency.Milliseconds(),
		}).Info("A server did not answer the request.")
	}
	return done
}

func (s *service) exchange(ctx context.Context, request contract.ForwardRequest, ticket contract.Ticket) try {
	left := time.Until(request.Deadline)
	if left <= 0 {
		return try{err: result.New(result.DueTimePassed, "before it was sent to %s", ticket.Server.Name)}
	}
	outgoing, err := platform.BackendRequest{
		Server: ticket.Server.Name, Address: ticket.Server.Address,
		Method: request.Method, Host: request.Host, Target: request.Target,
		Header: request.Header, Body: request.Body, AttemptID: request.ID,
		Timeout: left, Priority: platform.NoPriority,
	}.NewRequest(ctx)
	if err != nil {
		return try{err: result.Wrap(result.BadRequest, err)}
	}
	response, err := s.transport.RoundTrip(outgoing)
	if err != nil {
		return try{err: failed(ctx, sendCode(err), err)}
	}
	return s.judge(ctx, request, response)
}

// sendCode tells a request that cannot have left from one that may have.
func sendCode(err error) result.Code {
	if transport.IsDialFailure(err) {
		return result.NoBackend
	}
	return result.BackendBroke
}

// judge decides what an answer is worth and reads it.
func (s *service) judge(ctx context.Context, request contract.ForwardRequest, response *http.Response) try {
	answer := platform.DecodeResponseHeaders(response, request.ID)
	code := codeOf(response.StatusCode, answer)
	hasFailed := isFailure(response.StatusCode, answer)
	if code != result.OK && !hasFailed {
		if answer.NotRun {
			// Read to its end, the connection serves again.
			_, _ = io.CopyN(io.Discard, response.Body, maxRefusal)
		}
		// A body that stays unread closes the connection.
		_ = response.Body.Close()
		return try{err: result.New(code, "status %d", response.StatusCode)}
	}
	forwarded := contract.ForwardReply{Status: response.StatusCode, Header: response.Header, Stamp: answer.ServerStamp}
	if !hasFailed && isStream(request.Route, response) {
		forwarded.Stream = response
		return try{forwarded: forwarded}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return try{err: failed(ctx, result.AnswerCut, err)}
	}
	forwarded.Body = body
	if hasFailed {
		return try{failure: &forwarded, err: result.New(code, "status %d", response.StatusCode)}
	}
	return try{forwarded: forwarded}
}

// isStream reports whether an answer is passed on as it comes.
func isStream(route *catalog.Route, response *http.Response) bool {
	return route.Kind == catalog.KindStream || response.ContentLength > maxBuffered ||
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// isFailure reports whether the server itself answered that it failed.
func isFailure(status int, answer platform.ResponseHeaders) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable && answer.MatchesAttempt && !answer.NotRun
}

// codeOf says what an answer's headers stand for; OK is an answer to pass on.
func codeOf(status int, answer platform.ResponseHeaders) result.Code {
	switch {
	case answer.Misdirected:
		return result.NoBackend
	case answer.NotRun:
		return result.BackendBusy
	case !answer.MatchesAttempt:
		return result.BackendBroke
	case status < http.StatusMultipleChoices && answer.ServerStamp == "":
		return result.OutcomeUnknown
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		// The request may have run, also when the server is short of room and
		// does not say that it has not.
		return result.OutcomeUnknown
	}
	return result.OK
}
