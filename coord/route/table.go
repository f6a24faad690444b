// Package route chooses the backend server for a request among up to ten
// thousand. Requests that share a prompt prefix go to the same server, which has
// the prefix in its cache, unless its load is too far above the mean. Other
// requests go to the less loaded of two random servers. Nearer servers are
// preferred.
//
// A Table is immutable. The loads, which change with each request, are read
// through the interface Loads; the request carries a random number.
package route

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// FullShare is the Share of a server that gets its normal traffic, in
// thousandths.
const FullShare = 1000

// Server is a backend server as a routing target.
type Server struct {
	Name  structs.HostName
	Place structs.Place
	// Version is the weight version that the server runs, or zero.
	Version structs.WeightVersion
	// Origin is that of the streams which the server generates.
	Origin resume.Origin
	// Slots is how many requests the server runs at once, or zero.
	Slots int
	// Share is the share of its normal traffic that the server gets, in
	// thousandths: zero while it is ejected, and less than FullShare while its
	// traffic ramps up after an ejection.
	Share uint16
}

// Tier is a set of servers at the same distance from the daemon.
type Tier struct {
	// Zone is set only for the tier of the daemon's own zone.
	Zone   structs.ZoneName
	Region structs.RegionName
	// SameRegion is set for tiers inside the daemon's own region.
	SameRegion bool
	// PricePerGiB is the price of a GiB of traffic to or from the tier.
	PricePerGiB float64
	// Members holds the indices of the tier's servers in the table.
	Members []int32

	ring ring
}

// Table holds the servers of one service, grouped by distance: the daemon's own
// zone, the rest of its region, then the other regions by ascending price.
type Table struct {
	servers []Server
	tiers   []Tier
	// tierOf maps the index of a server to the index of its tier.
	tierOf []uint8
}

// NewTable builds the table of a daemon located at self.
func NewTable(self structs.Place, servers []Server, prices Prices) *Table {
	t := &Table{servers: servers, tierOf: make([]uint8, len(servers))}
	t.groupByDistance(self, prices)
	for i := range t.tiers {
		t.tiers[i].ring = newRing(servers, t.tiers[i].Members)
		for _, member := range t.tiers[i].Members {
			t.tierOf[member] = uint8(i)
		}
	}
	return t
}

// WithServers returns a table with updated versions and shares. It reuses the
// tiers and rings of t, so servers must have the names, places and order of
// those of t.
func (t *Table) WithServers(servers []Server) *Table {
	return &Table{servers: servers, tiers: t.tiers, tierOf: t.tierOf}
}

// Servers returns the servers. The caller must not modify them.
func (t *Table) Servers() []Server { return t.servers }

// Tiers returns the tiers, nearest first. The caller must not modify them.
func (t *Table) Tiers() []Tier { return t.tiers }

// TierOf returns the index of a server's tier.
func (t *Table) TierOf(server int) int { return int(t.tierOf[server]) }

// tierKey identifies a tier. The zone is set only for the daemon's own zone.
type tierKey struct {
	distance int
	zone     structs.ZoneName
	region   structs.RegionName
}

const (
	distanceZone = iota
	distanceRegion
	distanceOtherRegion
)

func tierKeyOf(self, place structs.Place) tierKey {
	switch {
	case place == self:
		return tierKey{distance: distanceZone, zone: place.Zone, region: place.Region}
	case place.Region == self.Region:
		return tierKey{distance: distanceRegion, region: place.Region}
	default:
		return tierKey{distance: distanceOtherRegion, region: place.Region}
	}
}

// groupByDistance builds the tiers and sorts them.
func (t *Table) groupByDistance(self structs.Place, prices Prices) {
	tierByPlace := make(map[structs.Place]int)
	tierByKey := make(map[tierKey]int)
	var keys []tierKey
	// Consecutive servers are often at the same place, so the latest look-up is
	// kept.
	lastPlace, tier := structs.Place{}, -1
	for i := range t.servers {
		place := t.servers[i].Place
		if tier >= 0 && place == lastPlace {
			t.tiers[tier].Members = append(t.tiers[tier].Members, int32(i))
			continue
		}
		var ok bool
		lastPlace = place
		if tier, ok = tierByPlace[place]; !ok {
			key := tierKeyOf(self, place)
			if tier, ok = tierByKey[key]; !ok {
				tier = len(t.tiers)
				tierByKey[key] = tier
				keys = append(keys, key)
				t.tiers = append(t.tiers, Tier{
					Zone:        key.zone,
					Region:      key.region,
					SameRegion:  key.distance != distanceOtherRegion,
					PricePerGiB: prices.Between(self.Region, key.region),
				})
			}
			tierByPlace[place] = tier
		}
		t.tiers[tier].Members = append(t.tiers[tier].Members, int32(i))
	}
	t.sortTiers(keys)
}

// sortTiers sorts the tiers by distance, price and region; keys holds the key of
// each tier.
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
	for i, index := range order {
		sorted[i] = t.tiers[index]
	}
	t.tiers = sorted
}

// point is the position of a server on a ring.
type point struct {
	hash   uint64
	server int32
}

// ring is a multi-probe consistent hash ring with one point for each server.
type ring struct {
	// points are sorted by hash.
	points []point
	// bucketStarts maps the high bits of a hash, hash>>shift, to the index of the
	// first point with the same or higher bits.
	bucketStarts []int32
	shift        uint
}

// newRing sorts the points with a bucket sort, which takes linear time since
// hashes are evenly distributed.
func newRing(servers []Server, members []int32) ring {
	bucketBits := bits.Len(uint(len(members)))
	r := ring{
		points:       make([]point, len(members)),
		bucketStarts: make([]int32, 1<<bucketBits+1),
		shift:        uint(64 - bucketBits),
	}
	hashes := make([]uint64, len(members))
	for i, member := range members {
		hashes[i] = xxhash.Sum64String(string(servers[member].Name))
		r.bucketStarts[hashes[i]>>r.shift+1]++
	}
	for bucket := range 1 << bucketBits {
		r.bucketStarts[bucket+1] += r.bucketStarts[bucket]
	}
	next := slices.Clone(r.bucketStarts)
	for i, member := range members {
		bucket := hashes[i] >> r.shift
		position := next[bucket]
		next[bucket]++
		for ; position > r.bucketStarts[bucket] && r.points[position-1].hash > hashes[i]; position-- {
			r.points[position] = r.points[position-1]
		}
		r.points[position] = point{hash: hashes[i], server: member}
	}
	return r
}

// probesPerKey is the number of positions at which a key is looked up; the
// server whose point is nearest to its position owns the key. This balances the
// servers as well as many virtual points for each would, and the ring stays
// small enough to be rebuilt in a millisecond.
const probesPerKey = 7

// lookup returns the server that owns a key.
func (r *ring) lookup(key uint64) int {
	best, distance := int32(0), ^uint64(0)
	for range probesPerKey {
		key = mix(key)
		p := r.successor(key)
		if d := p.hash - key; d <= distance {
			best, distance = p.server, d
		}
	}
	return int(best)
}

// successor returns the first point at or after a hash, wrapping around at the
// end of the ring.
func (r *ring) successor(hash uint64) point {
	i := int(r.bucketStarts[hash>>r.shift])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	if i == len(r.points) {
		i = 0
	}
	return r.points[i]
}

// mix returns the next output of the splitmix64 generator with state x. It
// serves as a hash function.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
