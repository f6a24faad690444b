package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestAssess_ReasonsOfEngines gives each engine another reason to be passed over. The first
// must be the one that Select returns.
func TestAssess_ReasonsOfEngines(t *testing.T) {
	engine := func(id string, change func(*Engine)) Engine {
		e := Engine{Server: catalog.Server{ID: structs.HostName(id), Slots: 2, Software: "s1"}, Version: 7, Pace: 10 * time.Millisecond}
		change(&e)
		return e
	}
	engines := []Engine{
		engine("slow", func(e *Engine) { e.Pace = 40 * time.Millisecond }),
		engine("blocked", func(e *Engine) { e.Blocked = true }),
		engine("old", func(e *Engine) { e.Version = 6 }),
		engine("full", func(e *Engine) { e.LocalItems = 2 }),
		engine("best", func(*Engine) {}),
	}
	selector := NewEngineSelector(engines, 7, 1)
	want := map[structs.HostName]Objection{"best": NoObjection, "slow": CostsMore, "blocked": IsBlocked, "old": HasOldWeight, "full": HasNoSlot}
	for _, most := range []int{1, 5} {
		got := make(map[structs.HostName]Objection)
		assessed := selector.Assess(10, 7, most)
		for _, a := range assessed {
			got[selector.Engine(a.Index).Server.ID] = a.Objection
		}
		must.Eq(t, want, got)
		selected, ok := selector.Select(10, nil, resume.Position{})
		must.True(t, ok)
		must.Eq(t, selected, assessed[0].Index)
	}
}

func BenchmarkAssess(b *testing.B) {
	engines := make([]Engine, 10000)
	for i := range engines {
		engines[i] = Engine{Server: catalog.Server{ID: structs.HostName(fmt.Sprint("engine-", i)), Slots: 8, Software: "s1"}, Version: 7, LocalItems: i % 8, Pace: time.Duration(10+i%7) * time.Millisecond}
	}
	selector := NewEngineSelector(engines, 7, 1)
	for b.Loop() {
		selector.Assess(16, 7, 32)
	}
}
