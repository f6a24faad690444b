package limits

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
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

// TakeCall asks the leader, or its deputy, for one request to a server.
type TakeCall struct {
	Server structs.HostName
	// Limit is the limit that the server named last, in requests a second.
	Limit float64
	// Patience is how long the request may wait.
	Patience time.Duration
	// ToDeputy is set when the caller does not reach the leader.
	ToDeputy bool
}

// TakeReply is the reply to a TakeCall.
type TakeReply struct {
	// HandsOut is false when the daemon that was asked does not hand out requests: it is
	// neither the leader nor its deputy.
	HandsOut bool
	// Taken is set when the request may be sent after Wait. Otherwise there is none
	// before Wait has passed.
	Taken bool
	Wait  time.Duration
}

// Receiver serves net/rpc calls of other daemons.
type Receiver struct{ service *service }

// Take takes one request to a server if this daemon leads, or does so for the leader.
func (r *Receiver) Take(call TakeCall, reply *TakeReply) error {
	*reply = r.service.takeAsLeader(call)
	if !reply.HandsOut && call.ToDeputy {
		ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
		defer cancel()
		*reply = r.service.takeAsDeputy(ctx, call)
	}
	return nil
}

// handout hands out the requests to limited servers while this daemon leads, or is the
// deputy of a leader that it does not reach.
type handout struct {
	mu sync.Mutex
	// role is what this daemon hands out requests as.
	role   handoutRole
	shared *serverlimit.Shared
	// leaderFailedAt is when the leader last did not answer; zero if it did.
	leaderFailedAt time.Time
}

type handoutRole uint8

const (
	roleNone handoutRole = iota
	roleLeader
	roleDeputy
)

// take takes one request in a role. A daemon begins each role with empty buckets,
// because another one may have handed out requests just before.
func (h *handout) take(role handoutRole, now time.Time, call TakeCall) TakeReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role != role {
		h.role, h.shared = role, serverlimit.NewShared()
	}
	wait, taken := h.shared.Take(now, call.Server, call.Limit, call.Patience)
	return TakeReply{HandsOut: true, Taken: taken, Wait: wait}
}

// endRole ends a role, if this daemon has it.
func (h *handout) endRole(role handoutRole) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role == role {
		h.role, h.shared = roleNone, nil
	}
}

func (s *service) takeAsLeader(call TakeCall) TakeReply {
	if _, leads := s.session.Leadership(); !leads {
		s.handout.endRole(roleLeader)
		return TakeReply{}
	}
	return s.handout.take(roleLeader, s.clock.Now(), call)
}

// takeAsDeputy passes the call on to the leader if this daemon reaches it, and otherwise
// takes the leader's place: two daemons hand out requests only while the leader is cut
// off from the caller and its deputy.
func (s *service) takeAsDeputy(ctx context.Context, call TakeCall) TakeReply {
	call.ToDeputy = false
	if reply := s.askLeader(ctx, call); reply.HandsOut {
		s.handout.endRole(roleDeputy)
		return reply
	}
	return s.handout.take(roleDeputy, s.clock.Now(), call)
}

// takeShared takes one request from the daemon that hands them out: the leader or its
// deputy. HandsOut is not set in the reply when neither could be asked.
func (s *service) takeShared(ctx context.Context, call TakeCall) TakeReply {
	if reply := s.takeAsLeader(call); reply.HandsOut {
		return reply
	}
	view := s.session.View().Load()
	deputy, hasDeputy := membership.Deputy(view.Leader, view.Live)
	if hasDeputy && deputy.Name == view.Self.Name {
		return s.takeAsDeputy(ctx, call)
	}
	reply := s.askLeader(ctx, call)
	if reply.HandsOut || !hasDeputy || ctx.Err() != nil {
		return reply
	}
	call.ToDeputy = true
	reply, err := s.ask(ctx, deputy, call, 2*leaderTimeout)
	if err != nil {
		s.log.WithError(err).WithField("daemon", deputy.Name).Info("The leader's deputy hands out no requests to limited servers.")
	}
	return reply
}

// askLeader asks the leader, unless it has just not answered.
func (s *service) askLeader(ctx context.Context, call TakeCall) TakeReply {
	view := s.session.View().Load()
	leader, isLive := view.Live[view.Leader]
	if !isLive || leader.Name == view.Self.Name || s.hasLeaderFailed() {
		return TakeReply{}
	}
	reply, err := s.ask(ctx, leader, call, leaderTimeout)
	if ctx.Err() == nil {
		s.recordLeaderCall(err)
	}
	return reply
}

// ask asks a daemon for one request.
func (s *service) ask(ctx context.Context, member membership.Member, call TakeCall, timeout time.Duration) (TakeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply TakeReply
	err := s.peers.Call(ctx, member.RPCAddress, rpcName+".Take", call, &reply)
	return reply, err
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
		reply := s.takeShared(ctx, call)
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
	if !reply.HandsOut {
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
