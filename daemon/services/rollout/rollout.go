// Package rollout is the service "traffic.rollout". It generates groups of
// samples and Drafts on model engines, has samples scored by the workspace's
// judge and adds them to the workspace's training steps.
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
	// maxTokens is the largest max_tokens that a request may have.
	maxTokens = 1 << 17
	// affinityPrefixBytes is the length of the prompt prefix that is hashed for
	// the balancer's affinity: prompts with an equal prefix go to the same engine,
	// which has it in its prefix cache.
	affinityPrefixBytes = 1 << 10
	// samplesPerHedge is the number of samples for each hedge that a group may
	// start, rounded up.
	samplesPerHedge = 2
)

// defaultLimits are the limits of a group. Size and MaxHedges are set for each
// group from the workspace's settings.
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
	// weights and steps are nil if the daemon does not run these services.
	weights contract.Weights
	steps   contract.Steps
	limits  group.Limits

	// sampleCounter and streamCounter make the IDs of samples and streams unique
	// within this run of the daemon.
	sampleCounter atomic.Uint64
	streamCounter atomic.Uint64
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

// Rollout implements contract.Rollouts. Either all samples of the group are
// added to the steps or none.
func (s *service) Rollout(ctx context.Context, request contract.RolloutRequest) (contract.RolloutReply, error) {
	if request.Class != structs.ClassRollout && request.Class != structs.ClassInternal {
		return contract.RolloutReply{}, result.New(result.BadClass, "%s is not a class of rollouts", request.Class)
	}
	if request.Group == "" {
		return contract.RolloutReply{}, result.New(result.BadRequest, "a rollout needs a group")
	}
	parameters, err := s.resolveParameters(ctx, request)
	if err != nil {
		return contract.RolloutReply{}, err
	}
	if parameters.Judge == "" {
		return contract.RolloutReply{}, result.New(result.UnknownService, "workspace %s has no judge", request.Workspace)
	}
	samples, err := s.generateAndDeliver(ctx, request, parameters, parameters.GroupSize, true)
	return contract.RolloutReply{Samples: samples}, err
}

// Draft implements contract.Rollouts.
func (s *service) Draft(ctx context.Context, request contract.RolloutRequest) (structs.Sample, error) {
	if request.Class != structs.ClassDraft {
		return structs.Sample{}, result.New(result.BadClass, "%s is not the class of Drafts", request.Class)
	}
	parameters, err := s.resolveParameters(ctx, request)
	if err != nil {
		return structs.Sample{}, err
	}
	samples, err := s.generateAndDeliver(ctx, request, parameters, 1, false)
	if err != nil {
		return structs.Sample{}, err
	}
	return samples[0], nil
}

// resolveParameters validates a request and returns its workspace's parameters.
func (s *service) resolveParameters(ctx context.Context, request contract.RolloutRequest) (settings.ResolvedParameters, error) {
	if request.Prompt == "" || request.MaxTokens < 1 || request.MaxTokens > maxTokens {
		return settings.ResolvedParameters{}, result.New(result.BadRequest, "a prompt and max_tokens from 1 to %d are needed", maxTokens)
	}
	parameters, err := s.settings.DecidedParameters(ctx, request.Workspace)
	if err == nil && parameters.Model == "" {
		err = result.New(result.UnknownService, "workspace %s has no model", request.Workspace)
	}
	return parameters, err
}

// generateAndDeliver generates a group within the timeout of the request's class,
// adds scored samples to the steps, and records the outcome for the burn report.
func (s *service) generateAndDeliver(ctx context.Context, request contract.RolloutRequest, parameters settings.ResolvedParameters, size int, withJudge bool) ([]structs.Sample, error) {
	deadline := s.clock.Now().Add(parameters.Timeouts[request.Class])
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	samples, err := s.generateGroup(ctx, request, parameters, size, withJudge, deadline)
	if err == nil && withJudge && s.steps != nil {
		err = s.deliver(ctx, samples)
	}
	s.metrics.RecordRequest(request.Workspace, request.Class, err == nil && !s.clock.Now().After(deadline))
	if err != nil {
		return nil, err
	}
	return samples, nil
}

// deliver adds a group to the steps. Because the samples are expensive to
// generate, it retries transient errors with exponential backoff until ctx ends,
// provided that the failed call certainly did not run.
func (s *service) deliver(ctx context.Context, samples []structs.Sample) error {
	delay := s.limits.Backoff
	for {
		err := s.steps.Add(ctx, samples)
		if err == nil || result.OutcomeOf(err) != result.NotRun {
			return err
		}
		if !isTransient(result.CodeOf(err)) || !s.sleep(ctx, delay) {
			return result.New(result.GroupUnfinished, "the steps took no sample: %v", err)
		}
		delay = min(2*delay, s.limits.MaxBackoff)
	}
}

// isTransient reports whether adding to the steps may succeed soon after it
// failed with a code.
func isTransient(code result.Code) bool {
	switch code {
	case result.Overloaded, result.SettingsInDoubt, result.NoGrant, result.StoreUnavailable, result.PeerUnreachable:
		return true
	default:
		return false
	}
}

// stalenessBound returns the bound for tokens of a workspace's samples. Drafts have
// no bound, because no trainer gets them.
func (s *service) stalenessBound(parameters settings.ResolvedParameters, withJudge bool) group.StalenessBound {
	if !withJudge {
		return group.StalenessBound{}
	}
	bound := group.StalenessBound{MaxAge: parameters.StalenessAge}
	if s.weights == nil {
		return bound
	}
	newest, maxLag := s.weights.Newest(parameters.Model), structs.WeightVersion(parameters.StalenessVersions)
	if newest > maxLag {
		bound.MinVersion = newest - maxLag
	}
	return bound
}

// promptAffinity returns the hash of the first affinityPrefixBytes of a prompt.
func promptAffinity(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), affinityPrefixBytes)])
}

// sampleSeed returns the sampling seed of one sample. It depends only on the
// request and the sample's index, so that hedges and resumed streams use the same
// seed.
func sampleSeed(request contract.RolloutRequest, sample int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", request.Workspace, request.Group, sample))
}
