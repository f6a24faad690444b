package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// hedgePlan is what is known about the hedges of a request.
type hedgePlan struct {
	// isCounted is set once the request counts toward the limit of hedges.
	isCounted bool
	// place is where the server is that was asked first.
	place structs.Place
	// delay is the time after which the request is slow.
	delay time.Duration
}

// race is a request at one server or at two, of which the first complete answer wins.
type race struct {
	call *forwardCall
	ctx  context.Context
	// cancels end the attempts, in the order in which they started, and cancelHedge ends
	// the choice of a second server.
	cancels     []context.CancelFunc
	hedgeCtx    context.Context
	cancelHedge context.CancelFunc

	group   conc.WaitGroup
	results chan racer
	// hedges gets the second server's ticket, or none.
	hedges  chan *contract.Ticket
	running int
	// mayHaveRunErr is the last error after which the request may have run.
	mayHaveRunErr error
}

// racer is the result of one attempt.
type racer struct {
	attemptResult
	index int
}

// sendHedged sends the request to a server and, if it is idempotent and slow, to a second
// one. The first complete answer wins.
func (c *forwardCall) sendHedged(ctx context.Context) (contract.ForwardReply, error) {
	ticket, err := c.pickServer(ctx, limitPatience(c.request.Route))
	if err != nil {
		// Retrying servers that failed before is better than having none.
		c.pick.Avoid = nil
		return contract.ForwardReply{}, err
	}
	r := &race{call: c, ctx: ctx, results: make(chan racer, 2), hedges: make(chan *contract.Ticket, 1)}
	r.hedgeCtx, r.cancelHedge = context.WithCancel(ctx)
	defer r.cancelHedge()
	c.planHedge(ticket)
	r.launch(ticket, c.needsFresh)
	timer := time.NewTimer(c.hedges.delay)
	defer timer.Stop()
	for {
		select {
		case outcome := <-r.results:
			if reply, err, isOver := r.settle(outcome); isOver {
				return reply, err
			}
		case <-timer.C:
			r.group.Go(func() { r.hedges <- c.pickHedge(r.hedgeCtx) })
		case hedge := <-r.hedges:
			if hedge != nil {
				// An idle connection may have failed together with the first one.
				r.launch(*hedge, true)
			}
		}
	}
}

// launch starts an attempt.
func (r *race) launch(ticket contract.Ticket, fresh bool) {
	c := r.call
	c.sentCount++
	c.pick.Avoid = append(c.pick.Avoid, ticket.Server.Name)
	r.running++
	ctx, cancel := context.WithCancel(r.ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.group.Go(func() {
		started := time.Now()
		outcome := c.service.send(ctx, c.request, c.pick.Resumes, ticket, fresh)
		if outcome.err == nil && c.hedges.isCounted {
			c.service.hedging.Answered(c.hedgeRequest(ticket.Server.Place), time.Since(started))
		}
		r.results <- racer{attemptResult: outcome, index: index}
	})
}

// settle applies the result of an attempt and reports whether the race is over.
func (r *race) settle(outcome racer) (reply contract.ForwardReply, err error, isOver bool) {
	c := r.call
	r.running--
	if result.OutcomeOf(outcome.err) == result.MayHaveRun {
		r.mayHaveRunErr = outcome.err
	}
	c.recordAttempt(outcome.attemptResult)
	if outcome.err != nil && r.running > 0 {
		return contract.ForwardReply{}, nil, false
	}
	r.end(outcome)
	if result.OutcomeOf(outcome.err) == result.NotRun && r.mayHaveRunErr != nil {
		return outcome.reply, r.mayHaveRunErr, true
	}
	return outcome.reply, outcome.err, true
}

// end ends all attempts but the one that has decided the race. A response that the caller
// still reads keeps its context open until the context of its request ends.
func (r *race) end(decisive racer) {
	r.cancelHedge()
	stream := decisive.reply.Stream
	for index, cancel := range r.cancels {
		if index == decisive.index && decisive.err == nil && stream != nil {
			context.AfterFunc(stream.Request.Context(), cancel)
		} else {
			cancel()
		}
	}
	r.group.Wait()
	select {
	case ticket := <-r.hedges:
		if ticket != nil {
			ticket.Finish(contract.TicketOutcome{Err: context.Canceled})
		}
	default:
	}
	if len(r.cancels) > 1 && decisive.err == nil {
		r.call.service.countHedge(decisive.index > 0)
	}
}

// recordAttempt records what an attempt shows for later attempts and for the caller.
func (c *forwardCall) recordAttempt(outcome attemptResult) {
	c.needsFresh = c.needsFresh || result.CodeOf(outcome.err) == result.BackendBroke
	if outcome.failure == nil {
		return
	}
	if outcome.failure.Status == http.StatusInternalServerError {
		c.failureCount++
	}
	outcome.failure.Failures = c.failureCount
	c.lastFailure = outcome.failure
}

func (s *service) countHedge(hasWon bool) {
	if hasWon {
		s.metrics.Count("dispatch.hedges_won", 1)
	} else {
		s.metrics.Count("dispatch.hedges_lost", 1)
	}
}

// defaultHedgeDelay is the delay before a hedge without a limit that operators set, or
// while too few responses are known. Nobody waits for the answer to a request of accepted
// work alone, so that it is sent again only once it is late.
func (c *forwardCall) defaultHedgeDelay() time.Duration {
	if c.request.IsAccepted {
		return max(minHedgeDelay, c.request.Route.LatencyTarget)
	}
	return max(minHedgeDelay, time.Duration(hedgeFraction*float64(c.request.Route.LatencyTarget)))
}

// planHedge decides after which delay a request to a server is hedged.
func (c *forwardCall) planHedge(ticket contract.Ticket) {
	c.hedges.place, c.hedges.delay = ticket.Server.Place, c.defaultHedgeDelay()
	if !c.service.hedging.IsLimited() || c.request.Route.Kind != catalog.KindIdempotent || c.hedges.isCounted {
		return
	}
	c.hedges.isCounted = true
	c.hedges.delay = c.service.hedging.Begin(c.hedgeRequest(c.hedges.place), c.hedges.delay)
}

func (c *forwardCall) hedgeRequest(place structs.Place) contract.HedgeRequest {
	return contract.HedgeRequest{
		Key: hedge.Key{
			Service: c.pick.Service, Distance: hedge.DistanceOf(place, c.service.place),
			Target: c.request.Route.LatencyTarget, IsAccepted: c.request.IsAccepted,
		},
		Workspace: c.pick.Workspace, Zone: place.Zone,
	}
}

// hedgeQuestion returns the question whether a request whose caller still waits for a time
// may be hedged at all.
func (c *forwardCall) hedgeQuestion(remaining time.Duration) hedge.Request {
	question := hedge.Request{
		Repeatable: c.request.Route.Kind == catalog.KindIdempotent, Attempts: c.sentCount, MaxAttempts: c.request.Route.MaxAttempts,
		Remaining: remaining,
	}
	if c.service.hedging.IsLimited() {
		question.Usual = c.hedges.delay
	}
	return question
}

// pickHedge picks a second server if the limits allow it, and nil otherwise.
func (c *forwardCall) pickHedge(ctx context.Context) *contract.Ticket {
	refusal := hedge.Check(c.hedgeQuestion(time.Until(c.request.Deadline)))
	pick := c.pick
	pick.Avoid = slices.Clone(pick.Avoid)
	switch {
	case refusal != hedge.Allowed:
	case !c.service.hedging.IsLimited():
		if !c.retrier.SpendRetry() {
			return nil
		}
	default:
		if refusal = c.service.hedging.Allow(ctx, c.hedgeRequest(c.hedges.place)); refusal == hedge.Allowed {
			pick.NoWait = true
			pick.Avoid = append(pick.Avoid, c.serversOfSlowZone()...)
		}
	}
	if refusal != hedge.Allowed {
		c.logHedge("", refusal)
		return nil
	}
	ticket, limitErr, err := c.pickWithin(ctx, pick, 0)
	if limitErr != nil || err != nil {
		c.logHedge("", hedge.RefusedByRoom)
		return nil
	}
	c.service.metrics.Count("dispatch.hedged", 1)
	c.logHedge(ticket.Server.Name, refusal)
	return &ticket
}

// serversOfSlowZone returns the servers of the first server's zone if many requests there
// are slow.
func (c *forwardCall) serversOfSlowZone() []structs.HostName {
	if !c.service.hedging.IsZoneSlow(c.pick.Service, c.hedges.place.Zone) {
		return nil
	}
	var names []structs.HostName
	for _, server := range c.service.hosts.View().Load().Services[c.pick.Service] {
		if server.Place.Zone == c.hedges.place.Zone {
			names = append(names, server.Name)
		}
	}
	return names
}

func (c *forwardCall) logHedge(server structs.HostName, refusal hedge.Refusal) {
	entry := c.service.log.WithFields(logrus.Fields{
		"request": c.request.ID, "avoid": c.pick.Avoid, "delay_ms": c.hedges.delay.Milliseconds(),
	})
	if refusal != hedge.Allowed {
		entry.WithField("why", refusal).Debug("A slow request is not hedged.")
		return
	}
	entry.WithField("server", server).Info("Hedged request sent.")
}
