package rollout

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	judgePath = "/judge"
	// judgeFailures is how many judges may fail on a sample before it is given
	// up. Judging changes nothing, so that it may be tried again.
	judgeFailures = 3
)

// judgeQuestion is the body of a judge's request.
type judgeQuestion struct {
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
}

// judgeAnswer is the body of a judge's answer.
type judgeAnswer struct {
	// Reward is from 0 to 1; nil when the answer has none.
	Reward *float64 `json:"reward"`
}

// judged says what a judge made of a sample.
type judged struct {
	sample int
	reward float64
	err    error
}

func (e judged) apply(r *run) {
	if e.err != nil {
		r.service.log.WithError(e.err).Warnf("A sample of group %s could not be judged.", r.request.Group)
		r.fail(result.CodeOf(e.err))
		return
	}
	r.samples[e.sample].Reward = e.reward
	r.ready++
}

// judge scores a sample on a server of the workspace's judge.
func (r *run) judge(sample int, body []byte) {
	question, err := json.Marshal(judgeQuestion{Prompt: r.request.Prompt, Answer: string(body)})
	if err != nil {
		r.tell(r.ctx, judged{sample: sample, err: result.Wrap(result.BadRequest, err)})
		return
	}
	reward, err := r.rewardOf(question)
	r.tell(r.ctx, judged{sample: sample, reward: reward, err: err})
}

// rewardOf asks judges until one answers. While none can be had it waits, up
// to the due time, because the sample has been made.
func (r *run) rewardOf(question []byte) (float64, error) {
	pick := contract.PickRequest{
		Service:     r.parameters.Judge,
		Workspace:   r.request.Workspace,
		Class:       r.request.Class,
		Deadline:    r.due,
		Fingerprint: quarantine.FingerprintOf(string(r.parameters.Judge), http.MethodPost, judgePath, string(question)),
	}
	delay, failures := r.service.limits.Backoff, 0
	for {
		reward, server, err := r.tryJudge(pick, question)
		if err == nil {
			return reward, nil
		}
		pick.Avoid = append(pick.Avoid, server)
		if server == "" {
			pick.Avoid = nil
		} else if failures++; failures == judgeFailures {
			return 0, err
		}
		if !r.service.pause(r.ctx, delay) {
			return 0, err
		}
		delay = min(2*delay, r.service.limits.MaxBackoff)
	}
}

// tryJudge asks one judge and names it when it may have failed on the sample.
func (r *run) tryJudge(pick contract.PickRequest, question []byte) (float64, structs.HostName, error) {
	ticket, err := r.service.balancer.Pick(r.ctx, pick)
	if err != nil {
		return 0, "", err
	}
	reward, err := r.ask(ticket, question)
	if result.OutcomeOf(err) == result.NotRun || result.IsBackendRefusal(result.CodeOf(err)) {
		return 0, "", err
	}
	return reward, ticket.Server.Name, err
}

// ask puts a question to one judge.
func (r *run) ask(ticket contract.Ticket, question []byte) (float64, error) {
	clock := r.service.clock
	begun := clock.Now()
	reward, size, err := askJudge(r.ctx, r.service.clients.Platform().Plain, ticket.Server.Address, question)
	seen := err
	if r.ctx.Err() != nil {
		seen = errStopped
	}
	ticket.Finish(contract.TicketOutcome{
		Err:     seen,
		Latency: clock.Since(begun),
		Bytes:   int64(len(judgePath) + len(question) + size),
	})
	return reward, err
}

// askJudge returns a judge's reward and the size of its answer in bytes.
func askJudge(ctx context.Context, judge outside.PlainServiceClient, address string, question []byte) (float64, int, error) {
	answer, err := judge.Do(ctx, address, outside.ServiceRequest{Method: http.MethodPost, Path: judgePath, Body: question})
	if err != nil {
		return 0, 0, err
	}
	reward, err := rewardIn(answer)
	return reward, len(answer.Body), err
}

// rewardIn reads the reward out of a judge's answer.
func rewardIn(answer outside.ServiceResponse) (float64, error) {
	switch answer.Status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, result.New(result.BackendRefused, "judge answered with status %d", answer.Status)
	case http.StatusTooManyRequests:
		return 0, result.New(result.BackendOverloaded, "judge answered with status %d", answer.Status)
	default:
		return 0, result.New(result.BackendBroke, "judge answered with status %d", answer.Status)
	}
	var read judgeAnswer
	if err := json.Unmarshal(answer.Body, &read); err != nil {
		return 0, result.Wrap(result.BackendBroke, err)
	}
	if read.Reward == nil || *read.Reward < 0 || *read.Reward > 1 {
		return 0, result.Wrap(result.BackendBroke, errors.New("the judge gave no reward from 0 to 1"))
	}
	return *read.Reward, nil
}
