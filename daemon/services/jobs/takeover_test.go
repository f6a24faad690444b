package jobs

import (
	"fmt"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// sessionView returns the session view of a daemon with the given live daemons.
func sessionView(self string, live ...string) *contract.SessionView {
	view := &contract.SessionView{Self: membership.Member{Name: self}, Live: make(map[string]membership.Member)}
	for _, name := range live {
		view.Live[name] = membership.Member{Name: name}
	}
	return view
}

// TestIsJobSuccessorOf_OneDaemon checks that exactly one daemon scans for the
// jobs of a lost host, whatever the number of daemons.
func TestIsJobSuccessorOf_OneDaemon(t *testing.T) {
	var live []string
	for i := range 60 {
		live = append(live, fmt.Sprintf("host-%d.1a", i))
	}
	successorsOf := func(name string) (found []string) {
		var m takeoverMonitor
		for _, self := range live {
			if m.isJobSuccessorOf(name, sessionView(self, live...)) {
				found = append(found, self)
			}
		}
		return found
	}
	must.Len(t, 1, successorsOf("host-lost.1a"))
	// A restarted host takes over its own jobs.
	must.Eq(t, []string{"host-7.1a"}, successorsOf("host-7.0f"))
}

// TestIsJobSuccessorOf_StoppingDaemon guards against jobs of a lost host that nobody takes
// over, because their successor is stopping and does not scan any more.
func TestIsJobSuccessorOf_StoppingDaemon(t *testing.T) {
	stopping := membership.Member{Name: "host-1.1a", IsStopping: true}
	for i := range 50 {
		lost := fmt.Sprintf("host-lost-%d.1a", i)
		for self, isSuccessor := range map[string]bool{"host-1.1a": false, "host-2.1a": true} {
			view := sessionView(self, "host-1.1a", "host-2.1a")
			view.Live[stopping.Name] = stopping
			var m takeoverMonitor
			must.Eq(t, isSuccessor, m.isJobSuccessorOf(lost, view))
			must.Eq(t, isSuccessor, m.isSweeper(view))
		}
	}
	// With no other daemon left it still is.
	view := sessionView(stopping.Name)
	view.Live[stopping.Name] = stopping
	var m takeoverMonitor
	must.True(t, m.isJobSuccessorOf("host-lost.1a", view))
}

func TestIsJobSuccessorOf_NoSession(t *testing.T) {
	var m takeoverMonitor
	must.False(t, m.isJobSuccessorOf("host-lost.1a", sessionView("host-1.1a")))
	must.False(t, m.isJobSuccessorOf("host-1.0f", sessionView("host-1.1a", "host-2.1a")))
	must.True(t, m.isJobSuccessorOf("host-lost.1a", sessionView("host-1.1a", "host-1.1a")))
}

func TestHandoverCandidates_NewerFirst(t *testing.T) {
	const old, young = "18b35e202cb00000", "18b35e2a66000000"
	view := sessionView("host-1."+old, "host-1."+old, "host-2."+old, "host-3."+young)
	must.Eq(t, []string{"host-3." + young}, handoverCandidates(view))
	view = sessionView("host-3."+young, "host-1."+old, "host-2."+old, "host-3."+young)
	must.SliceContainsAll(t, []string{"host-1." + old, "host-2." + old}, handoverCandidates(view))
	must.Len(t, 2, handoverCandidates(view))
	must.Zero(t, membership.StartOf("no-start"))
}

// TestPrepareHandover_UnlistedTexts stops a daemon that has finished results
// which are not yet in the log. Their texts must be handed over, or the
// successor would generate them again.
func TestPrepareHandover_UnlistedTexts(t *testing.T) {
	s := &service{ownedJobs: make(map[string]*job)}
	j := &job{Job: batch.Job{ID: "job-1"}, cancel: func(error) {}}
	for _, id := range []batch.ItemID{"listed", "finished", "running"} {
		it := &item{Item: &batch.Item{ID: id}, text: &contract.Text{}, phase: phaseFinished, isListed: id == "listed"}
		it.text.Add(1, "event", 1, resume.Origin{Service: "models", Software: "v1"})
		j.items = append(j.items, it)
	}
	j.items[1].text.MarkWhole()
	j.items[2].phase = phaseRunning
	j.log.Chunks = []int{1}
	j.pendingResults = []batch.Result{{ID: "finished"}}
	s.ownedJobs[j.ID] = j
	handovers := s.prepareHandover()
	must.Len(t, 1, handovers)
	must.MapLen(t, 2, handovers[0].texts)
	must.True(t, handovers[0].texts["finished"].Whole)

	// A job with all results finished and only some listed must be handed over
	// as well.
	j.items = j.items[:2]
	must.Len(t, 1, s.prepareHandover())
}
