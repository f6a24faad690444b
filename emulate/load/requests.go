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
	// submitAttempts is how often a caller submits again with the same key
	// while the outcome is unknown or the request was not run.
	submitAttempts = 6
	submitBackoff  = 100 * time.Millisecond
)

// performance is one request of a stream.
type performance struct {
	stream   Stream
	name     string
	number   int
	seed     uint64
	intended time.Time
}

func (r *runner) perform(ctx context.Context, p performance) {
	switch p.stream.Kind {
	case KindSubmission:
		r.submit(ctx, p)
	case KindRollout, KindDraft:
		r.generate(ctx, p)
	case KindSettings:
		r.finish(p, r.settings.change(ctx, p))
	default:
		r.lookup(ctx, p)
	}
}

func (r *runner) finish(p performance, got response) {
	r.tally.done(p.name, got, time.Since(p.intended), r.afterFault(p))
}

// afterFault reports whether a request arrived after the failure began.
func (r *runner) afterFault(p performance) bool {
	at := time.Duration(r.experiment.FaultAt)
	return at > 0 && p.intended.After(r.started.Add(at))
}

func (r *runner) lookup(ctx context.Context, p performance) {
	id := fmt.Sprintf("%x-%d", p.seed, p.number)
	path := fmt.Sprintf("/v1/workspaces/%s/service/records/%s?class=%s", p.stream.Workspace, id, p.stream.Class)
	got := r.balancer.send(ctx, request{method: http.MethodGet, path: path})
	if got.err == nil && got.outcome == result.Answered && string(got.body) != service.RecordOf(id) {
		r.tally.wrong()
	}
	r.finish(p, got)
}

// submit sends a submission until its outcome is known, always with the same
// key, as a caller would that must not file twice.
func (r *runner) submit(ctx context.Context, p performance) {
	key := keyOf(p)
	body := fmt.Sprintf("claim %d of %s", p.number, key)
	path := fmt.Sprintf("/v1/workspaces/%s/service%s", p.stream.Workspace, service.PathSubmissions)
	var got response
	uncertain := false
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = submitBackoff
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		got = r.balancer.send(ctx, request{method: http.MethodPost, path: path, key: key, body: []byte(body)})
		uncertain = uncertain || got.err != nil || got.outcome == result.MayHaveRun
		if got.err != nil {
			return struct{}{}, got.err
		}
		if got.outcome != result.Answered {
			return struct{}{}, result.New(got.code, "")
		}
		return struct{}{}, nil
	}, backoff.WithBackOff(delays), backoff.WithMaxTries(submitAttempts))
	if got.err == nil {
		told := got.outcome
		if told == result.NotRun && uncertain {
			// The last attempt was not run, but an earlier one may have been.
			told = result.MayHaveRun
		}
		r.tally.submitted(key, submission{body: body, outcome: told})
		if got.outcome == result.Answered && string(got.body) != service.ReceiptOf(key, body) {
			r.tally.wrong()
		}
	}
	r.finish(p, got)
}

// keyOf makes a key that bears its time, from the run's seed.
func keyOf(p performance) string {
	random := rand.New(rand.NewPCG(p.seed, uint64(p.number)))
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

// rolloutBody is the body of a request for samples or a draft.
type rolloutBody struct {
	Group     string `json:"group"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (r *runner) generate(ctx context.Context, p performance) {
	random := rand.New(rand.NewPCG(p.seed, uint64(p.number)))
	prefix := random.IntN(orDefault(p.stream.Prompts, defaultPrompts))
	words := strings.Repeat(fmt.Sprintf("case%d ", prefix), orDefault(p.stream.PromptWords, defaultPromptWords))
	body, err := json.Marshal(rolloutBody{
		Group:     fmt.Sprintf("%x-%d", p.seed, p.number),
		Prompt:    fmt.Sprintf("%s question %d", words, p.number),
		MaxTokens: orDefault(p.stream.MaxTokens, defaultMaxTokens),
	})
	if err != nil {
		r.finish(p, response{err: err})
		return
	}
	path := fmt.Sprintf("/v1/workspaces/%s/%ss", p.stream.Workspace, p.stream.Kind)
	r.finish(p, r.balancer.send(ctx, request{method: http.MethodPost, path: path, body: body}))
}
