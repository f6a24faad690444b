package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// forwardCall is one request of a caller, with all its attempts.
type forwardCall struct {
	service *service
	request contract.ForwardRequest
	pick    contract.PickRequest
	retrier contract.Retrier
	// sentCount counts the servers to which the request was sent.
	sentCount int
	// lastFailure is the last failure response that a server sent itself, and
	// failureCount counts those with status 500: a timeout that a server
	// reports is not counted.
	failureCount int
	lastFailure  *contract.ForwardReply
	// needsFresh is set after an attempt without a usable response: bytes of an
	// earlier exchange may have spoilt its connection, and so those of others.
	needsFresh bool
	hedges     hedgePlan
}

// run sends the request until a server answers, the attempts are used up or the
// deadline passes. If no attempt succeeds, the last failure response of a
// server is returned to the caller.
func (c *forwardCall) run(ctx context.Context) (contract.ForwardReply, error) {
	for {
		reply, lastErr := c.sendHedged(ctx)
		if lastErr == nil {
			reply.Attempts = c.sentCount
			return reply, nil
		}
		if c.pick.Resumes.Last > 0 && c.sentCount == 0 && result.CodeOf(lastErr) == result.NoBackend {
			return contract.ForwardReply{}, result.New(result.StreamNotResumable, "no server of software version %q", c.pick.Resumes.Origin.Software)
		}
		var err error
		if c.sentCount >= c.request.Route.MaxAttempts {
			err = c.retrier.FinalError(lastErr)
		} else if err = c.retrier.AwaitRetry(ctx, lastErr); err == nil {
			continue
		}
		c.service.log.WithError(lastErr).WithFields(logrus.Fields{
			"request": c.request.ID, "servers_asked": c.sentCount, "max_attempts": c.request.Route.MaxAttempts,
		}).Info("Request is not retried.")
		if c.lastFailure != nil {
			c.lastFailure.Attempts = c.sentCount
			return *c.lastFailure, nil
		}
		return contract.ForwardReply{}, err
	}
}

// limitPatienceFraction is the part of the latency target for which a request waits for
// a server whose limit is used up. A caller that is refused by then can still be served
// in time when it returns.
const limitPatienceFraction = 0.25

func limitPatience(route *catalog.Route) time.Duration {
	return time.Duration(limitPatienceFraction * float64(route.LatencyTarget))
}

// pickServer picks a server that takes a request now or, where the limits of all are
// used up, within patience.
func (c *forwardCall) pickServer(ctx context.Context, patience time.Duration) (contract.Ticket, error) {
	ticket, refusal, err := c.pickPatiently(ctx, patience)
	if refusal == nil {
		return ticket, err
	}
	if refusal.RetryAfter > 0 {
		// Callers that are refused together return at different times.
		refusal.RetryAfter += rand.N(refusal.RetryAfter)
	}
	return contract.Ticket{}, refusal
}

// pickPatiently is pickServer with the refusal of the server that takes a request first.
func (c *forwardCall) pickPatiently(ctx context.Context, patience time.Duration) (contract.Ticket, *result.Error, error) {
	ticket, refusal, err := c.pickWithin(ctx, c.pick, 0)
	if refusal != nil && patience > 0 {
		ticket, refusal, err = c.pickWithin(ctx, c.pick, patience)
	}
	return ticket, refusal, err
}

// maxLimitedPicks bounds the servers with a limit that are tried for one request.
const maxLimitedPicks = 8

// pickWithin picks servers in turn until one takes a request within patience. If none
// does because of its limit, it returns the refusal of the server that takes a request
// first; any other failure is the error.
func (c *forwardCall) pickWithin(ctx context.Context, pick contract.PickRequest, patience time.Duration) (contract.Ticket, *result.Error, error) {
	var refusal *result.Error
	for range maxLimitedPicks {
		ticket, err := c.service.balancer.Pick(ctx, pick)
		if err != nil && refusal == nil {
			return contract.Ticket{}, nil, err
		}
		if err != nil {
			break
		}
		err = c.service.limits.Acquire(ctx, ticket.Server.Name, patience)
		if err == nil {
			return ticket, nil, nil
		}
		// The server has not been asked, so the outcome shows nothing about it.
		ticket.Finish(contract.TicketOutcome{Err: context.Canceled})
		var coded *result.Error
		if !errors.As(err, &coded) {
			return contract.Ticket{}, nil, err
		}
		if refusal == nil || coded.RetryAfter < refusal.RetryAfter {
			refusal = coded
		}
		pick.Avoid = append(slices.Clone(pick.Avoid), ticket.Server.Name)
	}
	return contract.Ticket{}, refusal, nil
}

// exchangeError wraps an error of an exchange with a server in a result code. An
// exchange that was cut short by the end of ctx has an unknown outcome.
func exchangeError(ctx context.Context, code result.Code, err error) error {
	if ctx.Err() != nil && code != result.NoBackend {
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
	return result.Wrap(code, err)
}
