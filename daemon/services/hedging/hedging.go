// Package hedging is the service "traffic.hedging". It keeps the hedged requests of all
// daemons together within the share of requests that operators set. Each daemon spends the
// share of its own requests; a daemon with too few of them gives its counts to the pool of
// its region, which decides for all such daemons. Goroutines of traffic use it concurrently; a mutex
// that is held only for short calculations protects it.
package hedging

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameHedging, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	share   float64
	region  structs.RegionName
	regions map[structs.ZoneName]structs.RegionName
	clock   clockwork.Clock
	log     *logrus.Entry
	metrics contract.Metrics
	workers *kernel.Workers
	session contract.Session
	peers   contract.Peers

	mu     sync.Mutex
	own    *hedge.Account
	delays *hedge.Delays
	// pooled holds the delays that a pool knows, for kinds of requests of which this
	// daemon sees too few responses.
	pooled map[hedge.Key]pooledDelay
	// samples holds the times of responses that no pool has got.
	samples map[hedge.Key][]time.Duration
	// poolFailures holds when pools did not answer, by name.
	poolFailures map[string]time.Time
	// nextDeposit and nextLearning are the earliest times of the next messages to pools
	// that ask for no hedge.
	nextDeposit  time.Time
	nextLearning time.Time

	pool pool
}

// pooledDelay is a delay that a pool knew at a time.
type pooledDelay struct {
	delay time.Duration
	at    time.Time
}

var _ contract.Hedging = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.clock, s.log, s.workers = ctx.Clock(), ctx.Log(), ctx.Workers()
	s.region, s.regions = daemon.Place.Region, daemon.Platform.Regions
	s.init(daemon.Platform.Entry.Hedging.ExtraShare)
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.peers, contract.NamePeers),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	return rpc.Register(rpcName, &Receiver{service: s})
}

func (s *service) init(share float64) {
	s.share, s.own, s.delays = share, hedge.NewAccount(share), hedge.NewDelays(share)
	s.pooled, s.samples = make(map[hedge.Key]pooledDelay), make(map[hedge.Key][]time.Duration)
	s.poolFailures = make(map[string]time.Time)
	s.pool = pool{account: hedge.NewAccount(share), delays: hedge.NewDelays(share)}
}

// IsLimited implements contract.Hedging.
func (s *service) IsLimited() bool { return s.share > 0 }

// pooledDelayAge is how long a pool's delay is used.
const pooledDelayAge = time.Minute

// Begin implements contract.Hedging.
func (s *service) Begin(request contract.HedgeRequest, fallback time.Duration) time.Duration {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Add(now, request.Key.Service, hedge.Tallies{request.Workspace: {Requests: 1}})
	if s.isDepositDue(now, request.Key.Service) {
		s.nextDeposit = now.Add(depositInterval)
		s.workers.Go(func(ctx context.Context) { s.deposit(ctx, request.Key) })
	}
	if delay, isKnown := s.knownDelay(now, request.Key); isKnown {
		return delay
	}
	return fallback
}

// maxSamples bounds the times of responses that are kept for a pool, for each kind of
// request.
const maxSamples = 64

// maxKinds bounds the kinds of requests for which times are kept for a pool.
const maxKinds = 256

// Answered implements contract.Hedging. A daemon that knows too few responses of a kind
// asks the pool of its region for the delay.
func (s *service) Answered(request contract.HedgeRequest, latency time.Duration) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	key := request.Key
	s.delays.Observe(now, key, latency)
	if samples, ok := s.samples[key]; len(samples) < maxSamples && (ok || len(s.samples) < maxKinds) {
		s.samples[key] = append(samples, latency)
	}
	delay, isKnown := s.knownDelay(now, key)
	if isKnown {
		s.delays.RecordZone(key.Service, request.Zone, latency > delay)
	}
	if !isKnown && len(s.samples[key]) >= minLearned && now.After(s.nextLearning) {
		s.nextLearning = now.Add(learnInterval)
		s.workers.Go(func(ctx context.Context) { s.learnDelay(ctx, key) })
	}
}

// minLearned is the number of responses from which their times are given to the pool in
// exchange for its delay.
const minLearned = 2

// knownDelay returns the delay of a kind of requests, and false if too few responses are
// known. The lock must be held.
func (s *service) knownDelay(now time.Time, key hedge.Key) (time.Duration, bool) {
	if delay, isKnown := s.delays.Delay(now, key); isKnown {
		return delay, true
	}
	return s.pooledDelay(now, key)
}

// pooledDelay returns the delay that a pool knows. The lock must be held.
func (s *service) pooledDelay(now time.Time, key hedge.Key) (time.Duration, bool) {
	pooled, ok := s.pooled[key]
	return pooled.delay, ok && now.Sub(pooled.at) < pooledDelayAge
}

// IsZoneSlow implements contract.Hedging.
func (s *service) IsZoneSlow(service structs.ServiceName, zone structs.ZoneName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.IsZoneSlow(service, zone)
}

// Allow implements contract.Hedging.
func (s *service) Allow(ctx context.Context, request contract.HedgeRequest) hedge.Refusal {
	now := s.clock.Now()
	s.mu.Lock()
	s.delays.RecordZone(request.Key.Service, request.Zone, true)
	refusal := s.own.Take(now, request.Key.Service, request.Workspace, request.Key.IsAccepted)
	s.mu.Unlock()
	if refusal != hedge.Allowed {
		refusal = s.askPool(ctx, request, refusal)
	}
	if refusal != hedge.Allowed {
		s.metrics.Count("hedging.refused."+string(refusal), 1)
	}
	return refusal
}
