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

// fakeServices implements the services that the balancer finds by name.
type fakeServices struct {
	kernel.Base
	view     *kernel.Snapshot[contract.HostView]
	settings *kernel.Snapshot[contract.SettingsView]
	engine   fakeEngine

	mu        sync.Mutex
	counts    map[string]int64
	signals   map[structs.HostName]contract.Signal
	balancers map[string]*service
	daemons   []structs.BackendServer
}

type fakeEngine struct {
	outside.EngineClient
	load outside.LoadReport
}

func (f *fakeEngine) FetchLoad(context.Context, string) (outside.LoadReport, error) {
	return f.load, nil
}

func (f *fakeServices) View() *kernel.Snapshot[contract.HostView] { return f.view }

func (f *fakeServices) Report(server structs.HostName, signal contract.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.signals[server] = signal
}

func (f *fakeServices) reports() map[structs.HostName]contract.Signal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.signals)
}

func (f *fakeServices) Platform() outside.Clients { return outside.Clients{Engine: &f.engine} }

func (f *fakeServices) Count(name string, delta int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name] += delta
}

func (f *fakeServices) count(name string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[name]
}

func (f *fakeServices) Gauge(string, int64) {}

func (f *fakeServices) Time(string, time.Duration) {}

func (f *fakeServices) RecordRequest(structs.WorkspaceName, structs.Class, bool) {}

func (f *fakeServices) Register(string, any) error { return nil }

// Call implements contract.Peers: it calls the balancers by address, over
// net/rpc.
func (f *fakeServices) Call(_ context.Context, address, method string, args, reply any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &Receiver{service: f.balancers[address]}); err != nil {
		return err
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer client.Close()
	return client.Call(method, args, reply)
}

// fakeSettings implements contract.Settings, whose View has another type than
// that of contract.Hosts.
type fakeSettings struct {
	kernel.Base
	settings *kernel.Snapshot[contract.SettingsView]
}

func (s fakeSettings) View() *kernel.Snapshot[contract.SettingsView] { return s.settings }

func (s fakeSettings) DecidedParameters(context.Context, structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return settings.ResolvedParameters{}, nil
}

func (s fakeSettings) LastKnownParameters(structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return settings.ResolvedParameters{}, nil
}

var localPlace = structs.Place{Zone: "ashanti-a", Region: "ashanti"}

func newFakeServices(servers []structs.BackendServer) *fakeServices {
	return &fakeServices{
		view: kernel.NewSnapshot(&contract.HostView{
			Loaded:   true,
			Services: map[structs.ServiceName][]structs.BackendServer{"portal": servers},
		}),
		settings:  kernel.NewSnapshot(&contract.SettingsView{}),
		counts:    make(map[string]int64),
		signals:   make(map[structs.HostName]contract.Signal),
		balancers: make(map[string]*service),
	}
}

func makeServers(count int) []structs.BackendServer {
	servers := make([]structs.BackendServer, count)
	for i := range servers {
		servers[i] = structs.BackendServer{
			Name:    structs.HostName(fmt.Sprint("portal-", i)),
			Place:   localPlace,
			Kind:    structs.KindService,
			Service: "portal",
			Address: fmt.Sprint("127.0.0.1:", 1+i),
		}
	}
	return servers
}

// fakeProbe is a probe that fails for the addresses in down.
type fakeProbe struct {
	mu     sync.Mutex
	down   map[string]bool
	probes int
}

func (p *fakeProbe) probeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes
}

func (p *fakeProbe) probe(_ context.Context, address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	if p.down[address] {
		return net.ErrClosed
	}
	return nil
}

func (p *fakeProbe) crash(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down == nil {
		p.down = make(map[string]bool)
	}
	p.down[address] = true
}

// startBalancer starts a balancer with the fakes and waits for its first
// snapshot.
func startBalancer(t testing.TB, f *fakeServices, host structs.HostName, probe probeFunc) *service {
	t.Helper()
	balancer := &service{probe: probe}
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NameHosts, contract.NameMetrics, contract.NamePeers, contract.NameRPCServer} {
		registry.Register(name, func() kernel.Service { return f })
	}
	registry.Register(contract.NameSettings, func() kernel.Service { return fakeSettings{settings: f.settings} })
	registry.Register(contract.NameBalance, func() kernel.Service { return balancer })
	k := kernel.New(kernel.Options{
		Registry: registry,
		Services: []kernel.Name{contract.NameBalance},
		Config:   config.Daemon{Host: host, Place: localPlace, Routing: config.Routing{RegionPrice: 2}},
		Clock:    clockwork.NewRealClock(),
		Log:      discardLogger(),
	})
	must.NoError(t, k.Start(context.Background()))
	t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
	awaitSnapshot(t, balancer, func(s *snapshot) bool { return len(s.services) > 0 })
	return balancer
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// awaitSnapshot waits for a snapshot that fulfills a condition.
func awaitSnapshot(t testing.TB, s *service, condition func(*snapshot) bool) {
	t.Helper()
	for {
		current, replaced := s.snapshot.Watch()
		if condition(current) {
			return
		}
		<-replaced
	}
}
