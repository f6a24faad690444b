// Package route chooses the backend server for a request among up to ten
// thousand. A request that shares a prompt prefix with earlier ones goes to
// the server that has the prefix in its cache, unless that server has more
// than its part of the load; other requests go to the less loaded of two
// random servers. Near servers come before far ones.
//
// A Table is immutable. The loads, which change with each request, are read
// through the interface Loads; randomness comes in with the request.
package route

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// FullShare is the Share of a server that takes all of its traffic, in
// thousandths.
const FullShare = 1000

// Server is a backend server as the router sees it.
type Server struct {
	Name  structs.HostName
	Place structs.Place
	// Version is the weight version that the server runs, or zero.
	Version structs.WeightVersion
	// Share is the part of its traffic that the server gets, in thousandths:
	// zero while it is ejected, less than FullShare while it returns.
	Share uint16
}

// Tier is a set of servers at the same distance.
type Tier struct {
	// Zone is set for the tier of the own zone.
	Zone   structs.ZoneName
	Region structs.RegionName
	// SameRegion is set for tiers inside the own region.
	SameRegion bool
	// PricePerGiB is the cost of a GiB to and from the tier.
	PricePerGiB float64
	// Members are indices of servers.
	Members []int32

	ring ring
}

// Table holds the servers of one service, grouped by distance: the own zone,
// the own region, then each other region by rising price.
type Table struct {
	servers []Server
	tiers   []Tier
	tierOf  []uint8
}

// NewTable builds a table for a daemon that stands at a place.
func NewTable(self structs.Place, servers []Server, prices Prices) *Table {
	t := &Table{servers: servers, tierOf: make([]uint8, len(servers))}
	t.group(self, prices)
	for i := range t.tiers {
		t.tiers[i].ring = newRing(servers, t.tiers[i].Members)
		for _, member := range t.tiers[i].Members {
			t.tierOf[member] = uint8(i)
		}
	}
	return t
}

// WithServers returns a table whose servers have other versions and shares.
// The names, places and order must be those of t, whose rings it reuses.
func (t *Table) WithServers(servers []Server) *Table {
	return &Table{servers: servers, tiers: t.tiers, tierOf: t.tierOf}
}

// Servers returns the servers; they must not be changed.
func (t *Table) Servers() []Server { return t.servers }

// Tiers returns the tiers, the nearest first; they must not be changed.
func (t *Table) Tiers() []Tier { return t.tiers }

// TierOf returns the index of a server's tier.
func (t *Table) TierOf(server int) int { return int(t.tierOf[server]) }

// tierKey orders tiers: the own zone, the own region, other regions.
type tierKey struct {
	distance int
	zone     structs.ZoneName
	region   structs.RegionName
}

const (
	distanceZone = iota
	distanceRegion
	distanceElsewhere
)

func keyOf(self, place structs.Place) tierKey {
	switch {
	case place == self:
		return tierKey{distance: distanceZone, zone: place.Zone, region: place.Region}
	case place.Region == self.Region:
		return tierKey{distance: distanceRegion, region: place.Region}
	default:
		return tierKey{distance: distanceElsewhere, region: place.Region}
	}
}

// group fills the tiers.
func (t *Table) group(self structs.Place, prices Prices) {
	members := make(map[structs.Place]int)
	indices := make(map[tierKey]int)
	var keys []tierKey
	last, tier := structs.Place{}, -1
	for i := range t.servers {
		place := t.servers[i].Place
		if tier >= 0 && place == last {
			t.tiers[tier].Members = append(t.tiers[tier].Members, int32(i))
			continue
		}
		var ok bool
		last = place
		if tier, ok = members[place]; !ok {
			key := keyOf(self, place)
			if tier, ok = indices[key]; !ok {
				tier = len(t.tiers)
				indices[key] = tier
				keys = append(keys, key)
				t.tiers = append(t.tiers, Tier{
					Zone:        key.zone,
					Region:      key.region,
					SameRegion:  key.distance != distanceElsewhere,
					PricePerGiB: prices.Between(self.Region, key.region),
				})
			}
			members[place] = tier
		}
		t.tiers[tier].Members = append(t.tiers[tier].Members, int32(i))
	}
	t.sortTiers(keys)
}

func (t *Table) sortTiers(keys []tierKey) {
	order := make([]int, len(keys))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(keys[a].distance, keys[b].distance),
			cmp.Compare(t.tiers[a].PricePerGiB, t.tiers[b].PricePerGiB),
			cmp.Compare(keys[a].region, keys[b].region))
	})
	sorted := make([]Tier, len(order))
	for i, from := range order {
		sorted[i] = t.tiers[from]
	}
	t.tiers = sorted
}

// point is the place of a server on a ring.
type point struct {
	hash   uint64
	server int32
}

// ring is a consistent hash ring with one point for each server. starts maps
// the high bits of a hash to the first point at or after them.
type ring struct {
	points []point
	starts []int32
	shift  uint
}

// newRing sorts by buckets, as hashes are spread evenly.
func newRing(servers []Server, members []int32) ring {
	width := bits.Len(uint(len(members)))
	r := ring{
		points: make([]point, len(members)),
		starts: make([]int32, 1<<width+1),
		shift:  uint(64 - width),
	}
	hashes := make([]uint64, len(members))
	for i, member := range members {
		hashes[i] = xxhash.Sum64String(string(servers[member].Name))
		r.starts[hashes[i]>>r.shift+1]++
	}
	for bucket := range 1 << width {
		r.starts[bucket+1] += r.starts[bucket]
	}
	next := slices.Clone(r.starts)
	for i, member := range members {
		bucket := hashes[i] >> r.shift
		at := next[bucket]
		next[bucket]++
		for ; at > r.starts[bucket] && r.points[at-1].hash > hashes[i]; at-- {
			r.points[at] = r.points[at-1]
		}
		r.points[at] = point{hash: hashes[i], server: member}
	}
	return r
}

// probes is how many points of the ring a key looks at; the nearest server
// wins. It evens out the parts of the ring as many virtual points would, and
// keeps the ring small enough to rebuild in a millisecond.
const probes = 7

// home returns the server to which a key belongs.
func (r *ring) home(key uint64) int {
	best, distance := int32(0), ^uint64(0)
	for range probes {
		key = mix(key)
		p := r.successor(key)
		if d := p.hash - key; d <= distance {
			best, distance = p.server, d
		}
	}
	return int(best)
}

func (r *ring) successor(hash uint64) point {
	i := int(r.starts[hash>>r.shift])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	if i == len(r.points) {
		i = 0
	}
	return r.points[i]
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
