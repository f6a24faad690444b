// Package membership decides what a daemon does by its place among the live
// daemons of a managed platform: from which daemons it gets changes of the store,
// and which daemons may own batch jobs. It answers the load of hundreds of daemons
// that start or lose the store together: one of them reads the store's changes for
// all, and every owner of jobs calls only the strongest hosts of each zone.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Member is a live daemon.
type Member struct {
	// Name identifies one process of a daemon: its host, a dot and its start time
	// in hexadecimal nanoseconds.
	Name string `json:"name"`
	// RPCAddress is its net/rpc address.
	RPCAddress string `json:"peers"`
	// RelayAddress is where it takes requests to backend servers from daemons that
	// cannot reach them; empty if it takes none.
	RelayAddress string `json:"relay,omitempty"`
	// RelaysOnce is set if it never sends such a request twice unless it may be
	// repeated. Earlier releases do not set it.
	RelaysOnce bool `json:"relays_once,omitempty"`
	// IsStopping is set while a planned stop is in progress. Earlier releases do not set
	// it.
	IsStopping bool `json:"stopping,omitempty"`
	// SharesRuns is set if it takes reports on the runs of other owners of batch jobs.
	// Earlier releases do not set it.
	SharesRuns bool             `json:"shares_runs,omitempty"`
	Zone       structs.ZoneName `json:"zone"`
	// Strength is the number of processor cores that the host gives it, and may be
	// a fraction.
	Strength float64 `json:"strength,omitempty"`
}

// MinStrengthRatio is the minimum strength of a host that may own batch jobs,
// relative to the strongest host of its zone.
const MinStrengthRatio = 0.8

// maxUpstreams bounds the daemons of one kind that a daemon tries for changes of
// the store before it reads the store itself.
const maxUpstreams = 3

// SameHost reports whether two member names belong to the same host.
func SameHost(a, b string) bool { return HostOf(a) == HostOf(b) }

// StartOf returns the start time in a member name, in nanoseconds, and zero when
// the name has none.
func StartOf(name string) int64 {
	started, err := strconv.ParseInt(strings.TrimPrefix(name, HostOf(name)+"."), 16, 64)
	if err != nil {
		return 0
	}
	return started
}

// HostOf returns the host in a member name.
func HostOf(name string) string {
	if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
		return name[:dot]
	}
	return name
}

// Newest returns the members by name, without those that a later process on the
// same host has replaced. Their leases may take seconds to expire.
func Newest(members []Member) map[string]Member {
	newest := make(map[string]Member, len(members))
	for _, member := range members {
		host := HostOf(member.Name)
		if other, ok := newest[host]; !ok || StartOf(member.Name) > StartOf(other.Name) {
			newest[host] = member
		}
	}
	live := make(map[string]Member, len(newest))
	for _, member := range newest {
		live[member.Name] = member
	}
	return live
}

// byRank orders members by the rank in which they read the store for others:
// stronger hosts first, then by name.
func byRank(a, b Member) int {
	if a.Strength != b.Strength {
		return cmp.Compare(b.Strength, a.Strength)
	}
	return cmp.Compare(a.Name, b.Name)
}

// ByRank returns members in the order of their rank.
func ByRank(members []Member) []Member { return slices.SortedFunc(slices.Values(members), byRank) }

// ZoneFirsts returns the first member of each zone, by rank. It gets the changes
// of the store for its zone.
func ZoneFirsts(live map[string]Member) []Member {
	firstOf := make(map[structs.ZoneName]Member)
	for _, member := range live {
		if first, ok := firstOf[member.Zone]; !ok || byRank(member, first) < 0 {
			firstOf[member.Zone] = member
		}
	}
	return slices.SortedFunc(maps.Values(firstOf), byRank)
}

// Upstreams returns the addresses of the daemons from which a daemon gets the
// changes of the store, in the order in which it tries them. It is empty for the
// first of all daemons, which reads the store itself. The first of each zone
// serves its zone and gets the changes from the first of another zone with a
// higher rank. Each further address stands in for those before it: chains of
// upstreams end at a daemon that reads the store, because the rank rises along
// them.
func Upstreams(self Member, live map[string]Member) []string {
	precedes := func(member Member) bool {
		// An earlier process of the same host is the daemon itself.
		return !SameHost(member.Name, self.Name) && byRank(member, self) < 0
	}
	var ofZone []Member
	for _, member := range live {
		if member.Zone == self.Zone && precedes(member) {
			ofZone = append(ofZone, member)
		}
	}
	slices.SortFunc(ofZone, byRank)
	var addresses []string
	for _, member := range ofZone[:min(len(ofZone), maxUpstreams)] {
		addresses = append(addresses, member.RPCAddress)
	}
	firsts := ZoneFirsts(live)
	for _, first := range firsts[:min(len(firsts), maxUpstreams)] {
		if first.Zone != self.Zone && precedes(first) {
			addresses = append(addresses, first.RPCAddress)
		}
	}
	return addresses
}

// IsUpstream reports whether other daemons get changes of the store from a
// daemon, which is so for the first of each zone.
func IsUpstream(self Member, live map[string]Member) bool {
	return slices.ContainsFunc(ZoneFirsts(live), func(first Member) bool { return first.Name == self.Name })
}

// Deputy returns the daemon that does the leader's work for requests while the leader
// cannot be reached: the first other one by rank. It returns false when there is none.
func Deputy(leader string, live map[string]Member) (Member, bool) {
	var deputy Member
	for name, member := range live {
		if name != leader && (deputy.Name == "" || byRank(member, deputy) < 0) {
			deputy = member
		}
	}
	return deputy, deputy.Name != ""
}

// JobHosts returns the names of the daemons that may own batch jobs: those on
// the strongest hosts of each zone.
func JobHosts(live map[string]Member) map[string]bool {
	strongest := make(map[structs.ZoneName]float64)
	for _, member := range live {
		strongest[member.Zone] = max(strongest[member.Zone], member.Strength)
	}
	hosts := make(map[string]bool)
	for name, member := range live {
		if member.Strength >= MinStrengthRatio*strongest[member.Zone] {
			hosts[name] = true
		}
	}
	return hosts
}

// Candidates returns the names of the daemons that may become the leader: those that may
// own batch jobs. A daemon that is stopping is one only if all are, since it would soon
// hand the leadership on to a daemon that may just have had it.
func Candidates(live map[string]Member) []string {
	staying := make(map[string]Member, len(live))
	for name, member := range live {
		if !member.IsStopping {
			staying[name] = member
		}
	}
	if len(staying) == 0 {
		staying = live
	}
	return slices.Sorted(maps.Keys(JobHosts(staying)))
}
