package jobs

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// rewardWithin bounds one round of attempts at a reward call.
	rewardWithin = 4 * time.Second
	// rewardPause is the pause before a failed reward call is made again.
	rewardPause = 100 * time.Millisecond
)

// judgement is the outcome of a reward call.
type judgement struct {
	job      string
	epoch    uint64
	item     *item
	score    string
	failures int
	attempts int
	err      error
}

// judge sends the reward call of an item whose text is whole.
func (s *service) judge(j *job, it *item) {
	if it.Reward == nil {
		s.complete(j, it, "")
		return
	}
	it.phase = phaseJudging
	id, epoch, ctx := j.ID, j.own.Epoch, j.ctx
	due := s.loop.Now().Add(rewardWithin)
	s.workers.Go(func(context.Context) {
		came := s.reward(ctx, it.Reward, due)
		came.job, came.epoch, came.item = id, epoch, it
		if err := s.judged.Post(came); err != nil {
			s.log.WithError(err).WithField("job", id).Error("The outcome of a reward call is lost.")
		}
	})
}

func (s *service) reward(ctx context.Context, reward *batch.RewardCall, due time.Time) judgement {
	current := s.catalog.Current().Load().Catalog
	route := current.Match(reward.Host, reward.Path)
	if route == nil {
		return judgement{err: result.New(result.NotFound, "no route for %s%s", reward.Host, reward.Path)}
	}
	ctx, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	forwarded, err := s.sender.Forward(ctx, contract.ForwardRequest{
		Route: route, ID: reward.ID, Method: http.MethodPost, Host: reward.Host, Target: reward.Path,
		Header: http.Header{}, Body: reward.Body, Deadline: due,
	})
	if err != nil {
		return judgement{err: err, attempts: route.MaxAttempts}
	}
	if forwarded.Status >= http.StatusMultipleChoices || forwarded.Stamp == "" {
		return judgement{
			failures: forwarded.Failures, attempts: route.MaxAttempts,
			err: result.New(result.BackendBroke, "status %d", forwarded.Status),
		}
	}
	return judgement{score: forwarded.Stamp}
}

// judgementCame takes in the outcome of a reward call on the control goroutine.
func (s *service) judgementCame(came judgement) {
	j, it := s.owned[came.job], came.item
	if j == nil || j.own.Epoch != came.epoch || it.phase != phaseJudging || j.own.Ended {
		return
	}
	if came.err == nil {
		s.complete(j, it, came.score)
		return
	}
	it.judged += came.failures
	s.log.WithError(came.err).WithFields(logrus.Fields{"job": j.ID, "item": it.ID, "failures": it.judged}).
		Info("A reward call failed.")
	if it.judged > 0 && it.judged >= max(came.attempts, j.terms.maxAttempts) {
		s.giveUp(j, it, "its reward calls failed")
		return
	}
	if batch.Expired(j.submitted, s.loop.Now(), j.terms.itemLife) {
		s.giveUp(j, it, "its time is over")
		return
	}
	s.loop.AfterFunc(rewardPause, func() {
		if it.phase == phaseJudging && s.owned[came.job] == j && !j.own.Ended {
			it.phase = phaseWaiting
			s.wake()
		}
	})
}

// giveUp records that an item gets no output, which is final.
func (s *service) giveUp(j *job, it *item, why string) {
	s.log.WithFields(logrus.Fields{
		"job": j.ID, "item": it.ID, "why": why, "failures": it.failures, "reward_failures": it.judged,
		"age_s": s.loop.Now().Sub(j.submitted).Seconds(),
	}).Info("An item is given up.")
	s.finish(j, it, batch.Result{ID: it.ID, Dead: true})
}

// complete records a whole and judged text.
func (s *service) complete(j *job, it *item, score string) {
	s.finish(j, it, batch.Result{
		ID: it.ID, Output: strings.Join(it.text.Events, "\n"), Versions: it.text.Versions, Score: score,
	})
}
