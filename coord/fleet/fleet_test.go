package fleet

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func drawList(t *rapid.T) []structs.BackendServer {
	var list []structs.BackendServer
	for i := range 6 {
		if rapid.Bool().Draw(t, "listed") {
			list = append(list, structs.BackendServer{
				Name:     structs.HostName(fmt.Sprint("host-", i)),
				Draining: rapid.Bool().Draw(t, "leaving"),
			})
		}
	}
	return list
}

// TestHostList_FollowerConverges sends deltas to a follower after random numbers
// of changes, each one twice, and compares the lists.
func TestHostList_FollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collector, follower := New(), New()
		version := Version(0)
		for range rapid.IntRange(1, 300).Draw(t, "changes") {
			version += Version(rapid.IntRange(1, 3).Draw(t, "step"))
			collector.Replace(version, drawList(t))
			if rapid.IntRange(0, 3).Draw(t, "ask") == 0 {
				delta := collector.Since(follower.Version())
				follower.Merge(delta)
				follower.Merge(delta)
				must.Eq(t, collector.Hosts(), follower.Hosts())
				must.Eq(t, collector.Version(), follower.Version())
			}
		}
		follower.Merge(collector.Since(follower.Version()))
		must.Eq(t, collector.Hosts(), follower.Hosts())
	})
}

func TestHostList_IgnoresOldVersions(t *testing.T) {
	list := New()
	must.True(t, list.Replace(5, []structs.BackendServer{{Name: "a"}}))
	must.False(t, list.Replace(4, nil))
	must.False(t, list.Merge(Delta{From: 3, To: 9, Removed: []structs.HostName{"a"}}))
	must.Eq(t, 1, len(list.Hosts()))
}
