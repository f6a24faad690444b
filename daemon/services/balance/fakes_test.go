package balance

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// world holds fakes of all that the balancer finds by name.
type world struct {
	kernel.Base
	view     *kernel.Snapshot[contract.HostView]
	settings *kernel.Snapshot[contract.SettingsView]
	engine   fakeEngine

	mu      sync.Mutex
	counts  map[string]int64
	signals map[structs.HostName]contract.Signal
	others  map[string]*service
	daemons []structs.BackendServer
}

type fakeEngine struct {
	outside.EngineClient
	load outside.LoadReport
}

func (f *fakeEngine) FetchLoad(context.Context, string) (outside.LoadReport, error) {
	return f.load, nil
}

func (w *world) View() *kernel.Snapshot[contract.HostView] { return w.view }

func (w *world) Report(server structs.HostName, signal contract.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signals[server] = signal
}

func (w *world) reports() map[structs.HostName]contract.Signal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.signals)
}

func (w *world) Platform() outside.Clients { return outside.Clients{Engine: &w.engine} }

func (w *world) Count(name string, delta int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name] += delta
}

func (w *world) count(name string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[name]
}

func (w *world) Gauge(string, int64) {}

func (w *world) Time(string, time.Duration) {}

func (w *world) RecordRequest(structs.WorkspaceName, structs.Class, bool) {}

func (w *world) Register(string, any) error { return nil }

// Call implements contract.Peers towards the balancers in others, over net/rpc.
func (w *world) Call(_ context.Context, address, method string, args, reply any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &Receiver{service: w.others[address]}); err != nil {
		return err
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer client.Close()
	return client.Call(method, args, reply)
}

// settingsOf gives the world's settings, whose View has another type.
type settingsOf struct {
	kernel.Base
	settings *kernel.Snapshot[contract.SettingsView]
}

func (s settingsOf) View() *kernel.Snapshot[contract.SettingsView] { return s.settings }

func (s settingsOf) DecidedParameters(context.Context, structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return settings.ResolvedParameters{}, nil
}

func (s settingsOf) LastKnownParameters(structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return settings.ResolvedParameters{}, nil
}

var here = structs.Place{Zone: "ashanti-a", Region: "ashanti"}

func newWorld(servers []structs.BackendServer) *world {
	return &world{
		view: kernel.NewSnapshot(&contract.HostView{
			Loaded:   true,
			Services: map[structs.ServiceName][]structs.BackendServer{"portal": servers},
		}),
		settings: kernel.NewSnapshot(&contract.SettingsView{}),
		counts:   make(map[string]int64),
		signals:  make(map[structs.HostName]contract.Signal),
		others:   make(map[string]*service),
	}
}

func fleet(count int) []structs.BackendServer {
	servers := make([]structs.BackendServer, count)
	for i := range servers {
		servers[i] = structs.BackendServer{
			Name:    structs.HostName(fmt.Sprint("portal-", i)),
			Place:   here,
			Kind:    structs.KindService,
			Service: "portal",
			Address: fmt.Sprint("127.0.0.1:", 1+i),
		}
	}
	return servers
}

// crashable is a probe that finds the named addresses down.
type crashable struct {
	mu     sync.Mutex
	down   map[string]bool
	probes int
}

func (c *crashable) probed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.probes
}

func (c *crashable) probe(_ context.Context, address string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes++
	if c.down[address] {
		return net.ErrClosed
	}
	return nil
}

func (c *crashable) crash(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down == nil {
		c.down = make(map[string]bool)
	}
	c.down[address] = true
}

// start runs a balancer among the fakes and waits for its first snapshot.
func start(t testing.TB, w *world, host structs.HostName, probe probeFunc) *service {
	t.Helper()
	balancer := &service{probe: probe}
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NameHosts, contract.NameMetrics, contract.NamePeers, contract.NameRPCServer} {
		registry.Register(name, func() kernel.Service { return w })
	}
	registry.Register(contract.NameSettings, func() kernel.Service { return settingsOf{settings: w.settings} })
	registry.Register(contract.NameBalance, func() kernel.Service { return balancer })
	k := kernel.New(kernel.Options{
		Registry: registry,
		Services: []kernel.Name{contract.NameBalance},
		Config:   config.Daemon{Host: host, Place: here, Routing: config.Routing{RegionPrice: 2}},
		Clock:    clockwork.NewRealClock(),
		Log:      quiet(),
	})
	must.NoError(t, k.Start(context.Background()))
	t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
	await(t, balancer, func(s *snapshot) bool { return len(s.services) > 0 })
	return balancer
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// await waits until a published snapshot fulfills a condition.
func await(t testing.TB, s *service, holds func(*snapshot) bool) {
	t.Helper()
	for {
		current, replaced := s.snapshot.Watch()
		if holds(current) {
			return
		}
		<-replaced
	}
}
