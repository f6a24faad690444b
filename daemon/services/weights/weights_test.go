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
	// soon is more than it takes to roll a version out to a few engines.
	soon = 5 * time.Second
)

// world is what the daemons of a bench share. It stands in a synctest bubble,
// so that its time is simulated.
type world struct {
	t       *testing.T
	fleet   *store.Fleet
	engines map[string]*engine.Engine
	hosts   *kernel.Snapshot[contract.HostView]
	peers   map[string]*service
}

func newWorld(t *testing.T) *world {
	return &world{
		t:       t,
		fleet:   store.NewFleet(0),
		engines: map[string]*engine.Engine{},
		hosts:   kernel.NewSnapshot(&contract.HostView{}),
		peers:   map[string]*service{},
	}
}

// engine adds an engine that runs version 1.
func (w *world) engine(name string, place structs.ZoneName, fenced bool) *engine.Engine {
	options := engine.DefaultOptions()
	options.Model, options.Fenced = model, fenced
	w.engines[name] = engine.New(options)
	view := contract.HostView{Services: map[structs.ServiceName][]structs.BackendServer{}}
	view.Services[model] = append(view.Services[model], w.hosts.Load().Services[model]...)
	view.Services[model] = append(view.Services[model], structs.BackendServer{
		Name: structs.HostName(name), Kind: structs.KindEngine, Service: model, Address: name,
		EnforcesFencing: fenced, Place: structs.Place{Zone: place},
	})
	w.hosts.Publish(&view)
	return w.engines[name]
}

// daemon is one daemon's double of all that the service finds.
type daemon struct {
	kernel.Base
	outside.EngineClient
	*world
	address  string
	standing *kernel.Snapshot[contract.ZoneView]
	weights  *service
}

// start runs the service on a daemon with a standing.
func (w *world) start(host string, standing contract.ZoneView) *daemon {
	d := &daemon{world: w, address: host, standing: kernel.NewSnapshot(&standing), weights: &service{}}
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NamePeers, contract.NameMetrics, contract.NameZone, contract.NameRPCServer} {
		registry.Register(name, func() kernel.Service { return d })
	}
	registry.Register(contract.NameHosts, func() kernel.Service { return hostDouble{world: w} })
	registry.Register(contract.NameSettings, func() kernel.Service { return settingsDouble{} })
	registry.Register(contract.NameWeights, func() kernel.Service { return d.weights })
	conf := config.Default()
	conf.Host, conf.Place.Zone = structs.HostName(host), zone
	k := kernel.New(kernel.Options{Registry: registry, Services: []kernel.Name{contract.NameWeights}, Config: conf})
	must.NoError(w.t, k.Start(w.t.Context()))
	w.t.Cleanup(func() { must.NoError(w.t, k.Stop(context.Background())) })
	return d
}

func collects(term structs.Term) contract.ZoneView {
	return contract.ZoneView{Collector: "entry-1", Address: "entry-1", Term: term, IsCollector: true}
}

type hostDouble struct {
	kernel.Base
	contract.Hosts
	world *world
}

func (h hostDouble) View() *kernel.Snapshot[contract.HostView] { return h.world.hosts }

type settingsDouble struct {
	kernel.Base
	contract.Settings
}

func (settingsDouble) View() *kernel.Snapshot[contract.SettingsView] {
	return kernel.NewSnapshot(&contract.SettingsView{
		Resolved: map[structs.WorkspaceName]settings.ResolvedParameters{"w": {Model: model}},
	})
}

func (d *daemon) Platform() outside.Clients {
	return outside.Clients{Weights: d.fleet, Engine: d}
}

func (d *daemon) ZoneView() *kernel.Snapshot[contract.ZoneView] { return d.standing }

func (d *daemon) Register(string, any) error {
	d.peers[d.address] = d.weights
	return nil
}

// Call implements contract.Peers within the process.
func (d *daemon) Call(_ context.Context, address, _ string, args, reply any) error {
	other := d.peers[address]
	if other == nil {
		return result.New(result.PeerUnreachable, "%s", address)
	}
	return (&Receiver{service: other}).Watch(args.(*WatchArgs), reply.(*WatchReply))
}

func (d *daemon) FetchLoad(_ context.Context, address string) (outside.LoadReport, error) {
	return d.engines[address].Load(), nil
}

func (d *daemon) SendOrder(ctx context.Context, address string, order outside.Order) (structs.WeightVersion, error) {
	return d.engines[address].Order(ctx, order)
}

func (d *daemon) Count(string, int64)                                      {}
func (d *daemon) Gauge(string, int64)                                      {}
func (d *daemon) Time(string, time.Duration)                               {}
func (d *daemon) RecordRequest(structs.WorkspaceName, structs.Class, bool) {}

func running(e *engine.Engine) structs.WeightVersion { return e.Load().Version }

// orderAs gives an order as the collector of a term would.
func orderAs(e *engine.Engine, v structs.WeightVersion, term structs.Term) error {
	_, err := e.Order(context.Background(), outside.Order{Model: model, Version: v, Term: term})
	return err
}

func TestWeights_OnlyTheCollectorOrdersTheEnginesOfItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		fenced, open, far := w.engine("fenced", zone, true), w.engine("open", zone, false), w.engine("far", "volta-a", false)
		collector := w.start("entry-1", collects(7))
		follower := w.start("entry-2", contract.ZoneView{Collector: "entry-1", Address: "entry-1", Term: 7})
		w.fleet.Publish(model, 2)
		time.Sleep(soon)
		must.Eq(t, 2, running(fenced))
		must.Eq(t, 2, running(open))
		must.Eq(t, 1, running(far))
		must.SliceLen(t, 1, fenced.Orders())
		must.SliceLen(t, 1, open.Orders())
		must.Eq(t, 2, collector.weights.Newest(model))
		must.Eq(t, 2, follower.weights.Newest(model))
	})
}

func TestWeights_LateOrderIsRefusedOrReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		fenced, open := w.engine("fenced", zone, true), w.engine("open", zone, false)
		w.start("entry-1", collects(7))
		w.fleet.Publish(model, 2)
		time.Sleep(soon)
		must.ErrorIs(t, orderAs(fenced, 1, 6), outside.ErrFenced)
		must.NoError(t, orderAs(open, 1, 6))
		must.Eq(t, 2, running(fenced))
		must.Eq(t, 1, running(open))
		time.Sleep(limitsOf(config.Default().Weights).MaxReadBackInterval)
		must.Eq(t, 2, running(open))
	})
}

func TestWeights_FormerCollectorIsRefusedAndANewTermOrdersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		fenced := w.engine("fenced", zone, true)
		must.NoError(t, orderAs(fenced, 1, 9))
		d := w.start("entry-1", collects(8))
		w.fleet.Publish(model, 2)
		time.Sleep(soon)
		must.Eq(t, 1, running(fenced))
		next := collects(10)
		d.standing.Publish(&next)
		time.Sleep(soon)
		must.Eq(t, 2, running(fenced))
	})
}

func TestWeights_SwapThatStopsHalfwayIsFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.engine("fenced", zone, true)
		e.SetFaults(engine.Faults{HalfSwap: true})
		w.start("entry-1", collects(7))
		w.fleet.Publish(model, 2)
		time.Sleep(soon)
		must.Eq(t, 1, running(e))
		e.SetFaults(engine.Faults{})
		time.Sleep(limitsOf(config.Default().Weights).MaxRetryDelay)
		must.Eq(t, 2, running(e))
	})
}

func TestWeights_NewerVersionOvertakesASlowSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.engine("open", zone, false)
		e.SetFaults(engine.Faults{SwapDelay: 2 * time.Minute})
		w.start("entry-1", collects(7))
		w.fleet.Publish(model, 2)
		time.Sleep(time.Minute)
		w.fleet.Publish(model, 3)
		e.SetFaults(engine.Faults{})
		// The slow swap ends after the one to version 3 and undoes it.
		time.Sleep(4 * limitsOf(config.Default().Weights).MaxReadBackInterval)
		must.Eq(t, 3, running(e))
		undone := false
		for _, order := range e.Orders() {
			undone = undone || order.Ran == 2
		}
		must.True(t, undone)
	})
}
