package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var epoch = time.Unix(0, 0)

func portalServers(names ...structs.HostName) []structs.BackendServer {
	list := make([]structs.BackendServer, len(names))
	for i, name := range names {
		list[i] = structs.BackendServer{Name: name, Service: "portal"}
	}
	return list
}

func TestAvailabilityTracker_RefusalCooldown(t *testing.T) {
	tracker, list := NewAvailabilityTracker(), portalServers("a", "b")
	tracker.SetHosts(epoch, list)
	until, held := tracker.RecordRefusal(epoch, list[0])
	must.True(t, held)
	must.False(t, tracker.RecordAnswer(epoch, "a"))
	must.False(t, tracker.MayGetWork(until.Add(-1), list[0]))
	must.True(t, tracker.MayGetWork(until, list[0]))
	tracker.RecountHeld(until)
	again, held := tracker.RecordRefusal(until, list[0])
	must.True(t, held)
	must.Eq(t, 2*RefusalCooldown, again.Sub(until))
	tracker.RecountHeld(again)
	tracker.RecordAnswer(again, "a")
	last, _ := tracker.RecordRefusal(again, list[0])
	must.Eq(t, RefusalCooldown, last.Sub(again))
}

func TestAvailabilityTracker_HeldFraction(t *testing.T) {
	tracker, list := NewAvailabilityTracker(), portalServers("a", "b", "c", "d")
	tracker.SetHosts(epoch, list)
	for i, wantHeld := range []bool{true, true, false, false} {
		_, held := tracker.RecordRefusal(epoch, list[i])
		must.Eq(t, wantHeld, held)
		must.Eq(t, !wantHeld, tracker.MayGetWork(epoch, list[i]))
	}
}

func TestAvailabilityTracker_ListEndsCooldown(t *testing.T) {
	tracker, list := NewAvailabilityTracker(), portalServers("a", "b")
	tracker.SetHosts(epoch, list)
	tracker.RecordRefusal(epoch, list[0])
	draining := portalServers("a", "b")
	draining[0].Draining = true
	tracker.SetHosts(epoch, draining)
	must.False(t, tracker.MayGetWork(epoch, draining[0]))
	tracker.SetHosts(epoch, list)
	must.True(t, tracker.MayGetWork(epoch, list[0]))
}

func TestAvailabilityTracker_ResponseEndsConnectCooldown(t *testing.T) {
	tracker, list := NewAvailabilityTracker(), portalServers("a")
	tracker.SetHosts(epoch, list)
	until, started := tracker.RecordConnectFailure(epoch, list[0])
	must.True(t, started)
	must.False(t, tracker.MayGetWork(until.Add(-1), list[0]))
	must.True(t, tracker.RecordAnswer(epoch, "a"))
	must.True(t, tracker.MayGetWork(epoch, list[0]))
}
