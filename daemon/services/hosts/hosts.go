// Package hosts is the service "control.hosts": it follows the platform's host
// list, which lags, and corrects it by what traffic sees of the hosts.
package hosts

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

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
	view    *kernel.Snapshot[contract.HostView]
	replies *kernel.Mailbox[kernel.Reply[platform.HostChanges]]
	signals *kernel.Latest[structs.HostName, contract.Signal]

	// The fields below belong to the control goroutine.
	listed   []structs.BackendServer
	through  uint64
	known    bool
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
	s.clients = clients
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.view = kernel.NewSnapshot(&contract.HostView{})
	s.suspects = make(map[structs.HostName]time.Time)
	s.leaving = make(map[structs.HostName]bool)
	s.replies = kernel.NewMailbox(s.loop, replyCapacity, s.onList)
	s.signals = kernel.NewLatest(s.loop, signalCapacity, s.onSignal)
	s.loop.After(0, s.ask)
	return nil
}

// View implements contract.Hosts.
func (s *service) View() *kernel.Snapshot[contract.HostView] { return s.view }

// Report implements contract.Hosts.
func (s *service) Report(server structs.HostName, signal contract.Signal) {
	_ = s.signals.Post(server, signal)
}

// ask waits on a worker for a newer list.
func (s *service) ask() {
	after := s.through
	list := s.clients.Platform().Hosts
	kernel.Async(s.workers, 0, s.replies, func(ctx context.Context) (platform.HostChanges, error) {
		return list.Hosts(ctx, "", after, listWait)
	})
}

func (s *service) onList(reply kernel.Reply[platform.HostChanges]) {
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debug("The host list could not be read.")
		s.loop.After(retryDelay, s.ask)
		return
	}
	if reply.Value.Through != s.through || !s.known {
		s.listed, s.through, s.known = reply.Value.Servers, reply.Value.Through, true
		s.forgetAbsent()
		s.publish()
	}
	s.ask()
}

func (s *service) forgetAbsent() {
	present := make(map[structs.HostName]bool, len(s.listed))
	for _, server := range s.listed {
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
		Known:    s.known,
	}
	for _, server := range s.listed {
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
