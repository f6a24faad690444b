// Package servers implements the service "control.servers", which watches the
// backend servers' entries in the platform's store. An entry that disappears
// while the store is unreachable is kept until the server has had time to
// register again.
package servers

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameServers, func() kernel.Service {
		return &service{
			entries: make(map[structs.HostName]catalog.Server), lapsed: make(map[structs.HostName]bool), leaving: make(map[structs.HostName]int64),
		}
	})
}

// reregistrationTimeout is how long after the store becomes reachable again a
// server's entry may stay missing. It covers the time that the platform
// documents for a server to register again, and the delay of the watch.
const reregistrationTimeout = 2200 * time.Millisecond

// watchOptions batches the entries of engines that swap weights at about the
// same time, and still stops new work to a draining server within three
// seconds.
var watchOptions = contract.WatchOptions{PollTimeout: 1500 * time.Millisecond, BatchDelay: 500 * time.Millisecond}

// noticeCapacity bounds the notices of leaving servers that wait for the control loop.
// A notice that is dropped is repeated by the server's next response.
const noticeCapacity = 256

type service struct {
	kernel.Base
	knowledge contract.StoreKnowledge
	session   contract.Session
	workers   *kernel.Workers
	loop      *kernel.Loop
	log       *logrus.Entry
	regions   map[structs.ZoneName]structs.RegionName
	view      *kernel.Snapshot[contract.ServersView]
	hosts     *kernel.Snapshot[contract.HostView]
	entries   map[structs.HostName]catalog.Server
	// lapsed holds the servers whose entries disappeared while the store was
	// unreachable.
	lapsed map[structs.HostName]bool
	// leaving holds the start time of each server that announced in a response that it
	// is draining, whatever its entry says. It outlasts the entry, which may come back
	// after an outage of the store.
	leaving     map[structs.HostName]int64
	notices     *kernel.Mailbox[structs.HostName]
	expiryTimer *kernel.Timer
	loaded      bool
}

var (
	_ contract.Servers = (*service)(nil)
	_ contract.Hosts   = (*service)(nil)
)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.regions = daemon.Platform.Regions
	var store contract.TransactionalStore
	err = kernel.FindAll(ctx,
		kernel.Bind(&store, contract.NameTransactionalStore),
		kernel.Bind(&s.knowledge, contract.NameTransactionalStore),
		kernel.Bind(&s.session, contract.NameSession),
	)
	if err != nil {
		return err
	}
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.notices = kernel.NewMailbox(s.loop, noticeCapacity, s.markLeaving)
	s.view = kernel.NewSnapshot(&contract.ServersView{})
	s.hosts = kernel.NewSnapshot(&contract.HostView{})
	store.WatchPrefix(platform.ServerPrefix, watchOptions, s.applyChanges)
	return nil
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.session.View(), func(*contract.SessionView) { s.publishViews() })
	return nil
}

// Entries implements contract.Servers.
func (s *service) Entries() *kernel.Snapshot[contract.ServersView] { return s.view }

// applyChanges applies changes of the entries on the control goroutine.
func (s *service) applyChanges(changes contract.News) {
	present := make(map[structs.HostName]bool, len(changes.Records))
	for _, record := range changes.Records {
		id := structs.HostName(record.Key[min(len(platform.ServerPrefix), len(record.Key)):])
		if record.Removed {
			s.removeEntry(id)
			continue
		}
		server, err := platform.DecodeServer(record.Key, record.Value)
		if err != nil {
			s.log.WithError(err).Debug("Ignoring an invalid server entry.")
			continue
		}
		present[id] = true
		s.putEntry(server)
	}
	if changes.Full {
		for id := range s.entries {
			if !present[id] {
				s.removeEntry(id)
			}
		}
		s.loaded = true
	}
	s.publishViews()
}

func (s *service) putEntry(server catalog.Server) {
	old, known := s.entries[server.ID]
	delete(s.lapsed, server.ID)
	s.entries[server.ID] = server
	if !known || old.Draining != server.Draining || old.Started != server.Started {
		s.log.WithFields(logrus.Fields{
			"server": server.ID, "service": server.Service, "address": server.Address, "software": server.Software, "leaving": server.Draining,
		}).Info("A server is listed.")
	}
}

// removeEntry removes an entry. If the store is or was just now away it keeps the entry
// until expireLapsed runs, because the server itself may be healthy. A store that only fails
// this daemon is not away: changes come through other daemons.
func (s *service) removeEntry(id structs.HostName) {
	server, known := s.entries[id]
	if !known || s.lapsed[id] {
		return
	}
	servedSince, isServed := s.knowledge.ServedSince(platform.ServerPrefix)
	remaining := reregistrationTimeout - time.Since(servedSince)
	if !server.Draining && s.loaded && (!isServed || remaining > 0) {
		s.lapsed[id] = true
		s.log.WithField("server", id).Info("A server's entry disappeared while the store was unreachable.")
		if s.expiryTimer == nil {
			s.expiryTimer = s.loop.AfterFunc(max(remaining, 0), s.expireLapsed)
		}
		return
	}
	delete(s.entries, id)
	s.log.WithField("server", id).Info("A server is no longer listed.")
}

// expireLapsed removes the lapsed entries once the store has replied for
// reregistrationTimeout.
func (s *service) expireLapsed() {
	s.expiryTimer = nil
	servedSince, isServed := s.knowledge.ServedSince(platform.ServerPrefix)
	if remaining := reregistrationTimeout - time.Since(servedSince); !isServed || remaining > 0 {
		s.expiryTimer = s.loop.AfterFunc(max(remaining, reregistrationTimeout/4), s.expireLapsed)
		return
	}
	for id := range s.lapsed {
		delete(s.entries, id)
		s.log.WithField("server", id).Info("A server did not register again after the store outage.")
	}
	clear(s.lapsed)
	s.publishViews()
}

// maxLeaving bounds the servers that are remembered as leaving. Above it those without
// an entry are forgotten.
const maxLeaving = 4096

// markLeaving excludes a server from new work until it restarts.
func (s *service) markLeaving(id structs.HostName) {
	server, known := s.entries[id]
	if !known || s.isLeaving(server) {
		return
	}
	if len(s.leaving) >= maxLeaving {
		maps.DeleteFunc(s.leaving, func(id structs.HostName, _ int64) bool { return s.entries[id].ID == "" })
	}
	s.leaving[id] = server.Started
	s.log.WithField("server", id).Info("A server announced that it is leaving.")
	s.publishViews()
}

func (s *service) isLeaving(server catalog.Server) bool {
	started, announced := s.leaving[server.ID]
	return announced && started == server.Started
}

func (s *service) publishViews() {
	next := &contract.ServersView{
		ByService: make(map[structs.ServiceName][]catalog.Server),
		All:       maps.Clone(s.entries),
		Loaded:    s.loaded,
	}
	for _, server := range s.entries {
		if !server.Draining && !s.isLeaving(server) {
			next.ByService[server.Service] = append(next.ByService[server.Service], server)
		}
	}
	for _, servers := range next.ByService {
		slices.SortFunc(servers, func(a, b catalog.Server) int { return compareHostNames(a.ID, b.ID) })
	}
	s.view.Publish(next)
	s.hosts.Publish(s.newHostView(next))
}

// newHostView returns the daemons and the backend servers in the form that the
// balancer uses.
func (s *service) newHostView(entries *contract.ServersView) *contract.HostView {
	view := &contract.HostView{Services: make(map[structs.ServiceName][]structs.BackendServer), Loaded: entries.Loaded}
	for name, member := range s.session.View().Load().Live {
		view.Daemons = append(view.Daemons, structs.BackendServer{
			Name: structs.HostName(name), Kind: structs.KindDaemon, Address: member.RPCAddress,
			Place: structs.Place{Zone: member.Zone, Region: s.regions[member.Zone]},
		})
	}
	for service, servers := range entries.ByService {
		for _, server := range servers {
			view.Services[service] = append(view.Services[service], structs.BackendServer{
				Name: server.ID, Kind: structs.KindService, Service: service, Address: server.Address, Software: server.Software, Slots: server.Slots,
				Place: structs.Place{Zone: server.Zone, Region: s.regions[server.Zone]},
			})
		}
	}
	return view
}

// View implements contract.Hosts.
func (s *service) View() *kernel.Snapshot[contract.HostView] { return s.hosts }

// Report implements contract.Hosts. Apart from the entries in the store, only a
// server's own announcement shows that it is draining. Other signals are ignored: a
// server that is unreachable from this daemon may be healthy, and the balancer ejects it
// on its own.
func (s *service) Report(server structs.HostName, signal contract.Signal) {
	if signal != contract.SignalLeaving {
		return
	}
	if err := s.notices.Post(server); err != nil {
		s.log.WithError(err).WithField("server", server).Debug("Dropped a notice of a leaving server.")
	}
}

func compareHostNames(a, b structs.HostName) int {
	if a < b {
		return -1
	}
	return 1
}
