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
	"github.com/flamingobeam/flamingobeam/outside"
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
)

type service struct {
	kernel.Base
	loop    *kernel.Loop
	workers *kernel.Workers
	log     *logrus.Entry
	clients contract.Clients
	zone    contract.ZoneControl
	view    *kernel.Snapshot[contract.HostView]
	replies *kernel.Mailbox[kernel.AsyncResult[outside.HostSnapshot]]
	signals *kernel.CoalescingMailbox[signalKey, struct{}]

	// The fields below belong to the control goroutine.
	fleet  *fleet.HostList
	signs  *fleet.AvailabilityTracker
	reads  bool
	asking bool
	// encoded holds the differences to the newest version that were handed
	// out, by the version that they start from.
	encoded map[fleet.Version][]byte
}

// signalKey tells signals apart: a newer signal of another kind must not take
// the place of one that waits.
type signalKey struct {
	server structs.HostName
	signal contract.Signal
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
	s.signs = fleet.NewAvailabilityTracker()
	s.replies = kernel.NewMailbox(s.loop, replyCapacity, s.onList)
	s.signals = kernel.NewCoalescingMailbox(s.loop, signalCapacity, s.onSignal)
	s.zone.AddSharedState(s)
	s.zone.OnCollectorChange(s.onRole)
	s.loop.AfterFunc(readAnyway, s.readUnlessKnown)
	return nil
}

// View implements contract.Hosts.
func (s *service) View() *kernel.Snapshot[contract.HostView] { return s.view }

// Report implements contract.Hosts.
func (s *service) Report(server structs.HostName, signal contract.Signal) {
	_ = s.signals.Post(signalKey{server: server, signal: signal}, struct{}{})
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
	s.loop.AfterFunc(readAnyway, s.readUnlessKnown)
}

// ask waits on a worker for a newer list.
func (s *service) ask() {
	if s.asking || !s.reads && s.fleet.Version() > 0 {
		return
	}
	s.asking = true
	after := uint64(s.fleet.Version())
	list := s.clients.Platform().Hosts
	kernel.RunAsync(s.workers, 0, s.replies, func(ctx context.Context) (outside.HostSnapshot, error) {
		return list.Hosts(ctx, "", after, listWait)
	})
}

func (s *service) onList(reply kernel.AsyncResult[outside.HostSnapshot]) {
	s.asking = false
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debug("The host list could not be read.")
		s.loop.AfterFunc(retryDelay, s.ask)
		return
	}
	if s.fleet.Replace(fleet.Version(reply.Value.Revision), reply.Value.Servers) {
		s.changed()
	}
	s.ask()
}

// changed publishes a newer list and hands it on.
func (s *service) changed() {
	clear(s.encoded)
	s.signs.SetHosts(s.loop.Now(), s.fleet.Hosts())
	s.publish()
	s.zone.NotifyFollowers()
}

// StateName implements contract.SharedState.
func (s *service) StateName() string { return "hosts" }

// StateVersion implements contract.SharedState.
func (s *service) StateVersion() uint64 { return uint64(s.fleet.Version()) }

// EncodeSince implements contract.SharedState.
func (s *service) EncodeSince(version uint64) ([]byte, error) {
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

// Merge implements contract.SharedState.
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

func (s *service) onSignal(key signalKey, _ struct{}) {
	server, listed := s.fleet.Host(key.server)
	if !listed {
		return
	}
	now := s.loop.Now()
	switch key.signal {
	case contract.SignalFailedConnect:
		until, changed := s.signs.RecordConnectFailure(now, server)
		if !changed {
			return
		}
		s.expireAt(until)
	case contract.SignalLeaving:
		until, held := s.signs.RecordRefusal(now, server)
		if !held {
			return
		}
		s.log.Infof("%s refuses new work.", key.server)
		s.expireAt(until)
	case contract.SignalAnswered:
		if !s.signs.RecordAnswer(now, key.server) {
			return
		}
	}
	s.publish()
}

// expireAt publishes again when a sign has run out.
func (s *service) expireAt(until time.Time) {
	s.loop.AfterFunc(until.Sub(s.loop.Now()), func() {
		s.signs.RecountHeld(s.loop.Now())
		s.publish()
	})
}

func (s *service) publish() {
	now := s.loop.Now()
	view := &contract.HostView{
		Services: make(map[structs.ServiceName][]structs.BackendServer),
		Loaded:   s.fleet.Version() > 0,
	}
	for _, server := range s.fleet.Hosts() {
		if server.Kind == structs.KindDaemon {
			view.Daemons = append(view.Daemons, server)
			continue
		}
		if s.signs.MayGetWork(now, server) {
			view.Services[server.Service] = append(view.Services[server.Service], server)
		}
	}
	s.view.Publish(view)
}
