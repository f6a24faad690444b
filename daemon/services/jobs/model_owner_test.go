package jobs

import (
	"fmt"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// zoneView returns the session view of a zone with two strong and eight weak
// hosts, beside another zone.
func zoneView(self string) *contract.SessionView {
	view := &contract.SessionView{Live: make(map[string]membership.Member)}
	for i := range 12 {
		member := membership.Member{Name: fmt.Sprintf("host-%d.1a", i), Zone: "zone-a", Strength: 0.19}
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

func TestModelOwnerOf_SameStrongHost(t *testing.T) {
	owners := make(map[string]bool)
	for model := range 20 {
		var first string
		for i := range 10 {
			owner := modelOwnerOf(fmt.Sprint(model), zoneView(fmt.Sprintf("host-%d.1a", i)), false)
			must.Eq(t, 0.8, owner.Strength)
			must.Eq(t, "zone-a", owner.Zone)
			if first == "" {
				first = owner.Name
			}
			must.Eq(t, first, owner.Name)
		}
		owners[first] = true
	}
	must.MapLen(t, 2, owners)
}

func TestModelOwnerOf_Restart(t *testing.T) {
	before := modelOwnerOf("model", zoneView("host-5.1a"), false)
	view := zoneView("host-5.1a")
	delete(view.Live, before.Name)
	next := before
	next.Name = membership.HostOf(before.Name) + ".2b"
	view.Live[next.Name] = next
	must.Eq(t, next.Name, modelOwnerOf("model", view, false).Name)
	// Both runs of a host are listed until the lease of the first expires.
	view.Live[before.Name] = before
	must.Eq(t, next.Name, modelOwnerOf("model", view, false).Name)
}

func TestModelOwnerOf_NoSession(t *testing.T) {
	view := zoneView("host-5.1a")
	delete(view.Live, view.Self.Name)
	must.Eq(t, view.Self.Name, modelOwnerOf("model", view, false).Name)
}

func TestModelOwnerOf_Stopping(t *testing.T) {
	owner := modelOwnerOf("model", zoneView("host-5.1a"), false)
	view := zoneView(owner.Name)
	must.NotEq(t, owner.Name, modelOwnerOf("model", view, true).Name)
	must.Eq(t, 0.8, modelOwnerOf("model", view, true).Strength)
	view.Live = map[string]membership.Member{owner.Name: owner}
	must.Eq(t, owner.Name, modelOwnerOf("model", view, true).Name)
}
