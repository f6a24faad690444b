package route

import (
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Loads gives the loads of a table's servers at this moment.
type Loads interface {
	// Load estimates the requests that a server runs and queues: the newest
	// report of others' requests and the own requests in flight.
	Load(server int) int
	// Full says that a server has as many own requests as its limit allows.
	Full(server int) bool
	// Mean is the mean of Load over a tier.
	Mean(tier int) float64
}

// Request is what the router needs to know of a request.
type Request struct {
	Class structs.Class
	// Affinity is the hash of the prompt's prefix, or zero.
	Affinity uint64
	// MinVersion is the lowest weight version wanted. Servers whose version is
	// not known count as having it.
	MinVersion structs.WeightVersion
	// Avoid are servers already tried.
	Avoid []structs.HostName
	// Random decides between equal servers.
	Random uint64
}

// Choice is the router's decision.
type Choice struct {
	// Server and Tier are indices of the table.
	Server int
	Tier   int
	// AffinityHit says that the server is the first choice for the affinity.
	AffinityHit bool
}

const (
	// boundFactor is how far over the mean load a server may be and still
	// get requests for the sake of its cache.
	boundFactor = 1.25
	// boundSlack is added to the bound, in requests, so that affinity holds
	// on an idle service.
	boundSlack = 2
	// maxHomes is how many servers in turn are tried for an affinity.
	maxHomes = 4
	// maxPairs is how many pairs of random servers are tried.
	maxPairs = 4
	// maxScan bounds the search through a tier whose servers are nearly all
	// full.
	maxScan = 256
)

// Pick chooses a server and reports whether one may take the request. When
// the limits of all servers are reached it passes over the limits, since
// admission has bounded the requests in flight already.
func (t *Table) Pick(request *Request, loads Loads) (Choice, bool) {
	if choice, ok := t.search(request, loads, false); ok {
		return choice, true
	}
	return t.search(request, loads, true)
}

// search goes through the tiers; full servers count only if passLimits is set.
func (t *Table) search(request *Request, loads Loads, passLimits bool) (Choice, bool) {
	pick := picker{table: t, request: request, loads: loads, passLimits: passLimits}
	for tier := range t.tiers {
		// Work that can wait does not pay for bytes between regions while
		// its own region has servers.
		if tier > 0 && !passLimits && !t.tiers[tier].SameRegion && request.Class >= structs.ClassRollout {
			break
		}
		if choice, ok := pick.in(tier); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// picker is one decision under way.
type picker struct {
	table      *Table
	request    *Request
	loads      Loads
	passLimits bool
}

// in searches one tier.
func (p *picker) in(tier int) (Choice, bool) {
	if p.request.Affinity != 0 {
		if choice, ok := p.homes(tier); ok {
			return choice, true
		}
	}
	server, ok := p.pairs(tier)
	if !ok {
		server, ok = p.scan(tier)
	}
	return Choice{Server: server, Tier: tier}, ok
}

// homes tries the servers that belong to the affinity, in their order.
func (p *picker) homes(tier int) (Choice, bool) {
	bound := boundFactor*p.loads.Mean(tier) + boundSlack
	ring := &p.table.tiers[tier].ring
	key := p.request.Affinity
	for attempt := range maxHomes {
		server := ring.home(key)
		if float64(p.loads.Load(server)) < bound && p.takes(server) {
			return Choice{Server: server, Tier: tier, AffinityHit: attempt == 0}, true
		}
		key = mix(key ^ uint64(attempt))
	}
	return Choice{}, false
}

// pairs returns the less loaded of two random servers.
func (p *picker) pairs(tier int) (int, bool) {
	members := p.table.tiers[tier].Members
	random := p.request.Random
	for range maxPairs {
		random = mix(random)
		first := int(members[reduce(random, len(members))])
		second := int(members[reduce(random<<32, len(members))])
		firstTakes, secondTakes := p.takes(first), p.takes(second)
		switch {
		case firstTakes && secondTakes && p.loads.Load(second) < p.loads.Load(first):
			return second, true
		case firstTakes:
			return first, true
		case secondTakes:
			return second, true
		}
	}
	return 0, false
}

// scan looks through a tier from a random place on, and keeps the less loaded
// of what it finds in a small tier. A wanted version may be on a few servers
// only, so then nothing is left out.
func (p *picker) scan(tier int) (int, bool) {
	members := p.table.tiers[tier].Members
	count := min(len(members), maxScan)
	if p.request.MinVersion > 0 {
		count = len(members)
	}
	at := reduce(p.request.Random, len(members))
	for range count {
		if server := int(members[at]); p.takes(server) {
			return server, true
		}
		if at++; at == len(members) {
			at = 0
		}
	}
	return 0, false
}

// takes reports whether a server may get the request.
func (p *picker) takes(server int) bool {
	s := &p.table.servers[server]
	if s.Version != 0 && s.Version < p.request.MinVersion {
		return false
	}
	if s.Share < FullShare && mix(p.request.Random^uint64(server))%FullShare >= uint64(s.Share) {
		return false
	}
	if !p.passLimits && p.loads.Full(server) {
		return false
	}
	return len(p.request.Avoid) == 0 || !slices.Contains(p.request.Avoid, s.Name)
}

// reduce maps a random number to one below n by its high bits.
func reduce(random uint64, n int) int { return int((random >> 32) * uint64(n) >> 32) }
