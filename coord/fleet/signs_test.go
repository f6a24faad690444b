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
	signs, list := NewSigns(), portals("a", "b")
	signs.SetList(epoch, list)
	until, held := signs.Refused(epoch, list[0])
	must.True(t, held)
	must.False(t, signs.Answered(epoch, "a"))
	must.False(t, signs.MayGetWork(until.Add(-1), list[0]))
	must.True(t, signs.MayGetWork(until, list[0]))
	signs.Expire(until)
	again, held := signs.Refused(until, list[0])
	must.True(t, held)
	must.Eq(t, 2*LeavingFor, again.Sub(until))
	signs.Expire(again)
	signs.Answered(again, "a")
	last, _ := signs.Refused(again, list[0])
	must.Eq(t, LeavingFor, last.Sub(again))
}

func TestSigns_KeepsHalfOfAServiceThatRefuses(t *testing.T) {
	signs, list := NewSigns(), portals("a", "b", "c", "d")
	signs.SetList(epoch, list)
	for i, holds := range []bool{true, true, false, false} {
		_, held := signs.Refused(epoch, list[i])
		must.Eq(t, holds, held)
		must.Eq(t, !holds, signs.MayGetWork(epoch, list[i]))
	}
}

func TestSigns_TheListEndsAMark(t *testing.T) {
	signs, list := NewSigns(), portals("a", "b")
	signs.SetList(epoch, list)
	signs.Refused(epoch, list[0])
	leaving := portals("a", "b")
	leaving[0].Leaving = true
	signs.SetList(epoch, leaving)
	must.False(t, signs.MayGetWork(epoch, leaving[0]))
	signs.SetList(epoch, list)
	must.True(t, signs.MayGetWork(epoch, list[0]))
}

func TestSigns_AnAnswerEndsAFailedConnect(t *testing.T) {
	signs, list := NewSigns(), portals("a")
	signs.SetList(epoch, list)
	until, out := signs.Unreached(epoch, list[0])
	must.True(t, out)
	must.False(t, signs.MayGetWork(until.Add(-1), list[0]))
	must.True(t, signs.Answered(epoch, "a"))
	must.True(t, signs.MayGetWork(epoch, list[0]))
}
