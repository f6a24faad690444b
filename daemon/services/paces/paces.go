// Package paces is the service "control.paces": it keeps how fast the model
// engines are, as the runs of all daemons show it. A daemon tells the others when
// it has seen something new.
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
	// rpcName is the receiver's name in net/rpc.
	rpcName = "Paces"
	// gather is how long news gathers before it is told: a step's items show the
	// paces of many engines within a second.
	gather = 500 * time.Millisecond
	// tellWithin bounds a call that tells another daemon.
	tellWithin = time.Second
	// mailboxCapacity bounds the messages that wait for the control loop.
	mailboxCapacity = 1024
)

type service struct {
	kernel.Base
	servers contract.Servers
	others  broadcast.Broadcaster
	log     *logrus.Entry
	loop    *kernel.Loop
	heard   *kernel.Mailbox[[]Sighting]

	// What follows belongs to the control goroutine.
	engines  map[structs.HostName]*engine
	isTiming bool
}

// engine is what is known of an engine's pace.
type engine struct {
	started int64
	speed   placement.PaceEstimate
	// told is what the other daemons know of it.
	told placement.PaceEstimate
}

var _ contract.EnginePaces = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	s.log, s.loop = ctx.Log(), ctx.Loop()
	s.others.Workers, s.others.Log, s.others.Timeout = ctx.Workers(), ctx.Log(), tellWithin
	err := kernel.FindAll(ctx,
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.others.Session, contract.NameSession),
		kernel.Bind(&s.others.Peers, contract.NamePeers),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.heard = kernel.NewMailbox(s.loop, mailboxCapacity, s.hear)
	return rpc.Register(rpcName, &Receiver{service: s})
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.others.Workers, s.servers.Entries(), s.serversChanged)
	return nil
}

// serversChanged forgets engines that are gone.
func (s *service) serversChanged(view *contract.ServersView) {
	for id := range s.engines {
		if _, isListed := view.All[id]; !isListed {
			delete(s.engines, id)
		}
	}
}

func (s *service) engine(id structs.HostName, started int64) *engine {
	known := s.engines[id]
	if known == nil || known.started != started {
		known = &engine{started: started}
		s.engines[id] = known
	}
	return known
}

// RecordSample implements contract.EnginePaces.
func (s *service) RecordSample(server catalog.Server, sample placement.PaceSample) {
	known := s.engine(server.ID, server.Started)
	known.speed.AddSample(sample, s.loop.Now())
	if known.speed.DiffersFrom(known.told) && !s.isTiming {
		s.isTiming = true
		s.loop.AfterFunc(gather, s.tell)
	}
}

// Estimate implements contract.EnginePaces.
func (s *service) Estimate(server catalog.Server) (pace, best time.Duration) {
	known := s.engines[server.ID]
	if known == nil || known.started != server.Started {
		return 0, 0
	}
	return known.speed.At(s.loop.Now()), known.speed.Best
}

// Sighting is what a daemon has seen of an engine.
type Sighting struct {
	Server structs.HostName
	// Started tells the engine's runs apart.
	Started int64
	Best    time.Duration
	Recent  time.Duration
}

// tell tells the other daemons what is new.
func (s *service) tell() {
	s.isTiming = false
	var news []Sighting
	for id, known := range s.engines {
		if !known.speed.DiffersFrom(known.told) {
			continue
		}
		known.told = known.speed
		news = append(news, Sighting{Server: id, Started: known.started, Best: known.speed.Best, Recent: known.speed.Recent})
		s.log.WithFields(logrus.Fields{
			"server": id, "best_ms": known.speed.Best.Milliseconds(), "recent_ms": known.speed.Recent.Milliseconds(),
		}).Info("The pace of an engine has changed.")
	}
	if len(news) > 0 {
		s.others.Notify(rpcName+".Seen", news)
	}
}

// Receiver takes the news of other daemons.
type Receiver struct{ service *service }

// Seen takes in what another daemon has seen.
func (r *Receiver) Seen(news []Sighting, _ *struct{}) error { return r.service.heard.Post(news) }

// hear takes in the news of another daemon on the control goroutine. What was
// heard is known to all.
func (s *service) hear(news []Sighting) {
	for _, seen := range news {
		known := s.engine(seen.Server, seen.Started)
		known.speed.Merge(placement.PaceEstimate{Best: seen.Best, Recent: seen.Recent}, s.loop.Now())
		known.told = known.speed
	}
}
