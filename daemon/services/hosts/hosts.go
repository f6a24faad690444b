// Package hosts is the service "control.hosts": it follows the platform's host
// list, which lags, and corrects it by what traffic sees of the hosts. The
// zone's collector reads the list and hands the other daemons what changed; a
// daemon that hears of no collector reads it itself.
package hosts

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/fleet"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameHosts, func() kernel.Service { return &service{} })
}

const (
	listWait       = 10 * time.Second
	retryDelay     = time.Second
	signalCapacity = 4096
	replyCapacity  = 4
	// readAnyway is how long a daemon that has no list waits for the
	// collector's before it reads the platform's.
	readAnyway = 5 * time.Second
	// suspectFor is how long a server gets no new work after a failed
	// connect.
	suspectFor = 2 * time.Second
)

type service struct {
	kernel.Base
	loop    *kernel.Loop
	workers *kernel.Workers
	log     *logrus.Entry
	clients contract.Clients
	zone    contract.ZoneControl
	view    *kernel.Snapshot[contract.HostView]
	replies *kernel.Mailbox[kernel.Reply[platform.HostChanges]]
	signals *kernel.Latest[structs.HostName, contract.Signal]

	// The fields below belong to the control goroutine.
	fleet  *fleet.Fleet
	reads  bool
	asking bool
	// encoded holds the differences to the newest version that were handed
	// out, by the version that they start from.
	encoded  map[fleet.Version][]byte
	suspects map[structs.HostName]time.Time
	leaving  map[structs.HostName]bool
}

var _ contract.Hosts = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	clients, err := kernel.Find[contract.Clients](ctx, contract.NameClients)
	if err != nil {
		return err
	}
	if s.zone, err = kernel.Find[contract.ZoneControl](ctx, contract.NameZone); err != nil {
		return err
	}
	s.clients = clients
	s.fleet = fleet.New()
	s.encoded = make(map[fleet.Version][]byte)
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.view = kernel.NewSnapshot(&contract.HostView{})
	s.suspects = make(map[structs.HostName]time.Time)
	s.leaving = make(map[structs.HostName]bool)
	s.replies = kernel.NewMailbox(s.loop, replyCapacity, s.onList)
	s.signals = kernel.NewLatest(s.loop, signalCapacity, s.onSignal)
	s.zone.Share(s)
	s.zone.OnRole(s.onRole)
	s.loop.After(readAnyway, s.readUnlessKnown)
	return nil
}

// View implements contract.Hosts.
func (s *service) View() *kernel.Snapshot[contract.HostView] { return s.view }

// Report implements contract.Hosts.
func (s *service) Report(server structs.HostName, signal contract.Signal) {
	_ = s.signals.Post(server, signal)
}

// onRole reads the platform's list while this daemon collects.
func (s *service) onRole(collects bool) {
	s.reads = collects
	s.ask()
}

// readUnlessKnown reads the platform's list until there is one.
func (s *service) readUnlessKnown() {
	if s.fleet.Version() > 0 {
		return
	}
	s.ask()
	s.loop.After(readAnyway, s.readUnlessKnown)
}

// ask waits on a worker for a newer list.
func (s *service) ask() {
	if s.asking || !s.reads && s.fleet.Version() > 0 {
		return
	}
	s.asking = true
	after := uint64(s.fleet.Version())
	list := s.clients.Platform().Hosts
	kernel.Async(s.workers, 0, s.replies, func(ctx context.Context) (platform.HostChanges, error) {
		return list.Hosts(ctx, "", after, listWait)
	})
}

func (s *service) onList(reply kernel.Reply[platform.HostChanges]) {
	s.asking = false
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debug("The host list could not be read.")
		s.loop.After(retryDelay, s.ask)
		return
	}
	if s.fleet.Replace(fleet.Version(reply.Value.Through), reply.Value.Servers) {
		s.changed()
	}
	s.ask()
}

// changed publishes a newer list and hands it on.
func (s *service) changed() {
	clear(s.encoded)
	s.forgetAbsent()
	s.publish()
	s.zone.Announce()
}

// PartName implements contract.Part.
func (s *service) PartName() string { return "hosts" }

// PartVersion implements contract.Part.
func (s *service) PartVersion() uint64 { return uint64(s.fleet.Version()) }

// Since implements contract.Part.
func (s *service) Since(version uint64) ([]byte, error) {
	from := fleet.Version(version)
	if known, ok := s.encoded[from]; ok {
		return known, nil
	}
	encoded, err := json.Marshal(s.fleet.Since(from))
	if err == nil {
		s.encoded[from] = encoded
	}
	return encoded, err
}

// Merge implements contract.Part.
func (s *service) Merge(encoded []byte) error {
	var delta fleet.Delta
	if err := json.Unmarshal(encoded, &delta); err != nil {
		return err
	}
	if s.fleet.Merge(delta) {
		s.changed()
	}
	return nil
}

func (s *service) forgetAbsent() {
	present := make(map[structs.HostName]bool)
	for _, server := range s.fleet.List() {
		present[server.Name] = true
	}
	for name := range s.leaving {
		if !present[name] {
			delete(s.leaving, name)
		}
	}
}

func (s *service) onSignal(name structs.HostName, signal contract.Signal) {
	switch signal {
	case contract.SignalFailedConnect:
		until := s.loop.Now().Add(suspectFor)
		s.suspects[name] = until
		s.loop.After(suspectFor, func() { s.clearSuspect(name) })
	case contract.SignalLeaving:
		if s.leaving[name] {
			return
		}
		s.leaving[name] = true
		s.log.Infof("%s refuses new work.", name)
	case contract.SignalAnswered:
		if _, suspect := s.suspects[name]; !suspect {
			return
		}
		delete(s.suspects, name)
	}
	s.publish()
}

func (s *service) clearSuspect(name structs.HostName) {
	until, suspect := s.suspects[name]
	if !suspect || s.loop.Now().Before(until) {
		return
	}
	delete(s.suspects, name)
	s.publish()
}

func (s *service) publish() {
	view := &contract.HostView{
		Services: make(map[structs.ServiceName][]structs.BackendServer),
		Known:    s.fleet.Version() > 0,
	}
	for _, server := range s.fleet.List() {
		if server.Kind == structs.KindDaemon {
			view.Daemons = append(view.Daemons, server)
			continue
		}
		if s.mayGetWork(server) {
			view.Services[server.Service] = append(view.Services[server.Service], server)
		}
	}
	s.view.Publish(view)
}

func (s *service) mayGetWork(server structs.BackendServer) bool {
	_, suspect := s.suspects[server.Name]
	return !server.Leaving && !suspect && !s.leaving[server.Name]
}
