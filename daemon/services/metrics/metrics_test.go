package metrics

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func TestBurn_CountsPerWindow(t *testing.T) {
	clock := clockwork.NewFakeClock()
	created, err := kernel.DefaultRegistry().New(contract.NameMetrics)
	must.NoError(t, err)
	registry := kernel.NewRegistry()
	registry.Register(contract.NameMetrics, func() kernel.Service { return created })
	k := kernel.New(kernel.Options{Registry: registry, Services: []kernel.Name{contract.NameMetrics}, Clock: clock})
	must.NoError(t, k.Start(t.Context()))
	defer func() { must.NoError(t, k.Stop(context.Background())) }()
	s := created.(*service)
	s.RecordRequest("assessor", structs.ClassLookup, false)
	clock.Advance(2 * time.Hour)
	s.RecordRequest("assessor", structs.ClassLookup, true)
	s.RecordRequest("gone", structs.ClassLookup, true)
	report := s.Burn(func(name structs.WorkspaceName) (float64, bool) { return 0.5, name == "assessor" })
	must.Len(t, 1, report.Rows)
	row := report.Rows[0]
	must.Zero(t, row.Alarms[0].Long.Bad)
	must.Eq(t, uint64(1), row.Alarms[2].Long.Bad)
	must.InDelta(t, 0, row.BudgetLeft, 1e-9)
	must.Eq[any](t, int64(1), s.All()["served.assessor.lookup.bad"]["count"])
}
