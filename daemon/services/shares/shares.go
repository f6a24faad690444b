// Package shares is the service "traffic.shares". While services cannot take all requests
// at once, daemons report to the leader what workspaces ask of them, and get back the part
// that each workspace is due by what is asked at all daemons. The control goroutine owns
// its state; nothing is sent while services have room, nor in a deployment without
// workspaces.
package shares

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameShares, func() kernel.Service {
		return &service{pool: limit.NewPool(), divisionUntil: make(map[structs.ServiceName]time.Time)}
	})
}

const (
	// rpcName is the receiver's name in net/rpc.
	rpcName = "Shares"
	// minReportInterval is the shortest time between two reports of a daemon, and
	// reportSpacing is added for each live daemon, so that the leader of a large
	// deployment is not flooded.
	minReportInterval = time.Second
	reportSpacing     = 10 * time.Millisecond
	// reportsKept is for how many intervals a report, or the leader's reply, is used.
	reportsKept = 3
	// callTimeout bounds the call to the leader, which may be in another region.
	callTimeout = 500 * time.Millisecond
	// maxReported bounds the workspaces of one service in a report. Those that ask most
	// matter for the division.
	maxReported = 64
)

type service struct {
	kernel.Base
	log          *logrus.Entry
	metrics      contract.Metrics
	session      contract.Session
	catalog      contract.Catalog
	servers      contract.Servers
	admissions   contract.Admissions
	peers        contract.Peers
	loop         *kernel.Loop
	workers      *kernel.Workers
	loopExecutor *kernel.LoopExecutor
	replies      *kernel.Mailbox[DivideReply]

	// The following fields belong to the control goroutine.
	pool *limit.Pool
	// divisionUntil is until when the leader's last reply is used for a service.
	divisionUntil map[structs.ServiceName]time.Time
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	err := kernel.FindAll(ctx,
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.admissions, contract.NameBalance),
		kernel.Bind(&s.peers, contract.NamePeers),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.log, s.loop, s.workers, s.loopExecutor = ctx.Log(), ctx.Loop(), ctx.Workers(), kernel.NewLoopExecutor(ctx.Loop())
	s.replies = kernel.NewMailbox(s.loop, 1, s.applyReply)
	s.loop.AfterFunc(minReportInterval, s.tick)
	return rpc.Register(rpcName, &Receiver{service: s})
}

// interval returns the time between two reports of a daemon.
func (s *service) interval() time.Duration {
	return max(minReportInterval, time.Duration(len(s.session.View().Load().Live))*reportSpacing)
}

// tick reports what is asked of services that could not take all requests at once.
func (s *service) tick() {
	s.loop.AfterFunc(s.interval(), s.tick)
	now := s.loop.Now()
	for name, until := range s.divisionUntil {
		if now.After(until) {
			delete(s.divisionUntil, name)
			s.admissions.SetDivision(name, limit.Division{})
		}
	}
	current := s.catalog.Current().Load().Catalog
	if current == nil || current.Access == nil {
		return
	}
	if pressed := s.admissions.TakePressed(); len(pressed) > 0 {
		s.report(DivideCall{Daemon: s.session.View().Load().Self.Name, Demands: largest(pressed)})
	}
}

// report reports to the leader, which may be this daemon. Without a leader this daemon goes
// by what it sees itself.
func (s *service) report(call DivideCall) {
	view := s.session.View().Load()
	leader, isLive := view.Live[view.Leader]
	if !isLive {
		return
	}
	s.metrics.Count("shares.reports", 1)
	if leader.Name == view.Self.Name {
		s.applyReply(s.divide(call))
		return
	}
	s.workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply DivideReply
		err := s.peers.Call(ctx, leader.RPCAddress, rpcName+".Divide", call, &reply)
		if err == nil {
			err = s.replies.Post(reply)
		}
		if err != nil {
			s.log.WithError(err).WithField("leader", leader.Name).Info("The leader does not divide full services; going by this daemon's requests.")
		}
	})
}

func (s *service) applyReply(reply DivideReply) {
	until := s.loop.Now().Add(reportsKept * s.interval())
	for name, division := range reply.Divisions {
		s.admissions.SetDivision(name, division)
		s.divisionUntil[name] = until
	}
}

// divide records a report and divides the services that it names.
func (s *service) divide(call DivideCall) DivideReply {
	now := s.loop.Now()
	s.pool.Record(call.Daemon, now.UnixNano(), now.Add(-reportsKept*s.interval()).UnixNano(), call.Demands)
	reply := DivideReply{Divisions: make(map[structs.ServiceName]limit.Division)}
	servers := s.servers.Entries().Load().ByService
	for name := range call.Demands {
		places := 0
		for _, server := range servers[name] {
			places += server.Slots
		}
		division := s.pool.Divide(call.Daemon, name, float64(places))
		reply.Divisions[name] = division
		s.log.WithFields(logrus.Fields{
			"service": name, "places": places, "workspaces": len(division.Due), "daemon": call.Daemon, "part": division.Places,
		}).Info("A full service is divided among workspaces.")
	}
	return reply
}
