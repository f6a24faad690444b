package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

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

// sendHedged sends the request to a server and, if it is idempotent and no
// answer comes within hedgeDelay, to a second one. The first complete answer
// wins.
func (c *forwardCall) sendHedged(ctx context.Context) (contract.ForwardReply, error) {
	ticket, err := c.pickServer(ctx, limitPatience(c.request.Route))
	if err != nil {
		// Retrying servers that failed before is better than having none.
		c.pick.Avoid = nil
		return contract.ForwardReply{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	results := make(chan attemptResult, 2)
	launch := func(ticket contract.Ticket, fresh bool) {
		c.sentCount++
		c.pick.Avoid = append(c.pick.Avoid, ticket.Server.Name)
		group.Go(func() { results <- c.service.send(ctx, c.request, c.pick.Resumes, ticket, fresh) })
	}
	launch(ticket, c.needsFresh)
	timer := time.NewTimer(c.hedgeDelay())
	defer timer.Stop()
	running := 1
	var mayHaveRunErr error
	for {
		select {
		case outcome := <-results:
			running--
			if result.OutcomeOf(outcome.err) == result.MayHaveRun {
				mayHaveRunErr = outcome.err
			}
			c.needsFresh = c.needsFresh || result.CodeOf(outcome.err) == result.BackendBroke
			if outcome.failure != nil {
				if outcome.failure.Status == http.StatusInternalServerError {
					c.failureCount++
				}
				outcome.failure.Failures = c.failureCount
				c.lastFailure = outcome.failure
			}
			if outcome.err == nil && outcome.reply.Stream != nil {
				// The caller still reads the stream, so the context stays open
				// until the request's own context ends.
				context.AfterFunc(outcome.reply.Stream.Request.Context(), cancel)
				return outcome.reply, nil
			}
			if outcome.err == nil || running == 0 {
				cancel()
				group.Wait()
				if result.OutcomeOf(outcome.err) == result.NotRun && mayHaveRunErr != nil {
					return outcome.reply, mayHaveRunErr
				}
				return outcome.reply, outcome.err
			}
		case <-timer.C:
			if ticket, ok := c.pickHedge(ctx); ok {
				running++
				// An idle connection may have failed together with the first one.
				launch(ticket, true)
			}
		}
	}
}

// hedgeDelay returns when the request is sent to a second server. Nobody waits for the
// answer to a request of accepted work alone, so that it is sent again only once it is late.
func (c *forwardCall) hedgeDelay() time.Duration {
	if c.request.IsAccepted {
		return max(minHedgeDelay, c.request.Route.LatencyTarget)
	}
	return max(minHedgeDelay, time.Duration(hedgeFraction*float64(c.request.Route.LatencyTarget)))
}

// pickHedge picks a second server, if the retry budget allows it.
func (c *forwardCall) pickHedge(ctx context.Context) (contract.Ticket, bool) {
	if c.request.Route.Kind != catalog.KindIdempotent || c.sentCount >= c.request.Route.MaxAttempts || !c.retrier.SpendRetry() {
		return contract.Ticket{}, false
	}
	ticket, err := c.pickServer(ctx, 0)
	if err != nil {
		return contract.Ticket{}, false
	}
	c.service.metrics.Count("dispatch.hedged", 1)
	c.service.log.WithFields(logrus.Fields{"request": c.request.ID, "server": ticket.Server.Name, "avoid": c.pick.Avoid}).
		Info("Hedged request sent.")
	return ticket, true
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
	ticket, refusal, err := c.pickWithin(ctx, 0)
	if refusal != nil && patience > 0 {
		ticket, refusal, err = c.pickWithin(ctx, patience)
	}
	if refusal == nil {
		return ticket, err
	}
	if refusal.RetryAfter > 0 {
		// Callers that are refused together return at different times.
		refusal.RetryAfter += rand.N(refusal.RetryAfter)
	}
	return contract.Ticket{}, refusal
}

// maxLimitedPicks bounds the servers with a limit that are tried for one request.
const maxLimitedPicks = 8

// pickWithin picks servers in turn until one takes a request within patience. If none
// does because of its limit, it returns the refusal of the server that takes a request
// first; any other failure is the error.
func (c *forwardCall) pickWithin(ctx context.Context, patience time.Duration) (contract.Ticket, *result.Error, error) {
	pick := c.pick
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
