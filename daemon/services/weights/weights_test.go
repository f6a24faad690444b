package weights

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/engine"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	model structs.ServiceName = "assessor"
	zone  structs.ZoneName    = "ashanti-a"
	// rolloutTime exceeds the time in which a few engines load a new version.
	rolloutTime = 5 * time.Second
)

// environment is the state that the daemons of a test share. It runs in a
// synctest bubble, so that time is simulated.
type environment struct {
	t       *testing.T
	fleet   *store.Fleet
	engines map[string]*engine.Engine
	hosts   *kernel.Snapshot[contract.HostView]
	peers   map[string]*service
}

func newEnvironment(t *testing.T) *environment {
	return &environment{
		t:       t,
		fleet:   store.NewFleet(0),
		engines: map[string]*engine.Engine{},
		hosts:   kernel.NewSnapshot(&contract.HostView{}),
		peers:   map[string]*service{},
	}
}

// addEngine adds an engine that runs version 1 to the host list.
func (env *environment) addEngine(name string, place structs.ZoneName, fenced bool) *engine.Engine {
	options := engine.DefaultOptions()
	options.Model, options.Fenced = model, fenced
	env.engines[name] = engine.New(options)
	view := contract.HostView{Services: map[structs.ServiceName][]structs.BackendServer{}}
	view.Services[model] = append(view.Services[model], env.hosts.Load().Services[model]...)
	view.Services[model] = append(view.Services[model], structs.BackendServer{
		Name: structs.HostName(name), Kind: structs.KindEngine, Service: model, Address: name,
		EnforcesFencing: fenced, Place: structs.Place{Zone: place},
	})
	env.hosts.Publish(&view)
	return env.engines[name]
}

// testDaemon is a daemon that runs the service, and the fake of most services
// that the service uses.
type testDaemon struct {
	kernel.Base
	outside.EngineClient
	*environment
	address  string
	zoneView *kernel.Snapshot[contract.ZoneView]
	service  *service
}

// startDaemon starts the service on a new daemon with a view of the zone.
func (env *environment) startDaemon(host string, view contract.ZoneView) *testDaemon {
	d := &testDaemon{environment: env, address: host, zoneView: kernel.NewSnapshot(&view), service: &service{}}
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NamePeers, contract.NameMetrics, contract.NameZone, contract.NameRPCServer} {
		registry.Register(name, func() kernel.Service { return d })
	}
	registry.Register(contract.NameHosts, func() kernel.Service { return fakeHosts{env: env} })
	registry.Register(contract.NameSettings, func() kernel.Service { return fakeSettings{} })
	registry.Register(contract.NameWeights, func() kernel.Service { return d.service })
	conf := config.Default()
	conf.Host, conf.Place.Zone = structs.HostName(host), zone
	k := kernel.New(kernel.Options{Registry: registry, Services: []kernel.Name{contract.NameWeights}, Config: conf})
	must.NoError(env.t, k.Start(env.t.Context()))
	env.t.Cleanup(func() { must.NoError(env.t, k.Stop(context.Background())) })
	return d
}

func collectorView(term structs.Term) contract.ZoneView {
	return contract.ZoneView{Collector: "entry-1", Address: "entry-1", Term: term, IsCollector: true}
}

type fakeHosts struct {
	kernel.Base
	contract.Hosts
	env *environment
}

func (h fakeHosts) View() *kernel.Snapshot[contract.HostView] { return h.env.hosts }

type fakeSettings struct {
	kernel.Base
	contract.Settings
}

func (fakeSettings) View() *kernel.Snapshot[contract.SettingsView] {
	return kernel.NewSnapshot(&contract.SettingsView{
		Resolved: map[structs.WorkspaceName]settings.ResolvedParameters{"w": {Model: model}},
	})
}

func (d *testDaemon) Platform() outside.Clients {
	return outside.Clients{Weights: d.fleet, Engine: d}
}

func (d *testDaemon) ZoneView() *kernel.Snapshot[contract.ZoneView] { return d.zoneView }

func (d *testDaemon) Register(string, any) error {
	d.peers[d.address] = d.service
	return nil
}

// Call implements contract.Peers within the process.
func (d *testDaemon) Call(_ context.Context, address, _ string, args, reply any) error {
	other := d.peers[address]
	if other == nil {
		return result.New(result.PeerUnreachable, "%s", address)
	}
	return (&Receiver{service: other}).Watch(args.(*WatchArgs), reply.(*WatchReply))
}

func (d *testDaemon) FetchLoad(_ context.Context, address string) (outside.LoadReport, error) {
	return d.engines[address].Load(), nil
}

func (d *testDaemon) SendOrder(ctx context.Context, address string, order outside.Order) (structs.WeightVersion, error) {
	return d.engines[address].Order(ctx, order)
}

func (d *testDaemon) Count(string, int64)                                      {}
func (d *testDaemon) Gauge(string, int64)                                      {}
func (d *testDaemon) Time(string, time.Duration)                               {}
func (d *testDaemon) RecordRequest(structs.WorkspaceName, structs.Class, bool) {}

func runningVersion(e *engine.Engine) structs.WeightVersion { return e.Load().Version }

// sendOrder sends an order with a term, as the collector of that term would.
func sendOrder(e *engine.Engine, v structs.WeightVersion, term structs.Term) error {
	_, err := e.Order(context.Background(), outside.Order{Model: model, Version: v, Term: term})
	return err
}

func TestWeights_CollectorOrdersItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t)
		fenced, unfenced, otherZone := env.addEngine("fenced", zone, true), env.addEngine("open", zone, false), env.addEngine("far", "volta-a", false)
		collector := env.startDaemon("entry-1", collectorView(7))
		follower := env.startDaemon("entry-2", contract.ZoneView{Collector: "entry-1", Address: "entry-1", Term: 7})
		env.fleet.Publish(model, 2)
		time.Sleep(rolloutTime)
		must.Eq(t, 2, runningVersion(fenced))
		must.Eq(t, 2, runningVersion(unfenced))
		must.Eq(t, 1, runningVersion(otherZone))
		must.SliceLen(t, 1, fenced.Orders())
		must.SliceLen(t, 1, unfenced.Orders())
		must.Eq(t, 2, collector.service.Newest(model))
		must.Eq(t, 2, follower.service.Newest(model))
	})
}

func TestWeights_LateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t)
		fenced, unfenced := env.addEngine("fenced", zone, true), env.addEngine("open", zone, false)
		env.startDaemon("entry-1", collectorView(7))
		env.fleet.Publish(model, 2)
		time.Sleep(rolloutTime)
		must.ErrorIs(t, sendOrder(fenced, 1, 6), outside.ErrFenced)
		must.NoError(t, sendOrder(unfenced, 1, 6))
		must.Eq(t, 2, runningVersion(fenced))
		must.Eq(t, 1, runningVersion(unfenced))
		time.Sleep(plannerLimits(config.Default().Weights).MaxReadBackInterval)
		must.Eq(t, 2, runningVersion(unfenced))
	})
}

func TestWeights_FormerCollectorRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t)
		fenced := env.addEngine("fenced", zone, true)
		must.NoError(t, sendOrder(fenced, 1, 9))
		d := env.startDaemon("entry-1", collectorView(8))
		env.fleet.Publish(model, 2)
		time.Sleep(rolloutTime)
		must.Eq(t, 1, runningVersion(fenced))
		next := collectorView(10)
		d.zoneView.Publish(&next)
		time.Sleep(rolloutTime)
		must.Eq(t, 2, runningVersion(fenced))
	})
}

func TestWeights_InterruptedSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t)
		e := env.addEngine("fenced", zone, true)
		e.SetFaults(engine.Faults{HalfSwap: true})
		env.startDaemon("entry-1", collectorView(7))
		env.fleet.Publish(model, 2)
		time.Sleep(rolloutTime)
		must.Eq(t, 1, runningVersion(e))
		e.SetFaults(engine.Faults{})
		time.Sleep(plannerLimits(config.Default().Weights).MaxRetryDelay)
		must.Eq(t, 2, runningVersion(e))
	})
}

func TestWeights_SlowSwapOverNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t)
		e := env.addEngine("open", zone, false)
		e.SetFaults(engine.Faults{SwapDelay: 2 * time.Minute})
		env.startDaemon("entry-1", collectorView(7))
		env.fleet.Publish(model, 2)
		time.Sleep(time.Minute)
		env.fleet.Publish(model, 3)
		e.SetFaults(engine.Faults{})
		// The slow weight swap ends after the swap to version 3 and reverts the
		// engine to version 2. The read-back detects it.
		time.Sleep(4 * plannerLimits(config.Default().Weights).MaxReadBackInterval)
		must.Eq(t, 3, runningVersion(e))
		undone := false
		for _, order := range e.Orders() {
			undone = undone || order.Ran == 2
		}
		must.True(t, undone)
	})
}
