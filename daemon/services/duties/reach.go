package duties

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
)

const (
	// rpcName is the name under which the receiver is registered with net/rpc.
	rpcName = "Duties"
	// failuresBeforeCheck is how many connections in a row must fail before other daemons
	// are asked whether they reach the platform.
	failuresBeforeCheck = 2
	// probeTimeout bounds the question to another daemon, and its connection.
	probeTimeout = time.Second
	// yieldTime is how long a daemon that is cut off from the platform leaves the duties
	// to others.
	yieldTime = 30 * time.Second
)

// ReachReply says whether a daemon reaches the platform. It crosses net/rpc. The type name
// is part of the gob encoding.
type ReachReply struct {
	Reached bool
}

// Receiver serves the calls of other daemons under the name Duties.
type Receiver struct{ address string }

// Reaches reports whether this daemon can open a connection to the platform.
func (r *Receiver) Reaches(_ struct{}, reply *ReachReply) error {
	conn, err := net.DialTimeout("tcp", r.address, dialTimeout)
	if err == nil {
		reply.Reached = true
		_ = conn.Close()
	}
	return nil
}

// reachability counts the connections to the platform that failed in a row.
type reachability struct {
	mu         sync.Mutex
	failures   int
	isChecking bool
}

func (r *reachability) succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
}

// beginCheck counts a failure and reports whether other daemons are to be asked.
func (r *reachability) beginCheck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
	if r.failures < failuresBeforeCheck || r.isChecking {
		return false
	}
	r.isChecking = true
	return true
}

func (r *reachability) endCheck() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isChecking, r.failures = false, 0
}

// checkReach hands the duties over if the platform is reached by another daemon, but not
// by this one. While nobody reaches it, this daemon keeps them.
func (s *service) checkReach() {
	if !s.reach.beginCheck() {
		return
	}
	s.workers.Go(func(ctx context.Context) {
		defer s.reach.endCheck()
		view := s.session.View().Load()
		for _, member := range membership.ZoneFirsts(view.Live) {
			if member.Name == view.Self.Name || !s.isReachedFrom(ctx, member) {
				continue
			}
			s.yield(yieldTime, "The platform is reached by other daemons only.")
			return
		}
	})
}

// yield hands the duties over and leaves them to other daemons for a time.
func (s *service) yield(pause time.Duration, reason string) {
	s.log.WithFields(logrus.Fields{"reason": reason, "pause": pause.String()}).Warn("Handing the duties over.")
	s.metrics.Count("duties.yielded", 1)
	s.workers.Go(func(ctx context.Context) {
		if err := s.executor.Do(ctx, func() { s.session.YieldLeadership(pause) }); err != nil {
			s.log.WithError(err).Warn("Could not hand the duties over.")
		}
	})
}

// isReachedFrom asks another daemon whether it reaches the platform.
func (s *service) isReachedFrom(ctx context.Context, member membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply ReachReply
	if err := s.peers.Call(ctx, member.RPCAddress, rpcName+".Reaches", struct{}{}, &reply); err != nil {
		s.log.WithError(err).WithField("daemon", member.Name).Info("A daemon did not say whether it reaches the platform.")
		return false
	}
	return reply.Reached
}
