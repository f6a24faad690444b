package journal

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// maxAttempts is on how many backend servers a submission is tried while no
// byte of it has left.
const maxAttempts = 3

// submission is a request at the daemon that owns its bucket.
type submission struct {
	contract.SubmitRequest
	// again is set when the request may have been sent here before; it then
	// waits for the outcome of that one.
	again bool
}

func (s *submission) journal() journal.Request {
	return journal.Request{
		Key:         journal.Key{Workspace: s.Workspace, Name: s.Key},
		Fingerprint: journal.FingerprintOf(s.Path, s.Body),
	}
}

// crashPrint identifies submissions that are equal to a backend server, to
// find those that crash servers.
func (s *submission) crashPrint(parameters *settings.ResolvedParameters) quarantine.Fingerprint {
	return quarantine.FingerprintOf(string(parameters.Service), http.MethodPost, s.Path, string(s.Body))
}

// run runs a submission on the owner of its bucket. It fails with errLost when
// the bucket was lost before any byte was sent.
func (s *service) run(ctx context.Context, owned *committer, request submission) (contract.SubmitReply, error) {
	entry := request.journal()
	got, err := owned.ask(ctx, entry, true)
	if err != nil {
		return contract.SubmitReply{}, unreached(err)
	}
	if got.verdict != journal.VerdictRun {
		return s.repeat(ctx, got, request.again)
	}
	parameters, err := s.settings.DecidedParameters(ctx, request.Workspace)
	if err != nil {
		return contract.SubmitReply{}, err
	}
	print := request.crashPrint(&parameters)
	if err := s.quarantine.AwaitVerdict(ctx, print); err != nil {
		return contract.SubmitReply{}, err
	}
	entry.KeyWindow = parameters.KeyWindow
	entry.Timeout = parameters.Timeouts[structs.ClassSubmission]
	// The record may be pruned after the due time, so nothing is sent later.
	ctx, cancel := context.WithTimeout(ctx, entry.Timeout)
	defer cancel()
	if got, err = owned.ask(ctx, entry, false); err != nil {
		return contract.SubmitReply{}, unreached(err)
	}
	if got.verdict != journal.VerdictRun {
		return s.repeat(ctx, got, request.again)
	}
	return s.execute(ctx, owned, got.run, request, parameters.Service, print)
}

// unreached gives a failure to commit an intent its code.
func unreached(err error) error {
	if errors.Is(err, errLost) {
		return err
	}
	return result.Wrap(result.JournalUnreached, err)
}

// execute waits until the intent is committed, then sends the request.
func (s *service) execute(ctx context.Context, owned *committer, r *run, request submission, target structs.ServiceName, print quarantine.Fingerprint) (contract.SubmitReply, error) {
	defer close(r.finished)
	select {
	case <-r.committed:
	case <-owned.done:
		r.err = errLost
		return r.reply, r.err
	case <-r.refused:
		r.err = unreached(errCut)
		return r.reply, r.err
	case <-ctx.Done():
		r.err = unreached(ctx.Err())
		owned.settle(r, journal.StateNotRun, nil)
		return r.reply, r.err
	}
	r.reply.Answer, r.err = s.send(ctx, request.SubmitRequest, target, print)
	state, answer := stateOf(r.reply.Answer, r.err)
	owned.settle(r, state, answer)
	return r.reply, r.err
}

// stateOf is what the journal keeps of an outcome.
func stateOf(answer outside.ServiceResponse, err error) (journal.State, *journal.Answer) {
	switch {
	case err == nil:
		return journal.StateAnswered, journal.NewAnswer(answer.Status, answer.ContentType, answer.Body)
	case result.OutcomeOf(err) == result.NotRun:
		return journal.StateNotRun, nil
	default:
		return journal.StateUnknown, nil
	}
}

// send sends a request to a backend server. It tries another one only while no
// byte can have left.
func (s *service) send(ctx context.Context, request contract.SubmitRequest, target structs.ServiceName, print quarantine.Fingerprint) (outside.ServiceResponse, error) {
	due, _ := ctx.Deadline()
	pick := contract.PickRequest{
		Service:     target,
		Workspace:   request.Workspace,
		Class:       structs.ClassSubmission,
		Deadline:    due,
		Fingerprint: print,
	}
	var last error
	for range maxAttempts {
		ticket, err := s.balancer.Pick(ctx, pick)
		if err != nil && last != nil {
			return outside.ServiceResponse{}, last
		}
		if err != nil {
			return outside.ServiceResponse{}, err
		}
		answer, err := s.attempt(ctx, ticket, request)
		if result.OutcomeOf(err) != result.NotRun {
			return answer, err
		}
		last = err
		pick.Avoid = append(pick.Avoid, ticket.Server.Name)
	}
	return outside.ServiceResponse{}, last
}

func (s *service) attempt(ctx context.Context, ticket contract.Ticket, request contract.SubmitRequest) (outside.ServiceResponse, error) {
	begun := s.clock.Now()
	if ctx.Err() != nil {
		err := result.Wrap(result.DueTimePassed, ctx.Err())
		ticket.Finish(contract.TicketOutcome{Err: result.Wrap(result.DueTimePassed, context.Canceled)})
		return outside.ServiceResponse{}, err
	}
	call := outside.ServiceRequest{Method: http.MethodPost, Path: request.Path, Key: request.Key, Body: request.Body}
	answer, err := s.clients.Platform().Plain.Do(ctx, ticket.Server.Address, call)
	err = refused(ticket, answer, err)
	ticket.Finish(contract.TicketOutcome{
		Err:     err,
		Latency: s.clock.Now().Sub(begun),
		Bytes:   int64(len(request.Path) + len(request.Body) + len(answer.Body)),
	})
	return answer, err
}

// refused gives status 503 its code. The server has read the submission, and
// nothing but its word says that it did not run it, so that the outcome is
// unknown: it goes to no other server and is not recorded as not run.
func refused(ticket contract.Ticket, answer outside.ServiceResponse, err error) error {
	if err == nil && answer.Status == http.StatusServiceUnavailable {
		return result.New(result.BackendRefused, "%s", ticket.Server.Name)
	}
	return err
}

// repeat answers a request whose key was used before.
func (s *service) repeat(ctx context.Context, got admitted, again bool) (contract.SubmitReply, error) {
	switch got.verdict {
	case journal.VerdictReplay:
		return repeated(got.record)
	case journal.VerdictInProgress:
		if again && got.run != nil {
			return join(ctx, got.run)
		}
		return contract.SubmitReply{}, result.New(result.StillRunning, "since %s", got.record.IntentTime.Format(time.RFC3339))
	default:
		return contract.SubmitReply{}, result.New(codes[got.verdict], "")
	}
}

// codes are the results of the verdicts that give no answer.
var codes = map[journal.Verdict]result.Code{
	journal.VerdictOutcomeUnknown: result.OutcomeUnknown,
	journal.VerdictTakenOver:      result.JournalTakeover,
	journal.VerdictKeyReused:      result.KeyReused,
	journal.VerdictKeyTooOld:      result.KeyTooOld,
	journal.VerdictKeyInFuture:    result.BadRequest,
	journal.VerdictQueueFull:      result.Overloaded,
}

// repeated gives a recorded answer.
func repeated(record journal.Record) (contract.SubmitReply, error) {
	answer := record.Answer
	if !answer.HasBody() {
		return contract.SubmitReply{}, result.New(result.AnswerNotKept, "status %d, %d bytes, SHA-256 %s", answer.Status, answer.Length, answer.Digest)
	}
	return contract.SubmitReply{
		Answer:   outside.ServiceResponse{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body},
		Repeated: true,
	}, nil
}

// join waits for the outcome of a run that an earlier call began, most likely
// one of the same caller. Its answer counts as repeated, since the call that
// began the run may give it as well.
func join(ctx context.Context, r *run) (contract.SubmitReply, error) {
	select {
	case <-r.finished:
		return contract.SubmitReply{Answer: r.reply.Answer, Repeated: true}, r.err
	case <-ctx.Done():
		return contract.SubmitReply{}, result.Wrap(result.StillRunning, ctx.Err())
	}
}
