// Package hosts implements the service "control.hosts", which keeps the
// platform's host list. The list lags, so it is corrected by the connect
// failures, refusals and responses observed in this daemon's traffic. The
// zone's collector reads the list from the platform and sends the other
// daemons the changes; a daemon without a list reads it from the platform
// itself.
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
	listTimeout    = 10 * time.Second
	retryDelay     = time.Second
	signalCapacity = 4096
	replyCapacity  = 4
	// directReadDelay is how long a daemon without a list waits for the
	// collector's before it reads the platform's.
	directReadDelay = 5 * time.Second
)

type service struct {
	kernel.Base
	loop        *kernel.Loop
	workers     *kernel.Workers
	log         *logrus.Entry
	clients     contract.Clients
	zone        contract.ZoneControl
	view        *kernel.Snapshot[contract.HostView]
	listReplies *kernel.Mailbox[kernel.AsyncResult[outside.HostSnapshot]]
	signals     *kernel.CoalescingMailbox[signalKey, struct{}]

	// The fields below belong to the control goroutine.
	hostList        *fleet.HostList
	availability    *fleet.AvailabilityTracker
	isCollector     bool
	requestInFlight bool
	// encodedDeltas caches the encoded deltas to the newest version, by the
	// version that they start from.
	encodedDeltas map[fleet.Version][]byte
}

// signalKey identifies a signal in the coalescing mailbox: a signal replaces a
// queued one only if server and kind are equal.
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
	s.hostList = fleet.New()
	s.encodedDeltas = make(map[fleet.Version][]byte)
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.view = kernel.NewSnapshot(&contract.HostView{})
	s.availability = fleet.NewAvailabilityTracker()
	s.listReplies = kernel.NewMailbox(s.loop, replyCapacity, s.onList)
	s.signals = kernel.NewCoalescingMailbox(s.loop, signalCapacity, s.onSignal)
	s.zone.AddSharedState(s)
	s.zone.OnCollectorChange(s.onCollectorChange)
	s.loop.AfterFunc(directReadDelay, s.readUntilLoaded)
	return nil
}

// View implements contract.Hosts.
func (s *service) View() *kernel.Snapshot[contract.HostView] { return s.view }

// Report implements contract.Hosts.
func (s *service) Report(server structs.HostName, signal contract.Signal) {
	_ = s.signals.Post(signalKey{server: server, signal: signal}, struct{}{})
}

// onCollectorChange reads the platform's list while this daemon is the
// collector.
func (s *service) onCollectorChange(isCollector bool) {
	s.isCollector = isCollector
	s.requestList()
}

// readUntilLoaded reads the platform's list, and repeats until there is a
// list.
func (s *service) readUntilLoaded() {
	if s.hostList.Version() > 0 {
		return
	}
	s.requestList()
	s.loop.AfterFunc(directReadDelay, s.readUntilLoaded)
}

// requestList waits on a worker for a newer list.
func (s *service) requestList() {
	if s.requestInFlight || !s.isCollector && s.hostList.Version() > 0 {
		return
	}
	s.requestInFlight = true
	after := uint64(s.hostList.Version())
	client := s.clients.Platform().Hosts
	kernel.RunAsync(s.workers, 0, s.listReplies, func(ctx context.Context) (outside.HostSnapshot, error) {
		return client.Hosts(ctx, "", after, listTimeout)
	})
}

func (s *service) onList(reply kernel.AsyncResult[outside.HostSnapshot]) {
	s.requestInFlight = false
	if reply.Err != nil {
		s.log.WithError(reply.Err).Debug("Cannot read the host list.")
		s.loop.AfterFunc(retryDelay, s.requestList)
		return
	}
	if s.hostList.Replace(fleet.Version(reply.Value.Revision), reply.Value.Servers) {
		s.publishChange()
	}
	s.requestList()
}

// publishChange publishes a newer list and sends it to the zone's followers.
func (s *service) publishChange() {
	clear(s.encodedDeltas)
	s.availability.SetHosts(s.loop.Now(), s.hostList.Hosts())
	s.publishView()
	s.zone.NotifyFollowers()
}

// StateName implements contract.SharedState.
func (s *service) StateName() string { return "hosts" }

// StateVersion implements contract.SharedState.
func (s *service) StateVersion() uint64 { return uint64(s.hostList.Version()) }

// EncodeSince implements contract.SharedState.
func (s *service) EncodeSince(version uint64) ([]byte, error) {
	from := fleet.Version(version)
	if cached, ok := s.encodedDeltas[from]; ok {
		return cached, nil
	}
	encoded, err := json.Marshal(s.hostList.Since(from))
	if err == nil {
		s.encodedDeltas[from] = encoded
	}
	return encoded, err
}

// Merge implements contract.SharedState.
func (s *service) Merge(encoded []byte) error {
	var delta fleet.Delta
	if err := json.Unmarshal(encoded, &delta); err != nil {
		return err
	}
	if s.hostList.Merge(delta) {
		s.publishChange()
	}
	return nil
}

func (s *service) onSignal(key signalKey, _ struct{}) {
	server, listed := s.hostList.Host(key.server)
	if !listed {
		return
	}
	now := s.loop.Now()
	switch key.signal {
	case contract.SignalFailedConnect:
		until, changed := s.availability.RecordConnectFailure(now, server)
		if !changed {
			return
		}
		s.publishAt(until)
	case contract.SignalLeaving:
		until, recorded := s.availability.RecordRefusal(now, server)
		if !recorded {
			return
		}
		s.log.Infof("%s refuses new work.", key.server)
		s.publishAt(until)
	case contract.SignalAnswered:
		if !s.availability.RecordAnswer(now, key.server) {
			return
		}
	}
	s.publishView()
}

// publishAt publishes the view again when the cooldown of a server ends.
func (s *service) publishAt(until time.Time) {
	s.loop.AfterFunc(until.Sub(s.loop.Now()), func() {
		s.availability.RecountHeld(s.loop.Now())
		s.publishView()
	})
}

func (s *service) publishView() {
	now := s.loop.Now()
	view := &contract.HostView{
		Services: make(map[structs.ServiceName][]structs.BackendServer),
		Loaded:   s.hostList.Version() > 0,
	}
	for _, server := range s.hostList.Hosts() {
		if server.Kind == structs.KindDaemon {
			view.Daemons = append(view.Daemons, server)
			continue
		}
		if s.availability.MayGetWork(now, server) {
			view.Services[server.Service] = append(view.Services[server.Service], server)
		}
	}
	s.view.Publish(view)
}
