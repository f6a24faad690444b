package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/emulate/service"
)

const (
	// submitAttempts is the maximum number of attempts with one idempotency key
	// while the outcome is unknown or the request was not run.
	submitAttempts = 6
	submitBackoff  = 100 * time.Millisecond
)

// arrival is the arrival of one request of a stream. number is its index in the
// stream, and intendedStart its time in the Poisson process.
type arrival struct {
	stream        Stream
	streamName    string
	number        int
	seed          uint64
	intendedStart time.Time
}

func (r *runner) handleArrival(ctx context.Context, a arrival) {
	switch a.stream.Kind {
	case KindSubmission:
		r.performSubmission(ctx, a)
	case KindRollout, KindDraft:
		r.performGeneration(ctx, a)
	case KindSettings:
		r.recordResponse(a, r.settingsChecker.change(ctx, a))
	default:
		r.performLookup(ctx, a)
	}
}

func (r *runner) recordResponse(a arrival, resp response) {
	r.tally.recordResponse(a.streamName, resp, time.Since(a.intendedStart), r.afterFault(a))
}

// afterFault reports whether a request arrived after the failure began.
func (r *runner) afterFault(a arrival) bool {
	at := time.Duration(r.experiment.FaultAt)
	return at > 0 && a.intendedStart.After(r.startTime.Add(at))
}

func (r *runner) performLookup(ctx context.Context, a arrival) {
	id := fmt.Sprintf("%x-%d", a.seed, a.number)
	path := fmt.Sprintf("/v1/workspaces/%s/service/records/%s?class=%s", a.stream.Workspace, id, a.stream.Class)
	resp := r.balancer.send(ctx, request{method: http.MethodGet, path: path})
	if resp.err == nil && resp.outcome == result.Answered && string(resp.body) != service.RecordOf(id) {
		r.tally.countWrongAnswer()
	}
	r.recordResponse(a, resp)
}

// performSubmission sends a submission with the same idempotency key until its
// outcome is known, as a caller does that must not submit twice.
func (r *runner) performSubmission(ctx context.Context, a arrival) {
	key := newIdempotencyKey(a)
	body := fmt.Sprintf("claim %d of %s", a.number, key)
	path := fmt.Sprintf("/v1/workspaces/%s/service%s", a.stream.Workspace, service.PathSubmissions)
	var resp response
	mayHaveRun := false
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = submitBackoff
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		resp = r.balancer.send(ctx, request{method: http.MethodPost, path: path, key: key, body: []byte(body)})
		mayHaveRun = mayHaveRun || resp.err != nil || resp.outcome == result.MayHaveRun
		if resp.err != nil {
			return struct{}{}, resp.err
		}
		if resp.outcome != result.Answered {
			return struct{}{}, result.New(resp.code, "")
		}
		return struct{}{}, nil
	}, backoff.WithBackOff(delays), backoff.WithMaxTries(submitAttempts))
	if resp.err == nil {
		reportedOutcome := resp.outcome
		if reportedOutcome == result.NotRun && mayHaveRun {
			// The last attempt was not run, but an earlier one may have been.
			reportedOutcome = result.MayHaveRun
		}
		r.tally.recordSubmission(key, submission{body: body, outcome: reportedOutcome})
		if resp.outcome == result.Answered && string(resp.body) != service.ReceiptOf(key, body) {
			r.tally.countWrongAnswer()
		}
	}
	r.recordResponse(a, resp)
}

// newIdempotencyKey returns a version 7 UUID: the current time, followed by random
// bits from the seed of the arrival.
func newIdempotencyKey(a arrival) string {
	random := rand.New(rand.NewPCG(a.seed, uint64(a.number)))
	var raw [16]byte
	for i := range raw {
		raw[i] = byte(random.Uint32())
	}
	milli := time.Now().UnixMilli()
	for i := range 6 {
		raw[i] = byte(milli >> (8 * (5 - i)))
	}
	raw[6] = raw[6]&0x0f | 0x70
	raw[8] = raw[8]&0x3f | 0x80
	return uuid.UUID(raw).String()
}

// rolloutBody is the body of a request for a group of samples or a draft.
type rolloutBody struct {
	Group     string `json:"group"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (r *runner) performGeneration(ctx context.Context, a arrival) {
	random := rand.New(rand.NewPCG(a.seed, uint64(a.number)))
	prefix := random.IntN(orDefault(a.stream.Prompts, defaultPrompts))
	words := strings.Repeat(fmt.Sprintf("case%d ", prefix), orDefault(a.stream.PromptWords, defaultPromptWords))
	body, err := json.Marshal(rolloutBody{
		Group:     fmt.Sprintf("%x-%d", a.seed, a.number),
		Prompt:    fmt.Sprintf("%s question %d", words, a.number),
		MaxTokens: orDefault(a.stream.MaxTokens, defaultMaxTokens),
	})
	if err != nil {
		r.recordResponse(a, response{err: err})
		return
	}
	path := fmt.Sprintf("/v1/workspaces/%s/%ss", a.stream.Workspace, a.stream.Kind)
	r.recordResponse(a, r.balancer.send(ctx, request{method: http.MethodPost, path: path, body: body}))
}
