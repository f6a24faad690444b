package hedging

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// rpcName is the name under which the receiver is registered with net/rpc.
	rpcName = "Hedging"
	// ownPoolTimeout bounds a call to the pool of the own region, which answers in some
	// milliseconds, and poolTimeout a call to another one. A hedge that waits longer is
	// worth little.
	ownPoolTimeout = 50 * time.Millisecond
	poolTimeout    = 150 * time.Millisecond
	// poolRetryDelay is how long a pool that did not answer is not asked for a hedge.
	poolRetryDelay = time.Second
	// maxPoolsAsked is how many pools are asked for one hedge.
	maxPoolsAsked = 2
	// A daemon with at least minDeposit requests to a service gives depositPart of its
	// counts to the pools, each minDepositInterval while daemons are refused hedges there,
	// and each depositInterval otherwise.
	minDeposit         = 40
	depositPart        = 0.5
	minDepositInterval = 5 * time.Second
	depositInterval    = 30 * time.Second
	// learnInterval is the shortest time between two questions for a delay.
	learnInterval = 2 * time.Second
)

// TakeCall asks a pool for a hedge, and gives it counts of the caller's requests and the
// times of responses. A pool has only what it was given, so that all pools together stay
// within the limit, whichever daemons are pools.
type TakeCall struct {
	Request contract.HedgeRequest
	Tallies hedge.Tallies
	Samples []time.Duration
	// IsDeposit is set if the caller does not ask for a hedge.
	IsDeposit bool
}

// TakeReply is the reply to a TakeCall.
type TakeReply struct {
	Refusal hedge.Refusal
	// WantsDeposits is set if daemons have asked for more hedges than they may have.
	WantsDeposits bool
	// Delay is the delay after which a request of the kind is slow; zero if the pool
	// knows too few responses.
	Delay time.Duration
}

// Receiver serves net/rpc calls of other daemons.
type Receiver struct{ service *service }

// Take decides on a hedge of another daemon.
func (r *Receiver) Take(call TakeCall, reply *TakeReply) error {
	if r.service.IsLimited() {
		*reply = r.service.takeFromPool(call)
	} else {
		reply.Refusal = hedge.RefusedByService
	}
	return nil
}

// pool is what daemons have given to this one.
type pool struct {
	mu      sync.Mutex
	account *hedge.Account
	delays  *hedge.Delays
	// refusedAt is when a hedge was refused last.
	refusedAt time.Time
}

func (s *service) takeFromPool(call TakeCall) TakeReply {
	now := s.clock.Now()
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	key := call.Request.Key
	s.pool.account.Add(now, key.Service, call.Tallies)
	for _, sample := range call.Samples[:min(len(call.Samples), maxSamples)] {
		s.pool.delays.Observe(now, key, sample)
	}
	var reply TakeReply
	if !call.IsDeposit {
		reply.Refusal = s.pool.account.Take(now, key.Service, call.Request.Workspace, key.IsAccepted)
		s.metrics.Gauge("hedging.pool_permille."+string(key.Service), int64(1000*s.pool.account.Share(now, key.Service)))
	}
	if reply.Refusal != hedge.Allowed {
		s.pool.refusedAt = now
	}
	reply.Delay, _ = s.pool.delays.Delay(now, key)
	reply.WantsDeposits = now.Sub(s.pool.refusedAt) < depositInterval
	return reply
}

// pools returns the daemons that are pools: the first of each region, that of the own
// region first.
func (s *service) pools() []membership.Member {
	var others, own []membership.Member
	seen := make(map[structs.RegionName]bool)
	for _, first := range membership.ZoneFirsts(s.session.View().Load().Live) {
		region := s.regions[first.Zone]
		switch {
		case seen[region]:
		case region == s.region:
			own = append(own, first)
		default:
			others = append(others, first)
		}
		seen[region] = true
	}
	return append(own, others...)
}

// askPool asks the pool of the own region, or else that of another one, for a hedge that
// this daemon's own requests do not allow for the given reason.
func (s *service) askPool(ctx context.Context, request contract.HedgeRequest, refusal hedge.Refusal) hedge.Refusal {
	asked := 0
	for _, pool := range s.pools() {
		if asked == maxPoolsAsked || ctx.Err() != nil {
			break
		}
		if s.hasPoolFailed(pool.Name) {
			continue
		}
		asked++
		reply, err := s.call(ctx, pool, s.newCall(request, 1))
		if err == nil {
			return reply.Refusal
		}
		if ctx.Err() == nil {
			s.recordPoolFailure(pool.Name, err)
		}
		refusal = hedge.RefusedByNoResponse
	}
	return refusal
}

// call calls a pool. The counts of the call stay with this daemon if the pool certainly has
// not got them.
func (s *service) call(ctx context.Context, pool membership.Member, call TakeCall) (TakeReply, error) {
	if pool.Name == s.session.View().Load().Self.Name {
		return s.takeFromPool(call), nil
	}
	timeout := poolTimeout
	if s.regions[pool.Zone] == s.region {
		timeout = ownPoolTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply TakeReply
	err := s.peers.Call(ctx, pool.RPCAddress, rpcName+".Take", call, &reply)
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && reply.Delay > 0:
		s.pooled[call.Request.Key] = pooledDelay{delay: reply.Delay, at: now}
	case err != nil && result.OutcomeOf(err) == result.NotRun:
		s.own.Add(now, call.Request.Key.Service, call.Tallies)
	}
	return reply, err
}

// isDepositDue reports whether this daemon should give counts of a service to the pools.
// The lock must be held.
func (s *service) isDepositDue(now time.Time, service structs.ServiceName) bool {
	return now.After(s.nextDeposit) && s.own.Requests(now, service) >= minDeposit
}

// deposit gives a part of this daemon's counts to the pools, in equal parts, for daemons
// that have too few requests of their own.
func (s *service) deposit(ctx context.Context, key hedge.Key) {
	pools := s.pools()
	left := depositPart
	for _, member := range pools {
		part := depositPart / float64(len(pools))
		call := s.newCall(contract.HedgeRequest{Key: key}, part/(1-depositPart+left))
		left -= part
		call.IsDeposit = true
		if reply, err := s.call(ctx, member, call); err == nil && reply.WantsDeposits {
			s.mu.Lock()
			s.nextDeposit = s.clock.Now().Add(minDepositInterval)
			s.mu.Unlock()
		}
	}
}

// learnDelay gives the times of responses to the pool of the own region in exchange for the
// delay that it knows.
func (s *service) learnDelay(ctx context.Context, key hedge.Key) {
	pools := s.pools()
	if len(pools) == 0 {
		return
	}
	call := s.newCall(contract.HedgeRequest{Key: key}, 0)
	call.IsDeposit = true
	if _, err := s.call(ctx, pools[0], call); err != nil {
		s.log.WithError(err).Debug("The usual time of responses could not be asked for.")
	}
}

// newCall returns a call with a part of this daemon's counts, and with the times that no
// pool has got.
func (s *service) newCall(request contract.HedgeRequest, part float64) TakeCall {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	call := TakeCall{Request: request, Samples: s.samples[request.Key]}
	if part > 0 {
		call.Tallies = s.own.Split(now, request.Key.Service, part)
	}
	delete(s.samples, request.Key)
	return call
}

// hasPoolFailed reports whether a pool has just not answered.
func (s *service) hasPoolFailed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	failedAt, hasFailed := s.poolFailures[name]
	return hasFailed && s.clock.Since(failedAt) < poolRetryDelay
}

func (s *service) recordPoolFailure(name string, err error) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.poolFailures, func(_ string, failedAt time.Time) bool { return now.Sub(failedAt) >= poolRetryDelay })
	s.poolFailures[name] = now
	s.log.WithError(err).WithField("daemon", name).Info("A pool of hedged requests does not answer.")
}
