package limits

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/serverlimit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/tokenbucket"
)

const (
	// rpcName is the name under which the receiver is registered with net/rpc.
	rpcName = "Limits"
	// leaderTimeout bounds the call to the leader: a few round trips between regions.
	leaderTimeout = 250 * time.Millisecond
	// leaderRetryDelay is how long a leader that did not answer is not asked again.
	leaderRetryDelay = time.Second
)

// handout hands out the requests to limited servers while this daemon leads.
type handout struct {
	mu sync.Mutex
	// isLeading is set while this daemon is known to lead.
	isLeading bool
	shared    *serverlimit.Shared
	// leaderFailedAt is when the leader last did not answer; zero if it did.
	leaderFailedAt time.Time
}

// TakeCall asks the leader for one request to a server.
type TakeCall struct {
	Server structs.HostName
	// Limit is the limit that the server named last, in requests a second.
	Limit float64
	// Patience is how long the request may wait.
	Patience time.Duration
}

// TakeReply is the reply to a TakeCall.
type TakeReply struct {
	// Leads is false when the daemon that was asked does not lead.
	Leads bool
	// Taken is set when the request may be sent after Wait. Otherwise there is none
	// before Wait has passed.
	Taken bool
	Wait  time.Duration
}

// Receiver serves net/rpc calls of other daemons.
type Receiver struct{ service *service }

// Take takes one request to a server if this daemon leads.
func (r *Receiver) Take(call TakeCall, reply *TakeReply) error {
	*reply = r.service.takeAsLeader(call)
	return nil
}

// takeAsLeader takes one request if this daemon leads. A daemon that begins to lead
// begins with empty buckets, because the leader before it may just have handed out
// requests.
func (s *service) takeAsLeader(call TakeCall) TakeReply {
	_, leads := s.session.Leadership()
	s.handout.mu.Lock()
	defer s.handout.mu.Unlock()
	if !leads {
		s.handout.isLeading = false
		return TakeReply{}
	}
	if !s.handout.isLeading {
		s.handout.isLeading, s.handout.shared = true, serverlimit.NewShared()
	}
	wait, taken := s.handout.shared.Take(s.clock.Now(), call.Server, call.Limit, call.Patience)
	return TakeReply{Leads: true, Taken: taken, Wait: wait}
}

// takeFromLeader asks the leader for one request. The reply does not say that the
// daemon leads when it could not be asked.
func (s *service) takeFromLeader(ctx context.Context, call TakeCall) TakeReply {
	if reply := s.takeAsLeader(call); reply.Leads {
		return reply
	}
	view := s.session.View().Load()
	leader, isLive := view.Live[view.Leader]
	if !isLive || leader.Name == view.Self.Name || s.hasLeaderFailed() {
		return TakeReply{}
	}
	callCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var reply TakeReply
	err := s.peers.Call(callCtx, leader.RPCAddress, rpcName+".Take", call, &reply)
	if ctx.Err() == nil {
		s.recordLeaderCall(err)
	}
	return reply
}

func (s *service) hasLeaderFailed() bool {
	s.handout.mu.Lock()
	defer s.handout.mu.Unlock()
	return !s.handout.leaderFailedAt.IsZero() && s.clock.Since(s.handout.leaderFailedAt) < leaderRetryDelay
}

func (s *service) recordLeaderCall(err error) {
	s.handout.mu.Lock()
	defer s.handout.mu.Unlock()
	s.handout.leaderFailedAt = time.Time{}
	if err != nil {
		s.handout.leaderFailedAt = s.clock.Now()
		s.log.WithError(err).Info("The leader hands out no requests to limited servers.")
	}
}

// Acquire implements contract.ServerLimits.
func (s *service) Acquire(ctx context.Context, server structs.HostName, patience time.Duration) error {
	if s.limitedCount.Load() == 0 {
		return nil
	}
	limit, exhausted, isLimited := s.limitOf(server)
	if !isLimited {
		return nil
	}
	wait, taken := exhausted, false
	if wait <= patience {
		call := TakeCall{Server: server, Limit: limit, Patience: patience}
		reply := s.takeFromLeader(ctx, call)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait, taken = s.settle(call, reply)
	}
	if !taken {
		s.metrics.Count("limits.refused", 1)
		err := result.New(result.Overloaded, "server %s takes %.1f requests a second", server, limit)
		err.RetryAfter = wait
		return err
	}
	s.metrics.Count("limits.acquired", 1)
	if wait == 0 {
		return nil
	}
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HasRoom implements contract.ServerLimits.
func (s *service) HasRoom(server structs.HostName) bool {
	if s.limitedCount.Load() == 0 {
		return true
	}
	_, exhausted, isLimited := s.limitOf(server)
	return !isLimited || exhausted == 0
}

// limitOf returns the limit of a server, the time until it takes a request, as far as
// that is known, and whether it names a limit.
func (s *service) limitOf(server structs.HostName) (float64, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.limited[server]
	if known == nil {
		return 0, 0, false
	}
	return known.limit, max(0, known.exhaustedUntil.Sub(s.clock.Now())), true
}

// settle applies the leader's reply. Without one the request is taken from this
// daemon's own part of the limit.
func (s *service) settle(call TakeCall, reply TakeReply) (time.Duration, bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.limited[call.Server]
	if known == nil {
		return 0, true
	}
	if !reply.Leads {
		wait, taken := serverlimit.TakeOwn(&known.own, now, call.Limit, len(s.session.View().Load().Live), call.Patience)
		s.log.WithFields(logrus.Fields{"server": call.Server, "taken": taken, "wait_ms": wait.Milliseconds()}).
			Info("Request to a limited server without the leader.")
		return wait, taken
	}
	known.own = tokenbucket.Bucket{}
	if !reply.Taken {
		known.exhaustedUntil = now.Add(reply.Wait)
	}
	return reply.Wait, reply.Taken
}
