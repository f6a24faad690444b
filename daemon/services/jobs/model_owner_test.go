package jobs

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// zoneOf is a zone of two strong hosts and eight weak ones, beside another zone.
func zoneOf(self string) *contract.SessionView {
	view := &contract.SessionView{Live: make(map[string]contract.Member)}
	for i := range 12 {
		member := contract.Member{Name: fmt.Sprintf("host-%d.1a", i), Zone: "zone-a", Strength: 0.19}
		if i < 2 {
			member.Strength = 0.8
		}
		if i >= 10 {
			member.Zone, member.Strength = structs.ZoneName("zone-b"), 0.8
		}
		view.Live[member.Name] = member
	}
	view.Self = view.Live[self]
	return view
}

func TestHomeOf_TheSameStrongHostForAllDaemonsOfAZone(t *testing.T) {
	homes := make(map[string]bool)
	for model := range 20 {
		var first string
		for i := range 10 {
			home := homeOf(fmt.Sprint(model), zoneOf(fmt.Sprintf("host-%d.1a", i)), false)
			must.Eq(t, 0.8, home.Strength)
			must.Eq(t, "zone-a", home.Zone)
			if first == "" {
				first = home.Name
			}
			must.Eq(t, first, home.Name)
		}
		homes[first] = true
	}
	must.MapLen(t, 2, homes)
}

func TestHomeOf_OutlastsARestart(t *testing.T) {
	before := homeOf("model", zoneOf("host-5.1a"), false)
	view := zoneOf("host-5.1a")
	delete(view.Live, before.Name)
	next := before
	next.Name = contract.HostOf(before.Name) + ".2b"
	view.Live[next.Name] = next
	must.Eq(t, next.Name, homeOf("model", view, false).Name)
	// Both runs of a host are on the list until the lease of the first lapses.
	view.Live[before.Name] = before
	must.Eq(t, next.Name, homeOf("model", view, false).Name)
}

func TestHomeOf_ItselfWithoutASession(t *testing.T) {
	view := zoneOf("host-5.1a")
	delete(view.Live, view.Self.Name)
	must.Eq(t, view.Self.Name, homeOf("model", view, false).Name)
}

func TestHomeOf_AnotherOneWhenThisOneStops(t *testing.T) {
	home := homeOf("model", zoneOf("host-5.1a"), false)
	view := zoneOf(home.Name)
	must.NotEq(t, home.Name, homeOf("model", view, true).Name)
	must.Eq(t, 0.8, homeOf("model", view, true).Strength)
	view.Live = map[string]contract.Member{home.Name: home}
	must.Eq(t, home.Name, homeOf("model", view, true).Name)
}
