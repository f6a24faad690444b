package jobs

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/scaling"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// fleetServices implements the services that moving and reporting runs needs.
type fleetServices struct {
	contract.Servers
	contract.EnginePaces
	contract.ServerLimits
	contract.Metrics
	entries *kernel.Snapshot[contract.ServersView]
	loads   []contract.ServiceLoad
}

func (f *fleetServices) Entries() *kernel.Snapshot[contract.ServersView] { return f.entries }
func (f *fleetServices) HasRoom(structs.HostName) bool                   { return true }
func (f *fleetServices) Count(string, int64)                             {}
func (f *fleetServices) RecordLoad(loads []contract.ServiceLoad)         { f.loads = loads }
func (f *fleetServices) Estimate(catalog.Server) (pace, best time.Duration) {
	return 50 * time.Millisecond, 50 * time.Millisecond
}

// newFleetService returns a service with a job of a short and a long item, of 10 and 100
// events, that run on the server "old".
func newFleetService() (*service, *fleetServices, *job) {
	s := newService()
	old := catalog.Server{ID: "old", Service: "engines", Slots: 6, Reclaimable: true}
	spare := catalog.Server{ID: "spare", Service: "engines", Slots: 6}
	f := &fleetServices{entries: kernel.NewSnapshot(&contract.ServersView{
		ByService: map[structs.ServiceName][]catalog.Server{"engines": {spare}},
		All:       map[structs.HostName]catalog.Server{"old": old, "spare": spare},
	})}
	s.servers, s.paces, s.limits, s.metrics, s.fleet = f, f, f, f, f
	s.departures = make(map[structs.HostName]scaling.Departure)
	services := []catalog.Service{{Name: "engines", Engine: &catalog.Engine{TokensPerEvent: 1}, Scaling: &catalog.Scaling{}}}
	s.catalog.Current().Publish(&contract.CatalogView{Catalog: catalog.New(1, nil, services, catalog.Limits{})})
	j := &job{Job: batch.Job{ID: "job", Model: "m", Step: 7}, route: routeSettings{service: "engines", resultDeadline: time.Minute}, submittedAt: s.loop.Now()}
	j.Items = []batch.Item{{ID: "short", LengthHint: 10, MaxOutputTokens: 10}, {ID: "long", LengthHint: 100, MaxOutputTokens: 100}}
	for i := range j.Items {
		j.items = append(j.items, &item{
			Item: &j.Items[i], text: &contract.Text{}, phase: phaseRunning, server: "old", progress: &contract.Progress{}, cancel: func(error) {},
		})
	}
	s.ownedJobs[j.ID] = j
	return s, f, j
}

// leave publishes that the server "old" is draining.
func (f *fleetServices) leave(leavesIn time.Duration) *contract.ServersView {
	view := *f.entries.Load()
	old := view.All["old"]
	old.Draining, old.LeavesIn = true, leavesIn
	view.All = map[structs.HostName]catalog.Server{"old": old, "spare": view.All["spare"]}
	f.entries.Publish(&view)
	return &view
}

func TestUpdateDepartures_MovesUnfinishedRuns(t *testing.T) {
	s, f, j := newFleetService()
	s.engineStateOf(f.entries.Load().All["old"]).localItems = 2
	s.serversChanged(f.leave(2 * time.Second))
	must.False(t, j.items[0].isMoving)
	must.True(t, j.items[1].isMoving)
}

// TestUpdateDepartures_NoTimeGiven leaves the runs of a server that does not say when it
// leaves.
func TestUpdateDepartures_NoTimeGiven(t *testing.T) {
	s, f, j := newFleetService()
	s.engineStateOf(f.entries.Load().All["old"]).localItems = 2
	s.serversChanged(f.leave(0))
	s.moveFromLeaving(s.loop.Now())
	must.False(t, j.items[0].isMoving)
	must.False(t, j.items[1].isMoving)
}

func TestMoveFromLeaving_NoOtherServer(t *testing.T) {
	s, f, j := newFleetService()
	s.engineStateOf(f.entries.Load().All["old"]).localItems = 2
	view := f.leave(2 * time.Second)
	view.ByService = nil
	s.serversChanged(view)
	must.False(t, j.items[1].isMoving)
}

func TestReportLoad(t *testing.T) {
	s, f, j := newFleetService()
	j.items[0].phase = phaseWaiting
	s.reportLoad()
	must.Len(t, 1, f.loads)
	load := f.loads[0]
	must.Eq(t, "engines", load.Service)
	must.Eq(t, 1, load.Running)
	must.Eq(t, 7, load.Steps[0].Number)
	must.Between(t, 5*time.Second, load.Open, 6*time.Second)
	must.Between(t, 6*time.Second, load.Steps[0].Work, 7*time.Second)
	s.ownedJobs = nil
	f.loads = nil
	s.reportLoad()
	must.SliceEmpty(t, f.loads)
}
