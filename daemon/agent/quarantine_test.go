package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/emulate/engine"
	"github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
)

// addCrashingEngines adds engines that crash on a marked prompt and returns the number
// of crashes.
func addCrashingEngines(t *testing.T, fleet *store.Fleet, count int) *atomic.Int64 {
	var crashes atomic.Int64
	for i := range count {
		var server *httptest.Server
		options := engine.DefaultOptions()
		options.Crash = func() {
			crashes.Add(1)
			_ = server.Listener.Close()
			server.CloseClientConnections()
		}
		created := engine.New(options)
		created.SetFaults(engine.Faults{CrashMarker: "poison"})
		name := structs.HostName(fmt.Sprint("engine-", i))
		server = addServer(t, fleet, structs.BackendServer{Name: name, Place: ashanti, Service: "assessor", Kind: structs.KindEngine}, created.Handler())
	}
	return &crashes
}

// TestQuarantine_LimitsCrashesToTwoEngines sends a prompt that crashes engines
// repeatedly, as a trainer that retries it would.
func TestQuarantine_LimitsCrashesToTwoEngines(t *testing.T) {
	fleet := store.NewFleet(0)
	crashes := addCrashingEngines(t, fleet, 5)
	addServer(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, service.New("portal-1").Handler())
	k, address := startDaemon(t, fleet)
	defer stopDaemon(t, k)
	createDocument(t, k)
	awaitServers(t, k, "assessor", 5)
	poison := `{"group":"g","prompt":"a poison pill","max_tokens":8}`
	got := postRequest(address, "rollouts", "", poison)
	must.Eq(t, "4006", got.code, must.Sprintf("%s", got.body))
	must.Eq(t, 2, crashes.Load())
	for _, path := range []string{"rollouts", "drafts"} {
		got = postRequest(address, path, "", poison)
		must.Eq(t, "3006", got.code, must.Sprintf("%s", got.body))
	}
	must.Eq(t, 2, crashes.Load())
	got = postRequest(address, "drafts", "", `{"prompt":"a claim","max_tokens":8}`)
	must.Eq(t, http.StatusOK, got.status, must.Sprintf("%s", got.body))
}
