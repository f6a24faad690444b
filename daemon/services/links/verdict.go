package links

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/reach"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	// checkInterval is how often open exchanges are checked for silence.
	checkInterval = 150 * time.Millisecond
	// silenceTimeout is how long all servers must be silent before those with open
	// exchanges count as failed. A round trip between regions takes 60 ms.
	silenceTimeout = 300 * time.Millisecond
	// probedServers is the number of servers that are probed in a round.
	probedServers = 4
	// probeTimeout bounds a probe, and probeInterval is the pause between rounds while
	// this daemon is cut off.
	probeTimeout  = 400 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// resignDelay is how long this daemon must be cut off before it resigns as the
	// leader. No order of its own can then be on the way beside those of a successor.
	resignDelay = 3 * time.Second
)

// scheduleCheck checks the open exchanges after checkInterval.
func (s *service) scheduleCheck() { s.loop.AfterFunc(checkInterval, s.checkSilence) }

// checkSilence counts servers as failed that sent nothing for silenceTimeout, if no other
// server sent anything either.
func (s *service) checkSilence() {
	open := s.openExchanges()
	if len(open) == 0 {
		s.isChecking.Store(false)
		// An exchange may have begun before the flag was cleared.
		if len(s.openExchanges()) == 0 || s.isChecking.Swap(true) {
			return
		}
	}
	s.scheduleCheck()
	oldest := s.loop.Now().Add(-silenceTimeout).UnixNano()
	if s.lastReceived.Load() > oldest {
		return
	}
	for _, e := range open {
		if e.lastReceived.Load() <= oldest {
			s.recordFailure(e.Server)
		}
	}
}

// recordFailure records the failure of a server on the control goroutine.
func (s *service) recordFailure(server structs.HostName) {
	if !s.detector.RecordFailure(s.loop.Now(), server, len(s.listedServers())) {
		return
	}
	s.log.WithField("server", server).Info("Several servers failed at once; probing others.")
	s.metrics.Count("links.suspected", 1)
	s.publish()
	s.probe()
}

// reportReached records that a new connection to a server was established.
func (s *service) reportReached() {
	s.lastReceived.Store(time.Now().UnixNano())
	// The evidence is a hint; a loop that is too busy to take it has other evidence.
	_ = s.reached.Post(struct{}{}, struct{}{})
}

func (s *service) publish() {
	s.view.Publish(&contract.ServerLinksView{State: s.detector.State()})
	s.metrics.Gauge("links.state", int64(s.detector.State()))
}

// listedServers returns the servers that may get new work.
func (s *service) listedServers() []catalog.Server {
	return slices.Concat(slices.Collect(func(yield func([]catalog.Server) bool) {
		for _, servers := range s.servers.Entries().Load().ByService {
			if !yield(servers) {
				return
			}
		}
	})...)
}

// probeRound is the result of probing some servers at once.
type probeRound struct{ probed, reached int }

// probe tries to connect to some servers. The round ends with the first one that is
// reached.
func (s *service) probe() {
	servers := s.listedServers()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	servers = servers[:min(probedServers, len(servers))]
	kernel.RunAsync(s.workers, probeTimeout, s.probeRounds, func(ctx context.Context) (probeRound, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		var reached atomic.Int64
		var group conc.WaitGroup
		for _, server := range servers {
			group.Go(func() {
				if s.connect(ctx, server.Address) == nil {
					reached.Add(1)
					cancel()
				}
			})
		}
		group.Wait()
		return probeRound{probed: len(servers), reached: int(reached.Load())}, nil
	})
}

// connect opens a connection to a server and closes it.
func (s *service) connect(ctx context.Context, address string) error {
	dial := s.config.Platform.DialServer
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// handleProbes applies a round of probes on the control goroutine.
func (s *service) handleProbes(reply kernel.AsyncResult[probeRound]) {
	now, round := s.loop.Now(), reply.Value
	hasChanged := s.detector.RecordProbes(now, round.probed, round.reached)
	state := s.detector.State()
	entry := s.log.WithFields(logrus.Fields{"probed": round.probed, "reached": round.reached, "state": state.String()})
	switch {
	case hasChanged && state == reach.CutOff:
		entry.Warn("Cut off from all servers; requests go through other daemons.")
		s.metrics.Count("links.cut_off", 1)
		s.cutOffAt = now
		s.linkFailures.SetLinksDown(true)
	case hasChanged:
		entry.WithField("after_ms", now.Sub(s.cutOffAt).Milliseconds()).Info("Servers are reached directly again.")
		s.linkFailures.SetLinksDown(false)
		s.session.SetMayLead(true)
	case state == reach.Reachable:
		entry.Info("The links to the servers are up.")
	}
	s.publish()
	if state != reach.CutOff {
		return
	}
	if hasChanged {
		s.abandonSilent()
		s.loop.AfterFunc(silenceTimeout, s.abandonSilent)
	}
	if now.Sub(s.cutOffAt) >= resignDelay {
		s.session.SetMayLead(false)
	}
	s.loop.AfterFunc(probeInterval, func() { s.probe() })
}

// abandonSilent ends the direct exchanges that cannot be expected to end by themselves: a
// request that waits for a connection was not sent, and one that may be repeated goes
// another way. Others may still get their response.
func (s *service) abandonSilent() {
	if s.detector.State() != reach.CutOff {
		return
	}
	oldest := s.loop.Now().Add(-silenceTimeout).UnixNano()
	for _, e := range s.openExchanges() {
		if !e.isConnected.Load() || e.Repeatable && e.lastReceived.Load() <= oldest {
			e.cancel(errCutOff)
		}
	}
}
