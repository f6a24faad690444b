// Package rollout is the service "traffic.rollout": it makes groups of samples
// and Drafts on model engines, has samples judged and hands them to the steps.
package rollout

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/group"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameRollout, func() kernel.Service { return &service{limits: defaultLimits} })
}

const (
	// maxTokens bounds the answer that a request may ask for.
	maxTokens = 1 << 17
	// affinityBytes is how much of the prompt decides on which engine its
	// prefix is looked for.
	affinityBytes = 1 << 10
	// hedgeShare is how many samples of a group there are for each hedge.
	hedgeShare = 2
)

// defaultLimits are those of a group; Size and MaxHedges follow the settings.
var defaultLimits = group.Limits{
	MaxBrokenServers:  3,
	MaxEmptyStreams:   8,
	FirstTokenTimeout: 20 * time.Second,
	ChunkTimeout:      5 * time.Second,
	StragglerRatio:    0.67,
	Backoff:           50 * time.Millisecond,
	MaxBackoff:        2 * time.Second,
}

type service struct {
	kernel.Base
	clock    clockwork.Clock
	log      *logrus.Entry
	workers  *kernel.Workers
	clients  contract.Clients
	settings contract.Settings
	balancer contract.Balancer
	zone     contract.Zone
	metrics  contract.Metrics
	// weights and steps are nil in a daemon that has no such service.
	weights contract.Weights
	steps   contract.Steps
	limits  group.Limits

	samples atomic.Uint64
	streams atomic.Uint64
}

var _ contract.Rollouts = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.clients, contract.NameClients),
		kernel.Bind(&s.settings, contract.NameSettings),
		kernel.Bind(&s.balancer, contract.NameBalance),
		kernel.Bind(&s.zone, contract.NameZone),
		kernel.Bind(&s.metrics, contract.NameMetrics),
	)
	if err != nil {
		return err
	}
	if s.weights, _, err = kernel.FindOptional[contract.Weights](ctx, contract.NameWeights); err != nil {
		return err
	}
	s.steps, _, err = kernel.FindOptional[contract.Steps](ctx, contract.NameSteps)
	s.clock, s.log, s.workers = ctx.Clock(), ctx.Log(), ctx.Workers()
	return err
}

// Rollout implements contract.Rollouts. The group is delivered whole or not at
// all.
func (s *service) Rollout(ctx context.Context, request contract.RolloutRequest) (contract.RolloutReply, error) {
	if request.Class != structs.ClassRollout && request.Class != structs.ClassInternal {
		return contract.RolloutReply{}, result.New(result.BadClass, "%s is not a class of rollouts", request.Class)
	}
	if request.Group == "" {
		return contract.RolloutReply{}, result.New(result.BadRequest, "a rollout needs a group")
	}
	parameters, err := s.acquire(ctx, request)
	if err != nil {
		return contract.RolloutReply{}, err
	}
	if parameters.Judge == "" {
		return contract.RolloutReply{}, result.New(result.UnknownService, "workspace %s has no judge", request.Workspace)
	}
	samples, err := s.make(ctx, request, parameters, parameters.GroupSize, true)
	return contract.RolloutReply{Samples: samples}, err
}

// Draft implements contract.Rollouts.
func (s *service) Draft(ctx context.Context, request contract.RolloutRequest) (structs.Sample, error) {
	if request.Class != structs.ClassDraft {
		return structs.Sample{}, result.New(result.BadClass, "%s is not the class of Drafts", request.Class)
	}
	parameters, err := s.acquire(ctx, request)
	if err != nil {
		return structs.Sample{}, err
	}
	samples, err := s.make(ctx, request, parameters, 1, false)
	if err != nil {
		return structs.Sample{}, err
	}
	return samples[0], nil
}

// acquire checks a request and returns its workspace's parameters.
func (s *service) acquire(ctx context.Context, request contract.RolloutRequest) (settings.ResolvedParameters, error) {
	if request.Prompt == "" || request.MaxTokens < 1 || request.MaxTokens > maxTokens {
		return settings.ResolvedParameters{}, result.New(result.BadRequest, "a prompt and max_tokens from 1 to %d are needed", maxTokens)
	}
	parameters, err := s.settings.DecidedParameters(ctx, request.Workspace)
	if err == nil && parameters.Model == "" {
		err = result.New(result.UnknownService, "workspace %s has no model", request.Workspace)
	}
	return parameters, err
}

// make runs a group within its due time and counts how it ended.
func (s *service) make(ctx context.Context, request contract.RolloutRequest, parameters settings.ResolvedParameters, size int, judged bool) ([]structs.Sample, error) {
	due := s.clock.Now().Add(parameters.Timeouts[request.Class])
	ctx, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	samples, err := s.run(ctx, request, parameters, size, judged, due)
	if err == nil && judged && s.steps != nil {
		err = s.deliver(ctx, samples)
	}
	s.metrics.RecordRequest(request.Workspace, request.Class, err == nil && !s.clock.Now().After(due))
	if err != nil {
		return nil, err
	}
	return samples, nil
}

// deliver hands a group to the steps. An attempt that was certainly not run is
// made again up to the due time, because the samples have been made.
func (s *service) deliver(ctx context.Context, samples []structs.Sample) error {
	delay := s.limits.Backoff
	for {
		err := s.steps.Add(ctx, samples)
		if err == nil || result.OutcomeOf(err) != result.NotRun {
			return err
		}
		if !mayPass(result.CodeOf(err)) || !s.pause(ctx, delay) {
			return result.New(result.GroupUnfinished, "the steps took no sample: %v", err)
		}
		delay = min(2*delay, s.limits.MaxBackoff)
	}
}

// mayPass reports whether a refusal by the steps may be over soon.
func mayPass(code result.Code) bool {
	switch code {
	case result.Overloaded, result.SettingsInDoubt, result.NoGrant, result.StoreUnavailable, result.PeerUnreachable:
		return true
	default:
		return false
	}
}

// freshness is what may still become part of a sample of a workspace. A Draft
// goes to no trainer, so that it has no bound.
func (s *service) freshness(parameters settings.ResolvedParameters, judged bool) group.StalenessBound {
	if !judged {
		return group.StalenessBound{}
	}
	fresh := group.StalenessBound{MaxAge: parameters.StalenessAge}
	if s.weights == nil {
		return fresh
	}
	newest, behind := s.weights.Newest(parameters.Model), structs.WeightVersion(parameters.StalenessVersions)
	if newest > behind {
		fresh.MinVersion = newest - behind
	}
	return fresh
}

// affinityOf hashes the prefix of a prompt.
func affinityOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), affinityBytes)])
}

// seedOf fixes an engine's choices for one sample, so that a hedge or a
// resumed stream makes the same ones.
func seedOf(request contract.RolloutRequest, sample int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", request.Workspace, request.Group, sample))
}
