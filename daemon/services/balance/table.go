package balance

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/route"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// keepAbsent is how long the record of a server outlives its last listing, so
// that one that comes back keeps its limit and its ejections.
const keepAbsent = 5 * time.Minute

// serviceRecord is a service as the control goroutine knows it.
type serviceRecord struct {
	servers []structs.BackendServer
	records []*record
	places  []*place
	table   *route.Table
	// fresh says that the table has the newest versions and shares.
	fresh bool
	loads []*tierLoad
	tiers map[tierName]*tierLoad
	pool  *pool
}

// tierName identifies a tier in tables made one after the other.
type tierName struct {
	zone   structs.ZoneName
	region structs.RegionName
}

// rebuild takes the servers of the host view over. Services whose servers are
// the same keep their rings.
func (s *service) rebuild() {
	for name, servers := range s.control.hosts.Services {
		sr, ok := s.control.services[name]
		if !ok {
			sr = &serviceRecord{tiers: make(map[tierName]*tierLoad), pool: newPool()}
			s.control.services[name] = sr
		}
		if !slices.Equal(sr.servers, servers) {
			s.replace(sr, servers)
		}
	}
	for name, sr := range s.control.services {
		if len(s.control.hosts.Services[name]) == 0 && len(sr.servers) > 0 {
			s.replace(sr, nil)
		}
	}
	s.forget()
	s.listEngines()
}

// listEngines notes the engines of the own zone.
func (s *service) listEngines() {
	s.control.engines = s.control.engines[:0]
	for _, sr := range s.control.services {
		for _, r := range sr.records {
			if r.server.Kind == structs.KindEngine && r.server.Place.Zone == s.config.Place.Zone {
				s.control.engines = append(s.control.engines, r)
			}
		}
	}
}

// replace gives a service other servers.
func (s *service) replace(sr *serviceRecord, servers []structs.BackendServer) {
	now, before, next := s.now(), sr.records, 0
	for _, r := range before {
		r.absent = now
	}
	sr.servers = servers
	sr.records = make([]*record, len(servers))
	sr.places = make([]*place, len(servers))
	for i := range servers {
		// Both lists have the same order as a rule, so that most records are
		// found without a search.
		if next < len(before) && before[next].server.Name != servers[i].Name {
			next++
		}
		var known *record
		if next < len(before) && before[next].server.Name == servers[i].Name {
			known = before[next]
			next++
		}
		r := s.record(&servers[i], known)
		sr.records[i], sr.places[i] = r, r.place
	}
	for _, r := range before {
		if !r.absent.IsZero() {
			s.control.absent[r.server.Name] = r
		}
	}
	sr.table = route.NewTable(s.config.Place, s.routed(sr, now), s.prices())
	tiers := sr.table.Tiers()
	sr.fresh = true
	sr.loads = make([]*tierLoad, len(tiers))
	for i := range tiers {
		name := tierName{zone: tiers[i].Zone, region: tiers[i].Region}
		if sr.tiers[name] == nil {
			sr.tiers[name] = &tierLoad{}
		}
		sr.loads[i] = sr.tiers[name]
	}
}

// record returns the record of a server, which is known or searched for.
func (s *service) record(server *structs.BackendServer, known *record) *record {
	r := known
	if r == nil {
		r = s.control.records[server.Name]
	}
	if r == nil {
		r = &record{place: &place{name: server.Name}, adaptive: limit.NewAdaptiveLimit(toleranceOf(server.Kind))}
		r.place.limit.Store(limit.InitialLimit)
		s.control.records[server.Name] = r
	}
	r.server, r.absent = *server, time.Time{}
	return r
}

func toleranceOf(kind structs.BackendKind) float64 {
	if kind == structs.KindEngine {
		return limit.EngineTolerance
	}
	return limit.PlainTolerance
}

// routed returns a service's servers as the router sees them.
func (s *service) routed(sr *serviceRecord, now time.Time) []route.Server {
	routed := make([]route.Server, len(sr.servers))
	for i := range sr.servers {
		share, _ := sr.records[i].health.Share(now)
		routed[i] = route.Server{
			Name:    sr.servers[i].Name,
			Place:   sr.servers[i].Place,
			Version: structs.WeightVersion(sr.places[i].version.Load()),
			Share:   share,
		}
	}
	return routed
}

// forget drops the records of servers that are long gone.
func (s *service) forget() {
	now := s.now()
	for name, r := range s.control.absent {
		if r.absent.IsZero() {
			delete(s.control.absent, name)
			continue
		}
		if now.Sub(r.absent) > keepAbsent && r.place.inFlight.Load() == 0 {
			s.loop.CancelTimer(r.timer)
			delete(s.control.records, name)
			delete(s.control.absent, name)
		}
	}
}

// publish makes a snapshot of the control state the newest one.
func (s *service) publish() {
	begun := s.clock.Now()
	next := &snapshot{
		services: make(map[structs.ServiceName]*view, len(s.control.services)),
		requests: s.control.requests,
	}
	for name, sr := range s.control.services {
		if len(sr.servers) == 0 {
			sr.pool.resize(begun, 0, 0)
			continue
		}
		if !sr.fresh {
			sr.table = sr.table.WithServers(s.routed(sr, begun))
		}
		sr.fresh = false
		next.services[name] = &view{servers: sr.servers, table: sr.table, places: sr.places, tiers: sr.loads, pool: sr.pool}
	}
	s.snapshot.Publish(next)
	for _, sr := range s.control.services {
		s.resize(begun, sr)
	}
	s.metrics.Time("balance.publish", s.clock.Since(begun))
}

// resize sets the places of a service to the sum of its servers' limits.
func (s *service) resize(now time.Time, sr *serviceRecord) {
	if len(sr.servers) == 0 {
		return
	}
	total, local := 0, 0
	tiers := sr.table.Tiers()
	for i, server := range sr.table.Servers() {
		places := int(sr.places[i].limit.Load()) * int(server.Share)
		total += places
		if tiers[sr.table.TierOf(i)].SameRegion {
			local += places
		}
	}
	total, local = total/route.FullShare, local/route.FullShare
	if local == 0 {
		local = total
	}
	sr.pool.resize(now, total, local)
}

// prices returns the prices of traffic between regions.
func (s *service) prices() route.Prices {
	prices := route.Prices{Default: s.config.Routing.RegionPrice, PerGiB: make(map[route.Link]float64)}
	for _, link := range s.config.Routing.Links {
		prices.PerGiB[route.Link{From: link.From, To: link.To}] = link.Price
	}
	return prices
}
