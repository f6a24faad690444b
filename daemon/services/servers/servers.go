// Package servers is the service "control.servers": it follows the backend
// servers' entries in the platform's store. An entry that went while the store
// was away is kept until the server had time to come back.
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
		return &service{entries: make(map[structs.HostName]catalog.Server), lapsed: make(map[structs.HostName]bool)}
	})
}

// returnWithin is how long after the store's return a server may take to write
// its entry again, as the platform's pages have it, with the time of the notice.
const returnWithin = 2200 * time.Millisecond

// pace leaves time for the entries of several engines that changed their weights
// to gather; a server that leaves must get no work after three seconds.
var pace = contract.WatchOptions{PollTimeout: 2 * time.Second, BatchDelay: 500 * time.Millisecond}

type service struct {
	kernel.Base
	ledger  contract.TransactionalStore
	session contract.Session
	workers *kernel.Workers
	loop    *kernel.Loop
	log     *logrus.Entry
	regions map[structs.ZoneName]structs.RegionName
	view    *kernel.Snapshot[contract.ServersView]
	hosts   *kernel.Snapshot[contract.HostView]
	entries map[structs.HostName]catalog.Server
	// lapsed entries went while the store was away.
	lapsed map[structs.HostName]bool
	expiry *kernel.Timer
	known  bool
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
	if s.ledger, err = kernel.Find[contract.TransactionalStore](ctx, contract.NameTransactionalStore); err != nil {
		return err
	}
	if s.session, err = kernel.Find[contract.Session](ctx, contract.NameSession); err != nil {
		return err
	}
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.view = kernel.NewSnapshot(&contract.ServersView{})
	s.hosts = kernel.NewSnapshot(&contract.HostView{})
	s.ledger.WatchPrefix(platform.ServerPrefix, pace, s.take)
	return nil
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.session.View(), func(*contract.SessionView) { s.publish() })
	return nil
}

// Entries implements contract.Servers.
func (s *service) Entries() *kernel.Snapshot[contract.ServersView] { return s.view }

// take applies news on the control goroutine.
func (s *service) take(news contract.PrefixChanges) {
	present := make(map[structs.HostName]bool, len(news.Records))
	for _, record := range news.Records {
		id := structs.HostName(record.Key[min(len(platform.ServerPrefix), len(record.Key)):])
		if record.Removed {
			s.remove(id)
			continue
		}
		server, err := platform.DecodeServer(record.Key, record.Value)
		if err != nil {
			s.log.WithError(err).Debug("An entry names no server to use.")
			continue
		}
		present[id] = true
		s.put(server)
	}
	if news.Full {
		for id := range s.entries {
			if !present[id] {
				s.remove(id)
			}
		}
		s.known = true
	}
	s.publish()
}

func (s *service) put(server catalog.Server) {
	old, known := s.entries[server.ID]
	delete(s.lapsed, server.ID)
	s.entries[server.ID] = server
	if !known || old.Draining != server.Draining || old.Started != server.Started {
		s.log.WithFields(logrus.Fields{
			"server": server.ID, "service": server.Service, "address": server.Address, "leaving": server.Draining,
		}).Info("A server is listed.")
	}
}

// remove drops an entry, or keeps it for a while when the store was away just
// now: the server itself may be well.
func (s *service) remove(id structs.HostName) {
	server, known := s.entries[id]
	if !known || s.lapsed[id] {
		return
	}
	since, reached := s.ledger.ReachedSince()
	left := returnWithin - time.Since(since)
	if !server.Draining && s.known && (!reached || left > 0) {
		s.lapsed[id] = true
		s.log.WithField("server", id).Info("A server's entry lapsed while the store was away.")
		if s.expiry == nil {
			s.expiry = s.loop.AfterFunc(max(left, 0), s.expire)
		}
		return
	}
	delete(s.entries, id)
	s.log.WithField("server", id).Info("A server is gone.")
}

// expire drops the lapsed entries once the store has been back long enough.
func (s *service) expire() {
	s.expiry = nil
	since, reached := s.ledger.ReachedSince()
	if left := returnWithin - time.Since(since); !reached || left > 0 {
		s.expiry = s.loop.AfterFunc(max(left, returnWithin/4), s.expire)
		return
	}
	for id := range s.lapsed {
		delete(s.entries, id)
		s.log.WithField("server", id).Info("A server did not come back after the store's return.")
	}
	clear(s.lapsed)
	s.publish()
}

func (s *service) publish() {
	next := &contract.ServersView{
		ByService: make(map[structs.ServiceName][]catalog.Server),
		All:       maps.Clone(s.entries),
		Loaded:    s.known,
	}
	for _, server := range s.entries {
		if !server.Draining {
			next.ByService[server.Service] = append(next.ByService[server.Service], server)
		}
	}
	for _, servers := range next.ByService {
		slices.SortFunc(servers, func(a, b catalog.Server) int { return compare(a.ID, b.ID) })
	}
	s.view.Publish(next)
	s.hosts.Publish(s.hostView(next))
}

// hostView is the list as the balancer takes it.
func (s *service) hostView(entries *contract.ServersView) *contract.HostView {
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
				Name: server.ID, Kind: structs.KindService, Service: service, Address: server.Address,
				Place: structs.Place{Zone: server.Zone, Region: s.regions[server.Zone]},
			})
		}
	}
	return view
}

// View implements contract.Hosts.
func (s *service) View() *kernel.Snapshot[contract.HostView] { return s.hosts }

// Report implements contract.Hosts. The list alone says who leaves: a server
// that cannot be reached from here may be well, and the balancer ejects it.
func (s *service) Report(structs.HostName, contract.Signal) {}

func compare(a, b structs.HostName) int {
	if a < b {
		return -1
	}
	return 1
}
