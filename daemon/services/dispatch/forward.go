package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// exchange is one request of a caller on its way through servers.
type exchange struct {
	service *service
	request contract.ForwardRequest
	pick    contract.PickRequest
	retrier contract.Retrier
	// sent counts the servers that the request was sent to.
	sent int
	// failure is the last failure that a server itself answered, and failures
	// counts the failed attempts: a server's own time-out is none.
	failures int
	failure  *contract.ForwardReply
}

// run tries servers until one answers, the attempts are spent, or the time is
// up. A failure that a server answered is passed on when nothing better came.
func (e *exchange) run(ctx context.Context) (contract.ForwardReply, error) {
	for {
		forwarded, err := e.race(ctx)
		if err == nil {
			forwarded.Attempts = e.sent
			return forwarded, nil
		}
		if e.sent < e.request.Route.MaxAttempts {
			if err = e.retrier.AwaitRetry(ctx, err); err == nil {
				continue
			}
		}
		if e.failure != nil {
			e.failure.Attempts = e.sent
			return *e.failure, nil
		}
		return contract.ForwardReply{}, err
	}
}

// race sends the request to a server and, when it may run more than once and no
// answer comes for a while, to a second one. The first whole answer counts.
func (e *exchange) race(ctx context.Context) (contract.ForwardReply, error) {
	ticket, err := e.service.balancer.Pick(ctx, e.pick)
	if err != nil {
		// Servers that failed before are better than none.
		e.pick.Avoid = nil
		return contract.ForwardReply{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	tries := make(chan try, 2)
	launch := func(ticket contract.Ticket) {
		e.sent++
		e.pick.Avoid = append(e.pick.Avoid, ticket.Server.Name)
		group.Go(func() { tries <- e.service.send(ctx, e.request, ticket) })
	}
	launch(ticket)
	timer := time.NewTimer(e.hedgeAfter())
	defer timer.Stop()
	running := 1
	for {
		select {
		case done := <-tries:
			running--
			if done.failure != nil {
				if done.failure.Status == http.StatusInternalServerError {
					e.failures++
				}
				done.failure.Failures = e.failures
				e.failure = done.failure
			}
			if done.err == nil && done.forwarded.Stream != nil {
				// The stream's reader goes on with the context.
				context.AfterFunc(done.forwarded.Stream.Request.Context(), cancel)
				return done.forwarded, nil
			}
			if done.err == nil || running == 0 {
				cancel()
				group.Wait()
				return done.forwarded, done.err
			}
		case <-timer.C:
			if ticket, ok := e.hedge(ctx); ok {
				running++
				launch(ticket)
			}
		}
	}
}

func (e *exchange) hedgeAfter() time.Duration {
	return max(hedgeLeast, time.Duration(hedgePart*float64(e.request.Route.LatencyTarget)))
}

// hedge takes a place on a second server, within the retry budget.
func (e *exchange) hedge(ctx context.Context) (contract.Ticket, bool) {
	if e.request.Route.Kind != catalog.KindIdempotent || e.sent >= e.request.Route.MaxAttempts || !e.retrier.SpendRetry() {
		return contract.Ticket{}, false
	}
	ticket, err := e.service.balancer.Pick(ctx, e.pick)
	if err != nil {
		return contract.Ticket{}, false
	}
	e.service.metrics.Count("dispatch.hedged", 1)
	e.service.log.WithFields(logrus.Fields{"request": e.request.ID, "server": ticket.Server.Name, "avoid": e.pick.Avoid}).
		Info("The request is sent to a second server.")
	return ticket, true
}

// failed gives an error of an exchange with a server its code.
func failed(ctx context.Context, code result.Code, err error) error {
	if ctx.Err() != nil && code != result.NoBackend {
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
	return result.Wrap(code, err)
}
