package plain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/balance"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/intake"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/metrics"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/peers"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/rpcserver"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/trust"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

const poisonPath = "/records/poison"

// fixedHosts is a host list that never changes and ignores reports of crashes.
type fixedHosts struct {
	kernel.Base
	view *kernel.Snapshot[contract.HostView]
}

func (f fixedHosts) View() *kernel.Snapshot[contract.HostView] { return f.view }

func (f fixedHosts) Report(structs.HostName, contract.Signal) {}

// fixedClients has a client for plain services over HTTP and no others.
type fixedClients struct {
	kernel.Base
	plain outside.PlainServiceClient
}

func (f fixedClients) Platform() outside.Clients { return outside.Clients{Plain: f.plain} }

// fakeSettingsWithView is a fakeSettings with an empty document.
type fakeSettingsWithView struct{ fakeSettings }

func (fakeSettingsWithView) View() *kernel.Snapshot[contract.SettingsView] {
	return kernel.NewSnapshot(&contract.SettingsView{})
}

// newCrashingServer starts a server that crashes on a request for poisonPath and
// counts its crashes.
func newCrashingServer(t *testing.T, name string, crashes *atomic.Int32) structs.BackendServer {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != poisonPath {
			_, _ = w.Write([]byte("filed"))
			return
		}
		crashes.Add(1)
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return structs.BackendServer{
		Name: structs.HostName(name), Service: "portal", Kind: structs.KindService,
		Address: strings.TrimPrefix(server.URL, "http://"),
	}
}

// TestLookup_PoisonQuarantine checks that a lookup that crashes servers is quarantined
// after two crashes although its caller retries it, and that other lookups are served
// meanwhile.
func TestLookup_PoisonQuarantine(t *testing.T) {
	var crashes atomic.Int32
	var servers []structs.BackendServer
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		servers = append(servers, newCrashingServer(t, name, &crashes))
	}
	view := &contract.HostView{Loaded: true, Services: map[structs.ServiceName][]structs.BackendServer{"portal": servers}}
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameBalance, contract.NameRetries, contract.NameMetrics, contract.NamePeers, contract.NameRPCServer, contract.NameTrust, contract.NameIntake} {
		registry.Register(name, func() kernel.Service {
			loaded, err := kernel.DefaultRegistry().New(name)
			must.NoError(t, err)
			return loaded
		})
	}
	registry.Register(contract.NameHosts, func() kernel.Service { return fixedHosts{view: kernel.NewSnapshot(view)} })
	registry.Register(contract.NameClients, func() kernel.Service {
		return fixedClients{plain: httpclient.NewBackend(nil)}
	})
	registry.Register(contract.NameSettings, func() kernel.Service { return fakeSettingsWithView{fakeSettings{timeout: 10 * time.Second}} })
	plain := &service{}
	registry.Register(contract.NameLookups, func() kernel.Service { return plain })
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	k := kernel.New(kernel.Options{
		Registry: registry,
		Services: []kernel.Name{contract.NameLookups},
		Log:      log,
		Config:   config.Daemon{Host: "entry-1", Listen: config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}},
	})
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
	// The first run of the control loop publishes the servers.
	must.NoError(t, kernel.NewLoopExecutor(k.Loop()).Do(t.Context(), func() {}))

	poison, harmless := lookupRequest, lookupRequest
	poison.Path = poisonPath
	var last error
	for range 10 {
		_, last = plain.Lookup(t.Context(), poison)
		must.Error(t, last)
		response, err := plain.Lookup(t.Context(), harmless)
		must.NoError(t, err)
		must.Eq(t, "filed", string(response.Body))
	}
	must.Eq(t, result.Quarantined, result.CodeOf(last))
	must.Eq(t, 2, crashes.Load())
}
