package agent

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// countingService is a plain service that counts its requests.
type countingService struct {
	*service.Service
	requests atomic.Int64
}

func newCountingService(name structs.HostName) *countingService {
	return &countingService{Service: service.New(name)}
}

func (c *countingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.requests.Add(1)
	c.Handler().ServeHTTP(w, r)
}

// checkLookup makes a look-up and checks that its response is complete.
func checkLookup(t *testing.T, address string) {
	t.Helper()
	got, err := http.Get("http://" + address + "/v1/workspaces/audit/service/records/1")
	must.NoError(t, err)
	body, err := io.ReadAll(got.Body)
	must.NoError(t, err)
	must.NoError(t, got.Body.Close())
	must.Eq(t, service.RecordOf("1"), string(body))
}

// hostView returns the daemon's snapshot of the hosts.
func hostView(t *testing.T, k *kernel.Kernel) *kernel.Snapshot[contract.HostView] {
	hosts, err := kernel.FindLoaded[contract.Hosts](k, contract.NameHosts)
	must.NoError(t, err)
	return hosts.View()
}

func stopDaemon(t *testing.T, k *kernel.Kernel) { must.NoError(t, k.Stop(context.Background())) }

// TestDraining_NoNewWork guards against new work for a draining server. One server
// starts to drain while the host list still shows it as live, so that only its refusals
// show it; another is listed as draining from the start.
func TestDraining_NoNewWork(t *testing.T) {
	fleet := store.NewFleet(0)
	live, draining, listedDraining := newCountingService("portal-1"), newCountingService("portal-2"), newCountingService("portal-3")
	addServer(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, live)
	addServer(t, fleet, structs.BackendServer{Name: "portal-2", Place: ashanti, Service: "portal"}, draining)
	addServer(t, fleet, structs.BackendServer{Name: "portal-3", Place: ashanti, Service: "portal", Draining: true}, listedDraining)
	k, address := startDaemon(t, fleet)
	defer stopDaemon(t, k)
	createDocument(t, k)
	awaitServers(t, k, "portal", 2)
	draining.SetFaults(service.Faults{Leaving: true})
	for seen := draining.requests.Load(); draining.requests.Load() == seen; {
		checkLookup(t, address)
	}
	awaitSnapshot(hostView(t, k), func(v *contract.HostView) bool { return len(v.Services["portal"]) == 1 })
	// The balancer applies the new view after a short delay. From then on the server
	// gets none of a series of look-ups, of which it would otherwise get half.
	const lookups = 100
	for passed, seen := 0, draining.requests.Load(); passed < lookups; passed++ {
		checkLookup(t, address)
		if now := draining.requests.Load(); now != seen {
			passed, seen = 0, now
		}
	}
	must.Len(t, 1, hostView(t, k).Load().Services["portal"])
	must.Zero(t, listedDraining.requests.Load())
}

// TestLookup_FailoverToAnotherZone stops the only server of the daemon's zone while the
// host list still shows it as live.
func TestLookup_FailoverToAnotherZone(t *testing.T) {
	fleet := store.NewFleet(0)
	near, far := newCountingService("portal-1"), newCountingService("portal-2")
	northern := structs.Place{Zone: "northern-a", Region: "northern"}
	gone := addServer(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, near)
	addServer(t, fleet, structs.BackendServer{Name: "portal-2", Place: northern, Service: "portal"}, far)
	k, address := startDaemon(t, fleet)
	defer stopDaemon(t, k)
	createDocument(t, k)
	awaitServers(t, k, "portal", 2)
	checkLookup(t, address)
	must.Eq(t, 1, near.requests.Load())
	must.Zero(t, far.requests.Load())
	gone.CloseClientConnections()
	gone.Close()
	checkLookup(t, address)
	must.Eq(t, 1, near.requests.Load())
	must.Eq(t, 1, far.requests.Load())
}
