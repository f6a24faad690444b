package jobs

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	// usualRewardTime is the time that a reward call usually takes.
	usualRewardTime = 200 * time.Millisecond
	// rewardTimeout bounds one round of attempts of a reward call.
	rewardTimeout = 4 * time.Second
	// rewardRetryDelay is the delay before a failed reward call is retried.
	rewardRetryDelay = 100 * time.Millisecond
)

// rewardOutcome is the outcome of a reward call.
type rewardOutcome struct {
	job         string
	epoch       uint64
	item        *item
	score       string
	failures    int
	maxAttempts int
	err         error
}

// judgeItem sends the reward call of an item whose text is complete. An item
// without one is completed at once.
func (s *service) judgeItem(j *job, it *item) {
	if it.Reward == nil {
		s.completeItem(j, it, "")
		return
	}
	it.phase = phaseJudging
	id, epoch, ctx, workspace := j.ID, j.ownership.Epoch, j.ctx, s.accessOf(j)
	deadline := s.loop.Now().Add(rewardTimeout)
	s.workers.Go(func(workersCtx context.Context) {
		// A call that panics is no failure of a server and is made again.
		outcome := rewardOutcome{err: kernel.ErrPanicked}
		defer func() {
			outcome.job, outcome.epoch, outcome.item = id, epoch, it
			postOutcome(workersCtx, s, s.rewardOutcomes, outcome, id)
		}()
		outcome = s.callReward(ctx, it.Reward, workspace, deadline)
	})
}

// errNoConfiguration is returned by a daemon that has taken over a job and has not
// read the operator's configuration yet.
var errNoConfiguration = errors.New("jobs: no configuration yet")

func (s *service) callReward(ctx context.Context, reward *batch.RewardCall, workspace *access.Workspace, deadline time.Time) rewardOutcome {
	catalog := s.catalog.Current().Load().Catalog
	if catalog == nil {
		return rewardOutcome{err: errNoConfiguration}
	}
	route := catalog.Match(reward.Host, reward.Path)
	if route == nil {
		return rewardOutcome{err: result.New(result.NotFound, "no route for %s%s", reward.Host, reward.Path)}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := s.dispatch.Forward(ctx, contract.ForwardRequest{
		Route: route, ID: reward.ID, Method: http.MethodPost, Host: reward.Host, Target: reward.Path,
		Header: http.Header{}, Body: structs.PayloadOf(reward.Body), Deadline: deadline, IsAccepted: true, DiscardBody: true,
		OnBehalfOf: workspace,
	})
	if err != nil {
		return rewardOutcome{err: err, maxAttempts: route.MaxAttempts}
	}
	if response.Status >= http.StatusMultipleChoices || response.Stamp == "" {
		return rewardOutcome{
			failures: response.Failures, maxAttempts: route.MaxAttempts,
			err: result.New(result.BackendBroke, "status %d", response.Status),
		}
	}
	return rewardOutcome{score: response.Stamp}
}

// handleRewardOutcome applies the outcome of a reward call on the control
// goroutine.
func (s *service) handleRewardOutcome(outcome rewardOutcome) {
	j, it := s.ownedJobs[outcome.job], outcome.item
	if j == nil || j.ownership.Epoch != outcome.epoch || it.phase != phaseJudging || j.ownership.Ended {
		return
	}
	if outcome.err == nil {
		s.completeItem(j, it, outcome.score)
		return
	}
	it.rewardFailures += outcome.failures
	s.log.WithError(outcome.err).WithFields(logrus.Fields{"job": j.ID, "item": it.ID, "failures": it.rewardFailures}).
		Info("A reward call failed.")
	if hasUsedAttempts(it.rewardFailures, max(outcome.maxAttempts, j.route.maxAttempts)) {
		s.giveUpItem(j, it, "its reward calls failed")
		return
	}
	if batch.Expired(j.submittedAt, s.loop.Now(), j.route.itemTTL) {
		s.giveUpItem(j, it, "its time is over")
		return
	}
	s.loop.AfterFunc(rewardRetryDelay, func() {
		if it.phase == phaseJudging && s.ownedJobs[outcome.job] == j && !j.ownership.Ended {
			it.phase = phaseWaiting
			s.schedulePlacement()
		}
	})
}

// hasUsedAttempts reports whether an item has failed as often as its route allows. A
// limit of zero is not known yet.
func hasUsedAttempts(failures, maxAttempts int) bool {
	return maxAttempts > 0 && failures >= maxAttempts
}

// giveUpItem records that an item gets no output. This is final.
func (s *service) giveUpItem(j *job, it *item, why string) {
	s.log.WithFields(logrus.Fields{
		"job": j.ID, "item": it.ID, "why": why, "failures": it.failures, "reward_failures": it.rewardFailures,
		"age_s": s.loop.Now().Sub(j.submittedAt).Seconds(),
	}).Info("Item given up.")
	s.finishItem(j, it, batch.Result{ID: it.ID, Dead: true})
}

// completeItem records the complete text of an item with its score.
func (s *service) completeItem(j *job, it *item, score string) {
	s.finishItem(j, it, batch.Result{
		ID: it.ID, Output: strings.Join(it.text.Events, "\n"), Versions: it.text.Versions, Score: score,
	})
}
