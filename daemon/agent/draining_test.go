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

// counted is a plain service that counts its requests.
type counted struct {
	*service.Service
	requests atomic.Int64
}

func newCounted(name structs.HostName) *counted { return &counted{Service: service.New(name)} }

func (c *counted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.requests.Add(1)
	c.Handler().ServeHTTP(w, r)
}

// lookUp makes a look-up that must be answered whole.
func lookUp(t *testing.T, address string) {
	t.Helper()
	got, err := http.Get("http://" + address + "/v1/workspaces/audit/service/records/1")
	must.NoError(t, err)
	body, err := io.ReadAll(got.Body)
	must.NoError(t, err)
	must.NoError(t, got.Body.Close())
	must.Eq(t, service.RecordOf("1"), string(body))
}

// served returns the servers that may get new work.
func served(t *testing.T, k *kernel.Kernel) *kernel.Snapshot[contract.HostView] {
	hosts, err := kernel.FindLoaded[contract.Hosts](k, contract.NameHosts)
	must.NoError(t, err)
	return hosts.View()
}

func stop(t *testing.T, k *kernel.Kernel) { must.NoError(t, k.Stop(context.Background())) }

// TestLeaving_NoNewWorkAfterTheFirstSign lets a server leave while the list
// still has it as live; another one is listed as leaving from the start.
func TestLeaving_NoNewWorkAfterTheFirstSign(t *testing.T) {
	fleet := store.NewFleet(0)
	stays, leaves, listed := newCounted("portal-1"), newCounted("portal-2"), newCounted("portal-3")
	list(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, stays)
	list(t, fleet, structs.BackendServer{Name: "portal-2", Place: ashanti, Service: "portal"}, leaves)
	list(t, fleet, structs.BackendServer{Name: "portal-3", Place: ashanti, Service: "portal", Draining: true}, listed)
	k, address := startBefore(t, fleet)
	defer stop(t, k)
	create(t, k)
	awaitServers(t, k, "portal", 2)
	leaves.SetFaults(service.Faults{Leaving: true})
	for seen := leaves.requests.Load(); leaves.requests.Load() == seen; {
		lookUp(t, address)
	}
	await(served(t, k), func(v *contract.HostView) bool { return len(v.Services["portal"]) == 1 })
	// The balancer takes the view over soon; then a run of look-ups passes the
	// server, of which it would get half.
	const run = 100
	for passed, seen := 0, leaves.requests.Load(); passed < run; passed++ {
		lookUp(t, address)
		if now := leaves.requests.Load(); now != seen {
			passed, seen = 0, now
		}
	}
	must.Len(t, 1, served(t, k).Load().Services["portal"])
	must.Zero(t, listed.requests.Load())
}

// TestZones_LookUpIsServedByAnotherZone takes the own zone's servers away
// while the list still has them as live.
func TestZones_LookUpIsServedByAnotherZone(t *testing.T) {
	fleet := store.NewFleet(0)
	near, far := newCounted("portal-1"), newCounted("portal-2")
	northern := structs.Place{Zone: "northern-a", Region: "northern"}
	gone := list(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, near)
	list(t, fleet, structs.BackendServer{Name: "portal-2", Place: northern, Service: "portal"}, far)
	k, address := startBefore(t, fleet)
	defer stop(t, k)
	create(t, k)
	awaitServers(t, k, "portal", 2)
	lookUp(t, address)
	must.Eq(t, 1, near.requests.Load())
	must.Zero(t, far.requests.Load())
	gone.CloseClientConnections()
	gone.Close()
	lookUp(t, address)
	must.Eq(t, 1, near.requests.Load())
	must.Eq(t, 1, far.requests.Load())
}
