package route

import (
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Loads provides the current loads of a table's servers.
type Loads interface {
	// Load estimates the number of requests that a server runs and queues: the
	// latest report of the requests of other daemons plus this daemon's requests
	// in flight.
	Load(server int) int
	// Full reports whether this daemon's requests in flight at a server have
	// reached the limit.
	Full(server int) bool
	// Mean returns the mean of Load over the servers of a tier.
	Mean(tier int) float64
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Class structs.Class
	// Affinity is the hash of the prompt's prefix, or zero.
	Affinity uint64
	// MinVersion is the lowest acceptable weight version. Servers of unknown
	// version are accepted.
	MinVersion structs.WeightVersion
	// Resumes is the position in a stream that the server has to continue.
	Resumes resume.Position
	// Avoid lists the servers that have been tried already.
	Avoid []structs.HostName
	// Random is a uniformly distributed number. It selects the candidates and
	// decides whether a server with a reduced share gets the request.
	Random uint64
}

// Choice is the server selected for a request.
type Choice struct {
	// Server and Tier are indices into the table.
	Server int
	Tier   int
	// AffinityHit reports whether the server is the first candidate of the
	// affinity hash.
	AffinityHit bool
}

const (
	// A server is chosen by affinity only if its load is below
	// loadBoundFactor times the mean load of the tier, plus loadBoundSlack
	// requests. The slack preserves affinity while the service is nearly idle.
	loadBoundFactor = 1.25
	loadBoundSlack  = 2
	// maxAffinityCandidates is the number of servers tried for an affinity hash.
	maxAffinityCandidates = 4
	// maxRandomPairs is the number of pairs of random servers tried.
	maxRandomPairs = 4
	// maxScannedServers bounds the linear search of a tier in which nearly all
	// servers have reached their limits.
	maxScannedServers = 256
)

// limits are the bounds that a search keeps to.
type limits uint8

const (
	// noLimits admits any number of requests to a server.
	noLimits limits = iota
	// serverLimits skips servers that have reached their limits.
	serverLimits
	// freeSlots also skips servers whose slots are taken, and other regions. It answers
	// demand that is uneven over zones: a request that would wait in its zone goes to the
	// next one of its region before a queue forms, where a round trip takes less than the
	// wait. Requests with an affinity wait where their prompt is.
	freeSlots
)

// Pick chooses a server and reports whether any may get the request. It prefers servers with
// free slots in its region. If all eligible servers have reached their limits, it ignores
// the limits, since admission control already bounds the total of requests in flight.
func (t *Table) Pick(request *Request, loads Loads) (Choice, bool) {
	if request.Affinity == 0 {
		if choice, ok := t.search(request, loads, freeSlots); ok {
			return choice, true
		}
	}
	if choice, ok := t.search(request, loads, serverLimits); ok {
		return choice, true
	}
	return t.search(request, loads, noLimits)
}

// search tries the tiers from the nearest to the farthest.
func (t *Table) search(request *Request, loads Loads, bounds limits) (Choice, bool) {
	p := picker{table: t, request: request, loads: loads, bounds: bounds}
	for tier := range t.tiers {
		if bounds == freeSlots && !t.tiers[tier].SameRegion {
			break
		}
		// Rollouts and internal requests are not urgent, so they don't incur
		// the cost of traffic between regions while a server in their own
		// region may get them, even one over its limit.
		if tier > 0 && bounds != noLimits && !t.tiers[tier].SameRegion && request.Class >= structs.ClassRollout {
			break
		}
		if choice, ok := p.pickFromTier(tier); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// picker is the state of one search.
type picker struct {
	table   *Table
	request *Request
	loads   Loads
	bounds  limits
}

// pickFromTier chooses a server of one tier and reports whether it found one.
func (p *picker) pickFromTier(tier int) (Choice, bool) {
	if p.request.Affinity != 0 {
		if choice, ok := p.pickByAffinity(tier); ok {
			return choice, true
		}
	}
	server, ok := p.pickTwoChoices(tier)
	if !ok {
		server, ok = p.scanTier(tier)
	}
	return Choice{Server: server, Tier: tier}, ok
}

// pickByAffinity tries the servers to which the affinity hash maps, in order of
// preference, and skips those over the load bound (consistent hashing with
// bounded loads).
func (p *picker) pickByAffinity(tier int) (Choice, bool) {
	bound := loadBoundFactor*p.loads.Mean(tier) + loadBoundSlack
	ring := &p.table.tiers[tier].ring
	key := p.request.Affinity
	for attempt := range maxAffinityCandidates {
		server := ring.lookup(key)
		if float64(p.loads.Load(server)) < bound && p.isEligible(server) {
			return Choice{Server: server, Tier: tier, AffinityHit: attempt == 0}, true
		}
		key = mix(key ^ uint64(attempt))
	}
	return Choice{}, false
}

// pickTwoChoices returns the less loaded of two random eligible servers (power
// of two choices).
func (p *picker) pickTwoChoices(tier int) (int, bool) {
	members := p.table.tiers[tier].Members
	random := p.request.Random
	for range maxRandomPairs {
		random = mix(random)
		first := int(members[reduce(random, len(members))])
		second := int(members[reduce(random<<32, len(members))])
		firstEligible, secondEligible := p.isEligible(first), p.isEligible(second)
		switch {
		case firstEligible && secondEligible && p.loads.Load(second) < p.loads.Load(first):
			return second, true
		case firstEligible:
			return first, true
		case secondEligible:
			return second, true
		}
	}
	return 0, false
}

// scanTier returns the first eligible server of a tier, starting at a random
// one. It looks at maxScannedServers at most, but at the whole tier if the request
// requires a version of the weights or the software, which few servers may run.
func (p *picker) scanTier(tier int) (int, bool) {
	members := p.table.tiers[tier].Members
	count := min(len(members), maxScannedServers)
	if p.request.MinVersion > 0 || p.request.Resumes.Last > 0 {
		count = len(members)
	}
	i := reduce(p.request.Random, len(members))
	for range count {
		if server := int(members[i]); p.isEligible(server) {
			return server, true
		}
		if i++; i == len(members) {
			i = 0
		}
	}
	return 0, false
}

// isEligible reports whether a server may get the request.
func (p *picker) isEligible(server int) bool { return p.objection(server) == NoObjection }

// objection returns why a server may not get the request. A server with a reduced share is
// eligible for that fraction of the requests.
func (p *picker) objection(server int) Objection {
	s := &p.table.servers[server]
	if s.Version != 0 && s.Version < p.request.MinVersion {
		return OldWeights
	}
	if p.request.Resumes.Last > 0 && !p.request.Resumes.Origin.FitsWith(s.Origin) {
		return OtherSoftware
	}
	if s.Share < FullShare && mix(p.request.Random^uint64(server))%FullShare >= uint64(s.Share) {
		return Ejected
	}
	if p.bounds != noLimits && p.loads.Full(server) {
		return AtLimit
	}
	if p.bounds == freeSlots && s.Slots > 0 && p.loads.Load(server) >= s.Slots {
		return AtLimit
	}
	if len(p.request.Avoid) > 0 && slices.Contains(p.request.Avoid, s.Name) {
		return AlreadyTried
	}
	return NoObjection
}

// reduce maps the high 32 bits of a random number to the range [0, n).
func reduce(random uint64, n int) int { return int((random >> 32) * uint64(n) >> 32) }
