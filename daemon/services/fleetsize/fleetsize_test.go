package fleetsize

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/scaling"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// fakeServices implements the services that the decision needs, on the daemon "a-1".
type fakeServices struct {
	contract.TransactionalStore
	contract.Metrics
	clock   *clockwork.FakeClock
	catalog *kernel.Snapshot[contract.CatalogView]
	servers *kernel.Snapshot[contract.ServersView]
	session fakeSession
	reports chan string

	mu      sync.Mutex
	orders  []outside.ServerOrder
	outcome outside.DutyOutcome
	err     error
}

type fakeSession struct {
	contract.Session
	view *kernel.Snapshot[contract.SessionView]
}

func (f fakeSession) View() *kernel.Snapshot[contract.SessionView] { return f.view }

func (f *fakeServices) Current() *kernel.Snapshot[contract.CatalogView] { return f.catalog }
func (f *fakeServices) Entries() *kernel.Snapshot[contract.ServersView] { return f.servers }
func (f *fakeServices) ReachedSince() (time.Time, bool)                 { return time.Time{}, true }
func (f *fakeServices) Count(string, int64)                             {}
func (f *fakeServices) Gauge(string, int64)                             {}
func (f *fakeServices) Call(_ context.Context, address, method string, _, _ any) error {
	f.reports <- address + " " + method
	return nil
}

// fakeDuties is held by this daemon unless it has another holder.
type fakeDuties struct {
	*fakeServices
	view *kernel.Snapshot[contract.DutiesView]
}

func (f fakeDuties) View() *kernel.Snapshot[contract.DutiesView] { return f.view }
func (f fakeDuties) Holds() bool                                 { return f.view.Load().IsSelf }
func (f fakeDuties) ReportUsage(context.Context, outside.UsageReport) (outside.DutyOutcome, error) {
	return outside.DutyRefused, nil
}

func (f fakeDuties) OrderServers(_ context.Context, order outside.ServerOrder) (outside.DutyOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, order)
	return f.outcome, f.err
}

const testService structs.ServiceName = "engines"

// newService returns the service of the holder with eight plain servers in each of three
// zones.
func newService(t *testing.T) (*service, *fakeServices, fakeDuties) {
	t.Helper()
	f := &fakeServices{clock: clockwork.NewFakeClock(), reports: make(chan string, 10)}
	scale := &catalog.Scaling{Min: 1, Max: 16, BootTime: 4 * time.Second, SpotPrice: 0.2, ZonePrices: map[structs.ZoneName]float64{"a": 1, "b": 1, "c": 1}}
	services := []catalog.Service{{Name: testService, Engine: &catalog.Engine{Slots: 6}, Scaling: scale}, {Name: "fixed"}}
	f.catalog = kernel.NewSnapshot(&contract.CatalogView{Catalog: catalog.New(1, nil, services, catalog.Limits{})})
	view := &contract.ServersView{Loaded: true, ByService: make(map[structs.ServiceName][]catalog.Server), All: make(map[structs.HostName]catalog.Server)}
	for i := range 24 {
		server := catalog.Server{ID: structs.HostName(fmt.Sprint(i)), Service: testService, Zone: structs.ZoneName("abc"[i%3 : i%3+1])}
		view.ByService[testService] = append(view.ByService[testService], server)
		view.All[server.ID] = server
	}
	f.servers = kernel.NewSnapshot(view)
	self, other := membership.Member{Name: "a-1.1"}, membership.Member{Name: "b-1.1", RPCAddress: "b-1:1"}
	f.session.view = kernel.NewSnapshot(&contract.SessionView{Self: self, Live: map[string]membership.Member{self.Name: self, other.Name: other}})
	duties := fakeDuties{f, kernel.NewSnapshot(&contract.DutiesView{Holder: "a-1", IsSelf: true})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{
		duties: duties, store: f, session: f.session, catalog: f, servers: f, peers: f, metrics: f, isConfigured: true,
		log: logrus.NewEntry(log), loop: kernel.NewLoop(f.clock), workers: kernel.NewWorkers(20),
	}
	s.newMailboxes()
	s.holderChanged(duties.view.Load())
	return s, f, duties
}

// playSteps reports a step every four seconds and decides each second.
func playSteps(s *service, f *fakeServices, count int) {
	for i := range 4 * count {
		step := contract.StepLoad{Model: "m", Number: uint64(i / 4), Work: 100 * time.Second, Age: time.Duration(i%4) * time.Second, Due: 7500 * time.Millisecond}
		s.handleLoad(contract.FleetLoad{Owner: "b-1.1", Services: []contract.ServiceLoad{{Service: testService, Open: time.Second, Steps: []contract.StepLoad{step}}}})
		s.tick()
		f.clock.Advance(planInterval)
	}
}

func TestTick_OrdersFromLoads(t *testing.T) {
	s, f, _ := newService(t)
	playSteps(s, f, 5)
	s.workers.Stop()
	must.SliceNotEmpty(t, f.orders)
	for _, order := range f.orders {
		must.Eq(t, testService, order.Service)
		must.True(t, order.Reclaimable || order.Count < 8)
	}
}

// TestTick_NewHolder must take nothing away until it has heard the owners of jobs, and the
// set of daemons has not changed lately.
func TestTick_NewHolder(t *testing.T) {
	s, f, _ := newService(t)
	for range 60 {
		s.tick()
		f.clock.Advance(planInterval)
	}
	playSteps(s, f, 1)
	live := f.session.view.Load()
	s.membersChanged(&contract.SessionView{Live: map[string]membership.Member{"c-1.1": {}}})
	s.membersChanged(live)
	playSteps(s, f, 2)
	s.workers.Stop()
	must.SliceEmpty(t, f.orders)
}

// TestTick_NotHolder reports to the holder and orders nothing.
func TestTick_NotHolder(t *testing.T) {
	s, f, duties := newService(t)
	duties.view.Publish(&contract.DutiesView{Holder: "b-1"})
	s.holderChanged(duties.view.Load())
	playSteps(s, f, 5)
	s.RecordLoad([]contract.ServiceLoad{{Service: testService}})
	must.Eq(t, "b-1:1 Fleet.Loaded", <-f.reports)
	s.workers.Stop()
	must.SliceEmpty(t, f.orders)
}

func TestCall_Outcomes(t *testing.T) {
	s, f, _ := newService(t)
	plain, reclaimable := scaling.Order{}, scaling.Order{PoolKey: scaling.PoolKey{Reclaimable: true}}
	for _, test := range []struct {
		outcome outside.DutyOutcome
		err     error
		order   scaling.Order
		want    scaling.Outcome
	}{
		{outside.DutyDone, nil, plain, scaling.OrderAccepted},
		{outside.DutyConflict, nil, reclaimable, scaling.OrderUnavailable},
		{outside.DutyConflict, nil, plain, scaling.OrderNotExecuted},
		{outside.DutyRateLimited, nil, reclaimable, scaling.OrderNotExecuted},
		{outside.DutyRefused, errors.New("timeout"), plain, scaling.OrderUnknown},
		{outside.DutyRefused, result.New(result.NotHolder, "lost"), plain, scaling.OrderNotExecuted},
	} {
		f.outcome, f.err = test.outcome, test.err
		got, _ := s.call(t.Context(), testService, test.order)
		must.Eq(t, test.want, got)
	}
}
