// Package paces implements the service "control.paces", which estimates the
// pace of each model engine, the time between two events of its streams.
// Daemons that may own jobs share their estimates: each sends the ones that have
// changed notably since it last sent or received them.
package paces

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/broadcast"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameEnginePaces, func() kernel.Service {
		return &service{engines: make(map[structs.HostName]*engine)}
	})
}

const (
	// rpcName is the name under which the receiver is registered with net/rpc.
	rpcName = "Paces"
	// broadcastDelay is how long changed estimates are collected before they
	// are sent in one message. The items of a step update the estimates of many
	// engines within a second.
	broadcastDelay = 500 * time.Millisecond
	// broadcastTimeout bounds the call to each other daemon.
	broadcastTimeout = time.Second
	// mailboxCapacity bounds the messages that wait for the control loop.
	mailboxCapacity = 1024
)

type service struct {
	kernel.Base
	servers     contract.Servers
	broadcaster broadcast.Broadcaster
	log         *logrus.Entry
	loop        *kernel.Loop
	sightings   *kernel.Mailbox[[]Sighting]

	// The fields below belong to the control goroutine.
	engines map[structs.HostName]*engine
	// broadcastScheduled is set while the timer of the next broadcast runs.
	broadcastScheduled bool
}

// engine holds the pace estimate of one incarnation of a model engine.
type engine struct {
	// started distinguishes the incarnations of an engine.
	started  int64
	estimate placement.PaceEstimate
	// lastSent is the estimate that the other daemons have: the one last sent
	// to them or received from one of them.
	lastSent placement.PaceEstimate
}

var _ contract.EnginePaces = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	s.log, s.loop = ctx.Log(), ctx.Loop()
	s.broadcaster.Workers, s.broadcaster.Log, s.broadcaster.Timeout = ctx.Workers(), ctx.Log(), broadcastTimeout
	err := kernel.FindAll(ctx,
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.broadcaster.Session, contract.NameSession),
		kernel.Bind(&s.broadcaster.Peers, contract.NamePeers),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.sightings = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleSightings)
	return rpc.Register(rpcName, &Receiver{service: s})
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.broadcaster.Workers, s.servers.Entries(), s.handleServers)
	return nil
}

// handleServers removes the engines that are no longer listed.
func (s *service) handleServers(view *contract.ServersView) {
	for id := range s.engines {
		if _, isListed := view.All[id]; !isListed {
			delete(s.engines, id)
		}
	}
}

// engineFor returns the entry of an engine. It starts a new one when the engine
// is unknown or was restarted.
func (s *service) engineFor(id structs.HostName, started int64) *engine {
	e := s.engines[id]
	if e == nil || e.started != started {
		e = &engine{started: started}
		s.engines[id] = e
	}
	return e
}

// RecordSample implements contract.EnginePaces.
func (s *service) RecordSample(server catalog.Server, sample placement.PaceSample) {
	e := s.engineFor(server.ID, server.Started)
	e.estimate.AddSample(sample, s.loop.Now())
	if e.estimate.DiffersFrom(e.lastSent) && !s.broadcastScheduled {
		s.broadcastScheduled = true
		s.loop.AfterFunc(broadcastDelay, s.broadcastChanges)
	}
}

// Estimate implements contract.EnginePaces.
func (s *service) Estimate(server catalog.Server) (pace, best time.Duration) {
	e := s.engines[server.ID]
	if e == nil || e.started != server.Started {
		return 0, 0
	}
	return e.estimate.At(s.loop.Now()), e.estimate.Best
}

// Sighting is a daemon's estimate of an engine's pace, as sent to the other
// daemons. The names of its fields are part of the messages.
type Sighting struct {
	Server structs.HostName
	// Started distinguishes the incarnations of the engine.
	Started int64
	// Best is the shortest mean time between events of a run so far; zero means
	// unknown.
	Best time.Duration
	// Recent is the time between events of the newest runs; zero means unknown.
	Recent time.Duration
}

// broadcastChanges sends the estimates that have changed notably to the other
// daemons.
func (s *service) broadcastChanges() {
	s.broadcastScheduled = false
	var sightings []Sighting
	for id, e := range s.engines {
		if !e.estimate.DiffersFrom(e.lastSent) {
			continue
		}
		e.lastSent = e.estimate
		sightings = append(sightings, Sighting{Server: id, Started: e.started, Best: e.estimate.Best, Recent: e.estimate.Recent})
		s.log.WithFields(logrus.Fields{
			"server": id, "best_ms": e.estimate.Best.Milliseconds(), "recent_ms": e.estimate.Recent.Milliseconds(),
		}).Info("Engine pace changed.")
	}
	if len(sightings) > 0 {
		s.broadcaster.NotifyJobHosts(rpcName+".Seen", sightings)
	}
}

// Receiver serves the calls of other daemons under the name Paces.
type Receiver struct{ service *service }

// Seen queues the estimates of another daemon for the control goroutine. It
// fails when the mailbox is full.
func (r *Receiver) Seen(sightings []Sighting, _ *struct{}) error {
	return r.service.sightings.Post(sightings)
}

// handleSightings merges the estimates of another daemon on the control
// goroutine. It does not send them on, because their sender broadcasts them to
// all daemons.
func (s *service) handleSightings(sightings []Sighting) {
	for _, sighting := range sightings {
		e := s.engineFor(sighting.Server, sighting.Started)
		e.estimate.Merge(placement.PaceEstimate{Best: sighting.Best, Recent: sighting.Recent}, s.loop.Now())
		e.lastSent = e.estimate
	}
}
