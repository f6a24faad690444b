package jobs

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// viewOf is what a daemon sees of the live ones.
func viewOf(self string, live ...string) *contract.SessionView {
	view := &contract.SessionView{Self: contract.Member{Name: self}, Live: make(map[string]contract.Member)}
	for _, name := range live {
		view.Live[name] = contract.Member{Name: name}
	}
	return view
}

// TestIsHeirOf_OneDaemonLooksForTheJobsOfAHost holds that a lost host costs one
// look, whatever the number of daemons.
func TestIsHeirOf_OneDaemonLooksForTheJobsOfAHost(t *testing.T) {
	var live []string
	for i := range 60 {
		live = append(live, fmt.Sprintf("host-%d.1a", i))
	}
	heirsOf := func(name string) (found []string) {
		var h heirs
		for _, self := range live {
			if h.isHeirOf(name, viewOf(self, live...)) {
				found = append(found, self)
			}
		}
		return found
	}
	must.Len(t, 1, heirsOf("host-lost.1a"))
	// A host that is back takes care of itself.
	must.Eq(t, []string{"host-7.1a"}, heirsOf("host-7.0f"))
}

func TestIsHeirOf_NotWithoutASessionOfItsOwn(t *testing.T) {
	var h heirs
	must.False(t, h.isHeirOf("host-lost.1a", viewOf("host-1.1a")))
	must.False(t, h.isHeirOf("host-1.0f", viewOf("host-1.1a", "host-2.1a")))
	must.True(t, h.isHeirOf("host-lost.1a", viewOf("host-1.1a", "host-1.1a")))
}

func TestSuccessorsOf_ThoseThatStartedLaterComeFirst(t *testing.T) {
	const old, young = "18b35e202cb00000", "18b35e2a66000000"
	view := viewOf("host-1."+old, "host-1."+old, "host-2."+old, "host-3."+young)
	must.Eq(t, []string{"host-3." + young}, successorsOf(view))
	view = viewOf("host-3."+young, "host-1."+old, "host-2."+old, "host-3."+young)
	must.SliceContainsAll(t, []string{"host-1." + old, "host-2." + old}, successorsOf(view))
	must.Len(t, 2, successorsOf(view))
	must.Zero(t, contract.StartOf("no-start"))
}

// TestLeave_TextsOfUnlistedResultsAreHandedOver stops a daemon while results are
// finished and not yet in the log: the heir must not make their texts again.
func TestLeave_TextsOfUnlistedResultsAreHandedOver(t *testing.T) {
	s := &service{owned: make(map[string]*job)}
	j := &job{Job: batch.Job{ID: "job-1"}, cancel: func() {}}
	for _, id := range []batch.ItemID{"listed", "finished", "running"} {
		it := &item{Item: &batch.Item{ID: id}, text: &contract.GeneratedText{}, phase: phaseFinished, listed: id == "listed"}
		it.text.Add(1, "event", 1)
		j.items = append(j.items, it)
	}
	j.items[1].text.MarkWhole()
	j.items[2].phase = phaseRunning
	j.log.Chunks = []int{1}
	j.pending = []batch.Result{{ID: "finished"}}
	s.owned[j.ID] = j
	given := s.leave()
	must.Len(t, 1, given)
	must.MapLen(t, 2, given[0].texts)
	must.True(t, given[0].texts["finished"].Whole)

	// So must a job of which all results are finished and only some listed.
	j.items = j.items[:2]
	must.Len(t, 1, s.leave())
}
