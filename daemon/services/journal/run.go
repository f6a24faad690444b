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

// maxSendAttempts is the number of backend servers on which a submission is
// tried, as long as no byte of it has been sent.
const maxSendAttempts = 3

// submission is a request on its way to the owner of its bucket, or at that
// owner.
type submission struct {
	contract.SubmitRequest
	// isRetry is set when an earlier attempt may have reached an owner. The
	// owner then waits for the outcome of an execution in progress instead of
	// refusing the request.
	isRetry bool
}

// journalRequest returns the journal's request without the parameters of the
// workspace.
func (s *submission) journalRequest() journal.Request {
	return journal.Request{
		Key:         journal.Key{Workspace: s.Workspace, Name: s.Key},
		Fingerprint: journal.FingerprintOf(s.Path, s.Body),
	}
}

// crashFingerprint identifies submissions that are identical for a backend
// server, so that those which crash servers can be quarantined.
func (s *submission) crashFingerprint(parameters *settings.ResolvedParameters) quarantine.Fingerprint {
	return quarantine.FingerprintOf(string(parameters.Service), http.MethodPost, s.Path, string(s.Body))
}

// runAsOwner runs a submission at the owner of its bucket. It fails with
// errOwnerChanged when the ownership was lost before any byte was sent.
func (s *service) runAsOwner(ctx context.Context, c *committer, request submission) (contract.SubmitReply, error) {
	keyedRequest := request.journalRequest()
	admission, err := c.requestAdmission(ctx, keyedRequest, true)
	if err != nil {
		return contract.SubmitReply{}, wrapCommitError(err)
	}
	if admission.verdict != journal.VerdictRun {
		return s.replyWithoutRun(ctx, admission, request.isRetry)
	}
	parameters, err := s.settings.DecidedParameters(ctx, request.Workspace)
	if err != nil {
		return contract.SubmitReply{}, err
	}
	fingerprint := request.crashFingerprint(&parameters)
	if err := s.quarantine.AwaitVerdict(ctx, fingerprint); err != nil {
		return contract.SubmitReply{}, err
	}
	keyedRequest.KeyWindow = parameters.KeyWindow
	keyedRequest.Timeout = parameters.Timeouts[structs.ClassSubmission]
	// The record may be pruned after the deadline, so nothing is sent later.
	ctx, cancel := context.WithTimeout(ctx, keyedRequest.Timeout)
	defer cancel()
	if admission, err = c.requestAdmission(ctx, keyedRequest, false); err != nil {
		return contract.SubmitReply{}, wrapCommitError(err)
	}
	if admission.verdict != journal.VerdictRun {
		return s.replyWithoutRun(ctx, admission, request.isRetry)
	}
	return s.execute(ctx, c, admission.execution, request, parameters.Service, fingerprint)
}

// wrapCommitError gives a failure to commit an intent the code
// JournalUnreached. It passes errOwnerChanged through.
func wrapCommitError(err error) error {
	if errors.Is(err, errOwnerChanged) {
		return err
	}
	return result.Wrap(result.JournalUnreached, err)
}

// execute waits until the intent is committed, then sends the request and
// reports the outcome to the committer.
func (s *service) execute(ctx context.Context, c *committer, e *execution, request submission, backendService structs.ServiceName, fingerprint quarantine.Fingerprint) (contract.SubmitReply, error) {
	defer close(e.finished)
	select {
	case <-e.committed:
	case <-c.done:
		e.err = errOwnerChanged
		return e.reply, e.err
	case <-e.refused:
		e.err = wrapCommitError(errStoreUnreachable)
		return e.reply, e.err
	case <-ctx.Done():
		e.err = wrapCommitError(ctx.Err())
		c.reportOutcome(e, journal.StateNotRun, nil)
		return e.reply, e.err
	}
	e.reply.Answer, e.err = s.send(ctx, request.SubmitRequest, backendService, fingerprint)
	state, answer := recordedOutcome(e.reply.Answer, e.err)
	c.reportOutcome(e, state, answer)
	return e.reply, e.err
}

// recordedOutcome returns the state and the answer that the journal records for
// an outcome.
func recordedOutcome(response outside.ServiceResponse, err error) (journal.State, *journal.Answer) {
	switch {
	case err == nil:
		return journal.StateAnswered, journal.NewAnswer(response.Status, response.ContentType, response.Body)
	case result.OutcomeOf(err) == result.NotRun:
		return journal.StateNotRun, nil
	default:
		return journal.StateUnknown, nil
	}
}

// send sends a request to a backend server. It tries another one only as long
// as no byte can have been sent.
func (s *service) send(ctx context.Context, request contract.SubmitRequest, backendService structs.ServiceName, fingerprint quarantine.Fingerprint) (outside.ServiceResponse, error) {
	deadline, _ := ctx.Deadline()
	pick := contract.PickRequest{
		Service:     backendService,
		Workspace:   request.Workspace,
		Class:       structs.ClassSubmission,
		Deadline:    deadline,
		Fingerprint: fingerprint,
	}
	var lastErr error
	for range maxSendAttempts {
		ticket, err := s.balancer.Pick(ctx, pick)
		if err != nil && lastErr != nil {
			return outside.ServiceResponse{}, lastErr
		}
		if err != nil {
			return outside.ServiceResponse{}, err
		}
		response, err := s.attempt(ctx, ticket, request)
		if result.OutcomeOf(err) != result.NotRun {
			return response, err
		}
		lastErr = err
		pick.Avoid = append(pick.Avoid, ticket.Server.Name)
	}
	return outside.ServiceResponse{}, lastErr
}

// attempt sends a request to the backend server of a ticket and finishes the
// ticket.
func (s *service) attempt(ctx context.Context, ticket contract.Ticket, request contract.SubmitRequest) (outside.ServiceResponse, error) {
	startedAt := s.clock.Now()
	if ctx.Err() != nil {
		err := result.Wrap(result.DueTimePassed, ctx.Err())
		ticket.Finish(contract.TicketOutcome{Err: result.Wrap(result.DueTimePassed, context.Canceled)})
		return outside.ServiceResponse{}, err
	}
	serviceRequest := outside.ServiceRequest{Method: http.MethodPost, Path: request.Path, Key: request.Key, Body: request.Body}
	response, err := s.clients.Platform().Plain.Do(ctx, ticket.Server.Address, serviceRequest)
	err = checkRefusal(ticket, response, err)
	ticket.Finish(contract.TicketOutcome{
		Err:     err,
		Latency: s.clock.Now().Sub(startedAt),
		Bytes:   int64(len(request.Path) + len(request.Body) + len(response.Body)),
	})
	return response, err
}

// checkRefusal turns status 503 into the code BackendRefused. The server has
// read the submission, and its status alone is no proof that it did not run it.
// So the outcome is unknown: the submission is sent to no other server and not
// recorded as not run.
func checkRefusal(ticket contract.Ticket, response outside.ServiceResponse, err error) error {
	if err == nil && response.Status == http.StatusServiceUnavailable {
		return result.New(result.BackendRefused, "%s", ticket.Server.Name)
	}
	return err
}

// replyWithoutRun replies to a request that is not run, because its key was
// used before or the journal does not admit it.
func (s *service) replyWithoutRun(ctx context.Context, admission admitResult, isRetry bool) (contract.SubmitReply, error) {
	switch admission.verdict {
	case journal.VerdictReplay:
		return recordedReply(admission.record)
	case journal.VerdictInProgress:
		if isRetry && admission.execution != nil {
			return awaitExecution(ctx, admission.execution)
		}
		return contract.SubmitReply{}, result.New(result.StillRunning, "since %s", admission.record.IntentTime.Format(time.RFC3339))
	default:
		return contract.SubmitReply{}, result.New(verdictCodes[admission.verdict], "")
	}
}

// verdictCodes maps the verdicts that yield no answer to result codes.
var verdictCodes = map[journal.Verdict]result.Code{
	journal.VerdictOutcomeUnknown: result.OutcomeUnknown,
	journal.VerdictTakenOver:      result.JournalTakeover,
	journal.VerdictKeyReused:      result.KeyReused,
	journal.VerdictKeyTooOld:      result.KeyTooOld,
	journal.VerdictKeyInFuture:    result.BadRequest,
	journal.VerdictQueueFull:      result.Overloaded,
}

// recordedReply returns the reply for a recorded answer, or an error with code
// AnswerNotKept when its body was not recorded.
func recordedReply(record journal.Record) (contract.SubmitReply, error) {
	answer := record.Answer
	if !answer.HasBody() {
		return contract.SubmitReply{}, result.New(result.AnswerNotKept, "status %d, %d bytes, SHA-256 %s", answer.Status, answer.Length, answer.Digest)
	}
	return contract.SubmitReply{
		Answer:   outside.ServiceResponse{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body},
		Repeated: true,
	}, nil
}

// awaitExecution waits for the outcome of an execution that an earlier call
// started, most likely one of the same caller. The reply counts as repeated,
// since the call that started the execution may return the answer as well.
func awaitExecution(ctx context.Context, e *execution) (contract.SubmitReply, error) {
	select {
	case <-e.finished:
		return contract.SubmitReply{Answer: e.reply.Answer, Repeated: true}, e.err
	case <-ctx.Done():
		return contract.SubmitReply{}, result.Wrap(result.StillRunning, ctx.Err())
	}
}
