package plain

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/retry"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// errOutrun is the cause of the end of a request that a later one overtook.
var errOutrun = errors.New("plain: a second server answered first")

// race is a look-up on one server, or on two.
type race struct {
	service *service
	path    string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	group   conc.WaitGroup
	// finished takes the outcomes of the first and the second server.
	finished chan attempt
	running  int
}

// hedged sends a look-up to a server, and to a second one when the first has
// not answered after a while and the budget has a retry left. The first whole
// answer counts and the other request is cancelled. Servers that failed are
// added to those to avoid. Only callers' own look-ups are worth a second server.
func (s *service) hedged(ctx context.Context, pick *contract.PickRequest, path string, retrier contract.Retrier) (outside.ServiceResponse, error) {
	ticket, err := s.balancer.Pick(ctx, *pick)
	if err != nil {
		// Servers that failed before are better than none.
		pick.Avoid = nil
		return outside.ServiceResponse{}, err
	}
	r := &race{service: s, path: path, finished: make(chan attempt, 2)}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	defer r.group.Wait()
	defer r.cancel(nil)
	r.first(ticket)
	timer := s.clock.NewTimer(s.hedgeAfter(pick.Deadline))
	defer timer.Stop()
	var history retry.History
	for {
		select {
		case done := <-r.finished:
			r.running--
			if done.err == nil {
				r.end(done)
				return done.answer, nil
			}
			history.RecordFailure(done.err)
			if done.server != "" {
				pick.Avoid = append(pick.Avoid, done.server)
			}
			if r.running == 0 {
				return outside.ServiceResponse{}, history.FinalError(done.err)
			}
		case <-timer.Chan():
			if pick.Class <= structs.ClassDossier && retrier.SpendRetry() {
				other := *pick
				other.Avoid = append(other.Avoid[:len(other.Avoid):len(other.Avoid)], ticket.Server.Name)
				r.second(other)
			}
		}
	}
}

func (r *race) first(ticket contract.Ticket) {
	r.running++
	r.group.Go(func() { r.finished <- r.service.try(r.ctx, ticket, r.path) })
}

// second waits for a place on another server beside the first.
func (r *race) second(pick contract.PickRequest) {
	r.running++
	r.service.metrics.Count("plain.hedges", 1)
	r.group.Go(func() {
		ticket, err := r.service.balancer.Pick(r.ctx, pick)
		if err != nil {
			r.finished <- attempt{err: err, hedge: true}
			return
		}
		done := r.service.try(r.ctx, ticket, r.path)
		done.hedge = true
		r.finished <- done
	})
}

// end cancels the request that lost. A first server that was overtaken counts
// as too slow; a second one does not.
func (r *race) end(winner attempt) {
	if winner.hedge {
		r.cancel(errOutrun)
	}
}

// failure gives an overtaken request an error that counts against its server.
func failure(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errOutrun) {
		return result.Wrap(result.BackendBroke, context.DeadlineExceeded)
	}
	return err
}
