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
	// maxJudgeFailures is the number of the judge's servers that may fail on a sample
	// before the group fails. Calls to judges are idempotent, so retries are safe.
	maxJudgeFailures = 3
)

// judgeRequest is the body of a request to a judge.
type judgeRequest struct {
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
}

// judgeResponse is the body of a judge's response.
type judgeResponse struct {
	// Reward is from 0 to 1, or nil if it is missing.
	Reward *float64 `json:"reward"`
}

// judgeResult is the event that a sample got its reward or that judging it failed.
type judgeResult struct {
	sampleIndex int
	reward      float64
	err         error
}

func (e judgeResult) apply(t *groupTask) {
	if e.err != nil {
		t.service.log.WithError(e.err).Warnf("Judging a sample of group %s failed.", t.request.Group)
		t.fail(result.CodeOf(e.err))
		return
	}
	t.samples[e.sampleIndex].Reward = e.reward
	t.readyCount++
}

// judgeSample gets the reward of a sample from the workspace's judge and sends it as
// an event.
func (t *groupTask) judgeSample(sampleIndex int, answer []byte) {
	requestBody, err := json.Marshal(judgeRequest{Prompt: t.request.Prompt, Answer: string(answer)})
	if err != nil {
		t.send(t.ctx, judgeResult{sampleIndex: sampleIndex, err: result.Wrap(result.BadRequest, err)})
		return
	}
	reward, err := t.fetchReward(requestBody)
	t.send(t.ctx, judgeResult{sampleIndex: sampleIndex, reward: reward, err: err})
}

// fetchReward tries servers of the judge until one returns a reward or
// maxJudgeFailures of them have failed. While no server accepts the request, it
// retries with exponential backoff until the task's context ends, because the
// sample is expensive to generate.
func (t *groupTask) fetchReward(requestBody []byte) (float64, error) {
	pick := contract.PickRequest{
		Service:     t.parameters.Judge,
		Workspace:   t.request.Workspace,
		Class:       t.request.Class,
		Deadline:    t.deadline,
		Fingerprint: quarantine.FingerprintOf(string(t.parameters.Judge), http.MethodPost, judgePath, string(requestBody)),
	}
	delay, failures := t.service.limits.Backoff, 0
	for {
		reward, server, err := t.tryJudge(pick, requestBody)
		if err == nil {
			return reward, nil
		}
		pick.Avoid = append(pick.Avoid, server)
		if server == "" {
			pick.Avoid = nil
		} else if failures++; failures == maxJudgeFailures {
			return 0, err
		}
		if !t.service.sleep(t.ctx, delay) {
			return 0, err
		}
		delay = min(2*delay, t.service.limits.MaxBackoff)
	}
}

// tryJudge calls one server of the judge. It returns the server's name unless the
// request was not run or the server refused it.
func (t *groupTask) tryJudge(pick contract.PickRequest, requestBody []byte) (float64, structs.HostName, error) {
	ticket, err := t.service.balancer.Pick(t.ctx, pick)
	if err != nil {
		return 0, "", err
	}
	reward, err := t.callJudge(ticket, requestBody)
	if result.OutcomeOf(err) == result.NotRun || result.IsBackendRefusal(result.CodeOf(err)) {
		return 0, "", err
	}
	return reward, ticket.Server.Name, err
}

// callJudge sends a request to the server of a ticket and reports the outcome to the
// balancer.
func (t *groupTask) callJudge(ticket contract.Ticket, requestBody []byte) (float64, error) {
	clock := t.service.clock
	started := clock.Now()
	reward, size, err := postToJudge(t.ctx, t.service.clients.Platform().Plain, ticket.Server.Address, requestBody)
	outcome := err
	if t.ctx.Err() != nil {
		outcome = errCanceled
	}
	ticket.Finish(contract.TicketOutcome{
		Err:     outcome,
		Latency: clock.Since(started),
		Bytes:   int64(len(judgePath) + len(requestBody) + size),
	})
	return reward, err
}

// postToJudge returns a judge's reward and the size of the response body in bytes.
func postToJudge(ctx context.Context, judge outside.PlainServiceClient, address string, requestBody []byte) (float64, int, error) {
	response, err := judge.Do(ctx, address, outside.ServiceRequest{Method: http.MethodPost, Path: judgePath, Body: requestBody})
	if err != nil {
		return 0, 0, err
	}
	reward, err := decodeReward(response)
	return reward, len(response.Body), err
}

// decodeReward returns the reward in a judge's response.
func decodeReward(response outside.ServiceResponse) (float64, error) {
	switch response.Status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, result.New(result.BackendRefused, "judge answered with status %d", response.Status)
	case http.StatusTooManyRequests:
		return 0, result.New(result.BackendOverloaded, "judge answered with status %d", response.Status)
	default:
		return 0, result.New(result.BackendBroke, "judge answered with status %d", response.Status)
	}
	var decoded judgeResponse
	if err := json.Unmarshal(response.Body, &decoded); err != nil {
		return 0, result.Wrap(result.BackendBroke, err)
	}
	if decoded.Reward == nil || *decoded.Reward < 0 || *decoded.Reward > 1 {
		return 0, result.Wrap(result.BackendBroke, errors.New("the judge gave no reward from 0 to 1"))
	}
	return *decoded.Reward, nil
}
