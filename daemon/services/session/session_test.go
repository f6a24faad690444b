package session

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// TestWatchUpstreamOf_Chain follows the upstreams from every daemon of three
// zones. Each chain must end at the single daemon that watches the store, after
// at most one hop within the zone and one between zones.
func TestWatchUpstreamOf_Chain(t *testing.T) {
	live := make(map[string]contract.Member)
	for zone := range 3 {
		for host := range 4 {
			name := fmt.Sprintf("host-%d%d.1a", zone, host)
			live[name] = contract.Member{Name: name, RPCAddress: name, Zone: structs.ZoneName(fmt.Sprintf("zone-%d", zone))}
		}
	}
	asking := 0
	for _, self := range live {
		source := watchUpstreamOf(&contract.SessionView{Self: self, Live: live})
		if source == "" {
			asking++
			continue
		}
		next := live[source]
		further := watchUpstreamOf(&contract.SessionView{Self: next, Live: live})
		if next.Zone != self.Zone {
			must.Eq(t, "", further)
		} else {
			must.NotEq(t, self.Zone, live[further].Zone)
		}
	}
	must.Eq(t, 1, asking)
}

func TestWatchUpstreamOf_NoSession(t *testing.T) {
	source := watchUpstreamOf(&contract.SessionView{
		Self: contract.Member{Name: "host-2.1a"}, Live: map[string]contract.Member{"host-1.1a": {Name: "host-1.1a", RPCAddress: "x"}},
	})
	must.Eq(t, "", source)
}
