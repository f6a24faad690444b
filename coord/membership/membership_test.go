package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// fleet returns zones with two strong and the given number of weak hosts each.
func fleet(zones, weak int) map[string]Member {
	live := make(map[string]Member)
	for zone := range zones {
		for host := range weak + 2 {
			member := Member{Name: fmt.Sprintf("host-%d-%03d.1a", zone, host), Zone: structs.ZoneName(fmt.Sprintf("zone-%d", zone)), Strength: 0.2}
			if host >= weak {
				member.Strength = 0.8
			}
			member.RPCAddress = member.Name
			live[member.Name] = member
		}
	}
	return live
}

// TestUpstreams_OneReader follows the first upstreams from every daemon of a
// large fleet. Each chain must end at the single daemon that reads the store,
// after at most one hop within the zone and one between zones, and no daemon may
// serve more than its zone and the first ones of the others.
func TestUpstreams_OneReader(t *testing.T) {
	const zones, weak = 6, 180
	live := fleet(zones, weak)
	readers, served := 0, make(map[string]int)
	for _, self := range live {
		upstreams := Upstreams(self, live)
		if len(upstreams) == 0 {
			readers++
			must.True(t, IsUpstream(self, live))
			continue
		}
		served[upstreams[0]]++
		next := live[upstreams[0]]
		must.Eq(t, 0.8, next.Strength)
		further := Upstreams(next, live)
		if next.Zone != self.Zone {
			must.SliceEmpty(t, further)
		} else if len(further) > 0 {
			must.NotEq(t, self.Zone, live[further[0]].Zone)
		}
	}
	must.Eq(t, 1, readers)
	for _, count := range served {
		must.LessEq(t, weak+1+zones-1, count)
	}
}

// TestUpstreams_FirstFails ends the reader of the store. Some other daemon must
// then have no upstream left but the ended one, and so read the store, and every
// other daemon must have an upstream that is not the ended one.
func TestUpstreams_FirstFails(t *testing.T) {
	live := fleet(3, 4)
	readers := 0
	for _, self := range live {
		upstreams := Upstreams(self, live)
		if len(upstreams) == 0 {
			continue
		}
		remaining := slices.DeleteFunc(upstreams, func(address string) bool { return address == "host-0-004.1a" })
		if len(remaining) == 0 {
			readers++
		}
	}
	// The second host of the reader's zone and the first of the second zone.
	must.Eq(t, 2, readers)
}

// TestUpstreams_RankRises checks that chains over any of the upstreams end, so
// that daemons never wait for each other.
func TestUpstreams_RankRises(t *testing.T) {
	live := fleet(4, 9)
	for _, self := range live {
		for _, address := range Upstreams(self, live) {
			must.Negative(t, byRank(live[address], self))
		}
	}
}

func TestUpstreams_NotListed(t *testing.T) {
	self := Member{Name: "host-2.1a"}
	must.SliceEmpty(t, Upstreams(self, nil))
	other := Member{Name: "host-1.1a", RPCAddress: "x"}
	must.Eq(t, []string{"x"}, Upstreams(self, map[string]Member{other.Name: other}))
	must.False(t, IsUpstream(self, map[string]Member{other.Name: other}))
	// The earlier process of the same host is no upstream.
	earlier := Member{Name: "host-2.0f", RPCAddress: "y"}
	must.SliceEmpty(t, Upstreams(self, map[string]Member{earlier.Name: earlier}))
}

// TestNewest checks that a process that was killed does not count beside its
// successor on the host while its lease lasts.
func TestNewest(t *testing.T) {
	live := Newest([]Member{{Name: "host-1.1a"}, {Name: "host-1.2b"}, {Name: "host-2.1a"}})
	must.MapLen(t, 2, live)
	must.MapContainsKeys(t, live, []string{"host-1.2b", "host-2.1a"})
}

// TestJobHosts checks that the daemons which every owner of jobs calls do not
// grow with the weak hosts.
func TestJobHosts(t *testing.T) {
	must.MapLen(t, 12, JobHosts(fleet(6, 180)))
	must.MapLen(t, 12, JobHosts(fleet(6, 20)))
	equal := map[string]Member{"host-1.1a": {Name: "host-1.1a"}, "host-2.1a": {Name: "host-2.1a"}}
	must.MapLen(t, 2, JobHosts(equal))
}

// TestCandidates checks that a stopping daemon is a candidate only if all are stopping.
func TestCandidates(t *testing.T) {
	live := map[string]Member{"a.1": {Name: "a.1", IsStopping: true}, "b.1": {Name: "b.1"}}
	must.Eq(t, []string{"b.1"}, Candidates(live))
	live["b.1"] = Member{Name: "b.1", IsStopping: true}
	must.Eq(t, []string{"a.1", "b.1"}, Candidates(live))
	must.SliceEmpty(t, Candidates(nil))
}
