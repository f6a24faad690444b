package experiment

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestAll_BeatBaselines checks that each algorithm beats its baselines. The
// figures are the same on every machine, because time is simulated.
func TestAll_BeatBaselines(t *testing.T) {
	routing := Routing()
	affinity, unbounded, choices := routing.Ways[0].Figures, routing.Ways[2].Figures, routing.Ways[3].Figures
	must.Greater(t, 3*choices[0].Value, affinity[0].Value)
	must.Less(t, choices[2].Value, affinity[2].Value)
	must.Less(t, unbounded[2].Value, affinity[2].Value)
	classes := Classes()
	must.Eq(t, 100, classes.Ways[0].Figures[0].Value)
	must.Less(t, classes.Ways[2].Figures[1].Value, classes.Ways[0].Figures[1].Value)
	shares := Shares()
	must.Eq(t, 100, shares.Ways[0].Figures[0].Value)
	must.Less(t, 100, shares.Ways[1].Figures[0].Value)
	limits := Limit()
	must.Less(t, limits.Ways[1].Figures[2].Value, limits.Ways[0].Figures[2].Value)
	must.StrContains(t, routing.Text(), "round robin")
}
