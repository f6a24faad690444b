package jobs

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

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
