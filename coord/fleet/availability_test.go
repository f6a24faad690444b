package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var epoch = time.Unix(0, 0)

func portals(names ...structs.HostName) []structs.BackendServer {
	list := make([]structs.BackendServer, len(names))
	for i, name := range names {
		list[i] = structs.BackendServer{Name: name, Service: "portal"}
	}
	return list
}

func TestSigns_ARefusalHoldsAServerForASpan(t *testing.T) {
	signs, list := NewAvailabilityTracker(), portals("a", "b")
	signs.SetHosts(epoch, list)
	until, held := signs.RecordRefusal(epoch, list[0])
	must.True(t, held)
	must.False(t, signs.RecordAnswer(epoch, "a"))
	must.False(t, signs.MayGetWork(until.Add(-1), list[0]))
	must.True(t, signs.MayGetWork(until, list[0]))
	signs.RecountHeld(until)
	again, held := signs.RecordRefusal(until, list[0])
	must.True(t, held)
	must.Eq(t, 2*RefusalCooldown, again.Sub(until))
	signs.RecountHeld(again)
	signs.RecordAnswer(again, "a")
	last, _ := signs.RecordRefusal(again, list[0])
	must.Eq(t, RefusalCooldown, last.Sub(again))
}

func TestSigns_KeepsHalfOfAServiceThatRefuses(t *testing.T) {
	signs, list := NewAvailabilityTracker(), portals("a", "b", "c", "d")
	signs.SetHosts(epoch, list)
	for i, holds := range []bool{true, true, false, false} {
		_, held := signs.RecordRefusal(epoch, list[i])
		must.Eq(t, holds, held)
		must.Eq(t, !holds, signs.MayGetWork(epoch, list[i]))
	}
}

func TestSigns_TheListEndsAMark(t *testing.T) {
	signs, list := NewAvailabilityTracker(), portals("a", "b")
	signs.SetHosts(epoch, list)
	signs.RecordRefusal(epoch, list[0])
	leaving := portals("a", "b")
	leaving[0].Draining = true
	signs.SetHosts(epoch, leaving)
	must.False(t, signs.MayGetWork(epoch, leaving[0]))
	signs.SetHosts(epoch, list)
	must.True(t, signs.MayGetWork(epoch, list[0]))
}

func TestSigns_AnAnswerEndsAFailedConnect(t *testing.T) {
	signs, list := NewAvailabilityTracker(), portals("a")
	signs.SetHosts(epoch, list)
	until, out := signs.RecordConnectFailure(epoch, list[0])
	must.True(t, out)
	must.False(t, signs.MayGetWork(until.Add(-1), list[0]))
	must.True(t, signs.RecordAnswer(epoch, "a"))
	must.True(t, signs.MayGetWork(epoch, list[0]))
}
