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

// errHedgeWon is the cause of the cancellation of a first request whose hedge
// succeeded before it.
var errHedgeWon = errors.New("plain: hedge finished first")

// hedgedRequest is a lookup that runs on one server, or on two if it is hedged.
type hedgedRequest struct {
	service    *service
	path       string
	ctx        context.Context
	cancel     context.CancelCauseFunc
	goroutines conc.WaitGroup
	// results receives the outcomes of both servers.
	results chan attempt
	// inFlight is the number of outcomes still to come.
	inFlight int
}

// lookupWithHedge sends a lookup to a server, and to a second one if there is no
// response after the hedge delay and the retry budget allows it. It returns the first
// complete response and cancels the other request. It adds failed servers to
// pick.Avoid. Only classes up to ClassDossier, the lookups of callers, are worth the
// load of a hedge.
func (s *service) lookupWithHedge(ctx context.Context, pick *contract.PickRequest, path string, retrier contract.Retrier) (outside.ServiceResponse, error) {
	ticket, err := s.balancer.Pick(ctx, *pick)
	if err != nil {
		// If no other server is left, servers that failed may be tried again.
		pick.Avoid = nil
		return outside.ServiceResponse{}, err
	}
	r := &hedgedRequest{service: s, path: path, results: make(chan attempt, 2)}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	defer r.goroutines.Wait()
	defer r.cancel(nil)
	r.startFirst(ticket)
	timer := s.clock.NewTimer(s.hedgeDelay(pick.Deadline))
	defer timer.Stop()
	var history retry.History
	for {
		select {
		case finished := <-r.results:
			r.inFlight--
			if finished.err == nil {
				r.cancelLoser(finished)
				return finished.response, nil
			}
			history.RecordFailure(finished.err)
			if finished.server != "" {
				pick.Avoid = append(pick.Avoid, finished.server)
			}
			if r.inFlight == 0 {
				return outside.ServiceResponse{}, history.FinalError(finished.err)
			}
		case <-timer.Chan():
			if pick.Class <= structs.ClassDossier && retrier.SpendRetry() {
				hedgePick := *pick
				hedgePick.Avoid = append(hedgePick.Avoid[:len(hedgePick.Avoid):len(hedgePick.Avoid)], ticket.Server.Name)
				r.startHedge(hedgePick)
			}
		}
	}
}

func (r *hedgedRequest) startFirst(ticket contract.Ticket) {
	r.inFlight++
	r.goroutines.Go(func() { r.results <- r.service.lookupOn(r.ctx, ticket, r.path) })
}

// startHedge sends the lookup to a second server as soon as the balancer assigns one.
func (r *hedgedRequest) startHedge(pick contract.PickRequest) {
	r.inFlight++
	r.service.metrics.Count("plain.hedges", 1)
	r.goroutines.Go(func() {
		ticket, err := r.service.balancer.Pick(r.ctx, pick)
		if err != nil {
			r.results <- attempt{err: err, isHedge: true}
			return
		}
		finished := r.service.lookupOn(r.ctx, ticket, r.path)
		finished.isHedge = true
		r.results <- finished
	})
}

// cancelLoser cancels the first request if the hedge succeeded before it, so that the
// balancer counts the first server as too slow. The opposite case does not count
// against the second server.
func (r *hedgedRequest) cancelLoser(winner attempt) {
	if winner.isHedge {
		r.cancel(errHedgeWon)
	}
}

// overtakenError replaces the error of a request that its hedge overtook by one that
// the balancer counts against the server. It returns other errors as they are.
func overtakenError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errHedgeWon) {
		return result.Wrap(result.BackendBroke, context.DeadlineExceeded)
	}
	return err
}
