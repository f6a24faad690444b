// Package duties implements the service "control.duties": it makes the calls of the
// platform's singleton duties on the daemon that holds them, which is the leader of the
// session. Without such duties it does nothing.
package duties

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/duty"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/tokenbucket"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameDuties, func() kernel.Service { return &service{} })
}

const (
	// callTimeout bounds a call. A response that takes longer is not worth waiting for:
	// the call is repeated.
	callTimeout = 2 * time.Second
	// checkInterval is the pause between two checks of the own leadership by the control
	// goroutine, while this daemon is listed as the leader.
	checkInterval = 500 * time.Millisecond
	// rateFraction is the part of the platform's rate that the holder uses, so that calls
	// which arrive late together keep to it too.
	rateFraction = 0.8
	// minCallsPerSecond is assumed where the platform names no rate.
	minCallsPerSecond = 1
	// burstTime is the time for which calls may be saved up.
	burstTime = 100 * time.Millisecond
)

type service struct {
	kernel.Base
	settings outside.DutySettings
	rules    duty.Rules
	host     string
	calls    outside.DutyCalls
	session  contract.Session
	peers    contract.Peers
	metrics  contract.Metrics
	log      *logrus.Entry
	loop     *kernel.Loop
	workers  *kernel.Workers
	executor *kernel.LoopExecutor
	view     *kernel.Snapshot[contract.DutiesView]
	reach    reachability

	// listed and checkTimer belong to the control goroutine: the leader in the session
	// view, and the timer of the next check.
	listed     *contract.SessionView
	checkTimer *kernel.Timer

	mu sync.Mutex
	// tenure is nil until this daemon has held the duties.
	tenure *duty.Tenure
	bucket tokenbucket.Bucket
	// inFlight holds the subjects with a call in flight. The channel is closed when the
	// call ends.
	inFlight map[duty.Subject]chan struct{}
	// isStopped is set when no further call may begin.
	isStopped bool
}

var _ contract.Duties = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.settings, s.host = daemon.Platform.Duties, string(daemon.Host)
	s.rules = duty.Rules{HolderLease: s.settings.HolderLease, ChecksFencing: s.settings.ChecksFencing, CallTimeout: callTimeout}
	s.inFlight = make(map[duty.Subject]chan struct{})
	s.view = kernel.NewSnapshot(&contract.DutiesView{})
	s.log, s.loop, s.workers = ctx.Log(), ctx.Loop(), ctx.Workers()
	var rpc contract.RPCServer
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&rpc, contract.NameRPCServer),
	)
	if err != nil || !s.hasDuties() {
		return err
	}
	s.calls = platform.DutyCalls{Address: s.settings.Address, Transport: newTransport()}
	s.executor = kernel.NewLoopExecutor(s.loop)
	return rpc.Register(rpcName, &Receiver{address: s.settings.Address})
}

// hasDuties reports whether the deployment has any duty.
func (s *service) hasDuties() bool {
	return s.settings.Address != "" && (s.settings.ReportsUsage || s.settings.ScalesFleet)
}

// Start implements kernel.Service.
func (s *service) Start() error {
	if s.hasDuties() {
		kernel.Subscribe(s.loop, s.workers, s.session.View(), func(view *contract.SessionView) {
			s.listed = view
			s.follow()
		})
	}
	return nil
}

// Stop implements kernel.Service. It waits for the calls in flight, so that none arrives
// after the session has given up the leadership.
func (s *service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.isStopped = true
	var open []chan struct{}
	for _, ended := range s.inFlight {
		open = append(open, ended)
	}
	s.mu.Unlock()
	for _, ended := range open {
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// View implements contract.Duties.
func (s *service) View() *kernel.Snapshot[contract.DutiesView] { return s.view }

// Holds implements contract.Duties.
func (s *service) Holds() bool {
	tenure := s.currentTenure()
	return tenure != nil && tenure.MayCall(boottime.Now())
}

// currentTenure returns the tenure of this daemon, which begins when it first finds
// itself to be the leader; nil if it is not. The rights of a tenure only shrink while
// it lasts, but its history is protected by the lock.
func (s *service) currentTenure() *duty.Tenure {
	token, holds := s.session.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !holds || s.isStopped {
		return nil
	}
	if s.tenure == nil || s.tenure.Token != token {
		s.tenure = s.rules.NewTenure(token, boottime.Now())
		rate := rateFraction * max(s.settings.CallsPerSecond, minCallsPerSecond)
		// The earlier holder may just have used the platform's rate up.
		s.bucket = tokenbucket.NewFull(time.Now(), rate, 0)
		s.bucket.SetRate(time.Now(), rate, tokenbucket.Capacity(rate, burstTime, 1))
	}
	return s.tenure
}

// follow publishes who holds the duties. It runs on the control goroutine.
func (s *service) follow() {
	s.loop.CancelTimer(s.checkTimer)
	s.checkTimer = nil
	before := s.view.Load()
	next := *before
	if holder := membership.HostOf(s.listed.Leader); holder != before.Holder || s.listed.FencingToken != before.FencingToken {
		next = contract.DutiesView{Holder: holder, FencingToken: s.listed.FencingToken, Since: s.loop.Now()}
	}
	next.IsSelf = false
	if s.listed.Leader != "" && s.listed.Leader == s.listed.Self.Name {
		tenure := s.currentTenure()
		next.IsSelf = tenure != nil && tenure.Token == next.FencingToken && tenure.MayCall(boottime.Now())
		s.checkTimer = s.loop.AfterFunc(checkInterval, s.follow)
	}
	if next == *before {
		return
	}
	s.view.Publish(&next)
	s.metrics.Gauge("duties.is_holder", asGauge(next.IsSelf))
	if next.IsSelf || before.IsSelf || next.Holder != before.Holder {
		s.log.WithFields(logrus.Fields{"holder": next.Holder, "token": next.FencingToken, "is_self": next.IsSelf}).Info("Holder of the duties changed.")
	}
}

func asGauge(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
