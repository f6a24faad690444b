package balance

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/route"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// unlistedRetention is how long the record of an unlisted server is kept, so
// that a server that comes back keeps its limit and its ejections.
const unlistedRetention = 5 * time.Minute

// serviceRecord is the control goroutine's state of a service.
type serviceRecord struct {
	servers  []structs.BackendServer
	records  []*serverRecord
	counters []*serverCounters
	table    *route.Table
	// isTableCurrent is set when replaceServers built the table with the latest
	// versions and shares, until the next publication.
	isTableCurrent bool
	tierLoads      []*tierLoad
	tierLoadsByKey map[tierKey]*tierLoad
	admission      *admissionQueue
}

// tierKey identifies a tier across successive tables.
type tierKey struct {
	zone   structs.ZoneName
	region structs.RegionName
}

// rebuildServices applies the servers of the host view. A service whose servers
// are unchanged keeps its table.
func (s *service) rebuildServices() {
	for name, servers := range s.control.hosts.Services {
		sr, ok := s.control.services[name]
		if !ok {
			sr = &serviceRecord{tierLoadsByKey: make(map[tierKey]*tierLoad), admission: newAdmissionQueue()}
			s.control.services[name] = sr
		}
		if !slices.Equal(sr.servers, servers) {
			s.replaceServers(sr, servers)
		}
	}
	for name, sr := range s.control.services {
		if len(s.control.hosts.Services[name]) == 0 && len(sr.servers) > 0 {
			s.replaceServers(sr, nil)
		}
	}
	s.dropUnlisted()
	s.listEngines()
}

// listEngines collects the engines of this daemon's zone.
func (s *service) listEngines() {
	s.control.zoneEngines = s.control.zoneEngines[:0]
	for _, sr := range s.control.services {
		for _, r := range sr.records {
			if r.server.Kind == structs.KindEngine && r.server.Place.Zone == s.config.Place.Zone {
				s.control.zoneEngines = append(s.control.zoneEngines, r)
			}
		}
	}
}

// replaceServers sets the servers of a service and builds its table.
func (s *service) replaceServers(sr *serviceRecord, servers []structs.BackendServer) {
	now, previous, next := s.now(), sr.records, 0
	for _, r := range previous {
		r.unlistedSince = now
	}
	sr.servers = servers
	sr.records = make([]*serverRecord, len(servers))
	sr.counters = make([]*serverCounters, len(servers))
	for i := range servers {
		// Both lists usually have the same order, so that most records are
		// found without a lookup.
		if next < len(previous) && previous[next].server.Name != servers[i].Name {
			next++
		}
		var known *serverRecord
		if next < len(previous) && previous[next].server.Name == servers[i].Name {
			known = previous[next]
			next++
		}
		r := s.recordOf(&servers[i], known)
		sr.records[i], sr.counters[i] = r, r.counters
	}
	for _, r := range previous {
		if !r.unlistedSince.IsZero() {
			s.control.unlisted[r.server.Name] = r
		}
	}
	sr.table = route.NewTable(s.config.Place, s.routeServers(sr, now), s.prices())
	tiers := sr.table.Tiers()
	sr.isTableCurrent = true
	sr.tierLoads = make([]*tierLoad, len(tiers))
	for i := range tiers {
		key := tierKey{zone: tiers[i].Zone, region: tiers[i].Region}
		if sr.tierLoadsByKey[key] == nil {
			sr.tierLoadsByKey[key] = &tierLoad{}
		}
		sr.tierLoads[i] = sr.tierLoadsByKey[key]
	}
}

// recordOf returns the record of a server and creates it if needed. Known is
// the record if the caller has it, or nil.
func (s *service) recordOf(server *structs.BackendServer, known *serverRecord) *serverRecord {
	r := known
	if r == nil {
		r = s.control.records[server.Name]
	}
	if r == nil {
		r = &serverRecord{counters: &serverCounters{name: server.Name}, adaptive: limit.NewAdaptiveLimit(toleranceOf(server.Kind))}
		r.counters.limit.Store(limit.InitialLimit)
		s.control.records[server.Name] = r
	}
	r.server, r.unlistedSince = *server, time.Time{}
	return r
}

func toleranceOf(kind structs.BackendKind) float64 {
	if kind == structs.KindEngine {
		return limit.EngineTolerance
	}
	return limit.PlainTolerance
}

// routeServers returns a service's servers in the form that the routing table
// needs.
func (s *service) routeServers(sr *serviceRecord, now time.Time) []route.Server {
	servers := make([]route.Server, len(sr.servers))
	for i := range sr.servers {
		share, _ := sr.records[i].health.Share(now)
		servers[i] = route.Server{
			Name:    sr.servers[i].Name,
			Place:   sr.servers[i].Place,
			Version: structs.WeightVersion(sr.counters[i].weightVersion.Load()),
			Origin:  contract.OriginOf(sr.servers[i]),
			Share:   share,
			Slots:   sr.servers[i].Slots,
		}
	}
	return servers
}

// dropUnlisted deletes the records of servers that were unlisted for longer
// than unlistedRetention.
func (s *service) dropUnlisted() {
	now := s.now()
	for name, r := range s.control.unlisted {
		if r.unlistedSince.IsZero() {
			delete(s.control.unlisted, name)
			continue
		}
		if now.Sub(r.unlistedSince) > unlistedRetention && r.counters.inFlight.Load() == 0 {
			s.loop.CancelTimer(r.recoveryTimer)
			delete(s.control.records, name)
			delete(s.control.unlisted, name)
		}
	}
}

// publish publishes a snapshot of the control state.
func (s *service) publish() {
	started := s.clock.Now()
	next := &snapshot{
		loaded:     s.control.hosts.Loaded,
		services:   make(map[structs.ServiceName]*serviceView, len(s.control.services)),
		quarantine: s.control.quarantine,
	}
	for name, sr := range s.control.services {
		if len(sr.servers) == 0 {
			sr.admission.setCapacity(started, 0, 0)
			continue
		}
		if !sr.isTableCurrent {
			sr.table = sr.table.WithServers(s.routeServers(sr, started))
		}
		sr.isTableCurrent = false
		next.services[name] = &serviceView{servers: sr.servers, table: sr.table, counters: sr.counters, tierLoads: sr.tierLoads, admission: sr.admission}
	}
	s.snapshot.Publish(next)
	for _, sr := range s.control.services {
		s.updateCapacity(started, sr)
	}
	s.metrics.Time("balance.publish", s.clock.Since(started))
}

// updateCapacity sets the number of slots of a service to the sum of its
// servers' limits.
func (s *service) updateCapacity(now time.Time, sr *serviceRecord) {
	if len(sr.servers) == 0 {
		return
	}
	totalSlots, localSlots := 0, 0
	tiers := sr.table.Tiers()
	for i, server := range sr.table.Servers() {
		slots := int(sr.counters[i].limit.Load()) * int(server.Share)
		totalSlots += slots
		if tiers[sr.table.TierOf(i)].SameRegion {
			localSlots += slots
		}
	}
	totalSlots, localSlots = totalSlots/route.FullShare, localSlots/route.FullShare
	if localSlots == 0 {
		localSlots = totalSlots
	}
	sr.admission.setCapacity(now, totalSlots, localSlots)
}

// prices returns the prices of traffic between regions.
func (s *service) prices() route.Prices {
	prices := route.Prices{Default: s.config.Routing.RegionPrice, PerGiB: make(map[route.Link]float64)}
	for _, link := range s.config.Routing.Links {
		prices.PerGiB[route.Link{From: link.From, To: link.To}] = link.Price
	}
	return prices
}
