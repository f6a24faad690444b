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

// listFragile lists engines that die of a marked prompt and counts their
// deaths.
func listFragile(t *testing.T, fleet *store.Fleet, count int) *atomic.Int64 {
	var deaths atomic.Int64
	for i := range count {
		var server *httptest.Server
		options := engine.DefaultOptions()
		options.Crash = func() {
			deaths.Add(1)
			_ = server.Listener.Close()
			server.CloseClientConnections()
		}
		made := engine.New(options)
		made.SetFaults(engine.Faults{CrashMarker: "poison"})
		name := structs.HostName(fmt.Sprint("engine-", i))
		server = list(t, fleet, structs.BackendServer{Name: name, Place: ashanti, Service: "assessor", Kind: structs.KindEngine}, made.Handler())
	}
	return &deaths
}

// TestQuarantine_PromptCrashesNoMoreThanTwoEngines sends a prompt that crashes
// engines again and again, as its trainer would.
func TestQuarantine_PromptCrashesNoMoreThanTwoEngines(t *testing.T) {
	fleet := store.NewFleet(0)
	deaths := listFragile(t, fleet, 5)
	list(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, service.New("portal-1").Handler())
	k, address := startBefore(t, fleet)
	defer stop(t, k)
	create(t, k)
	awaitServers(t, k, "assessor", 5)
	poison := `{"group":"g","prompt":"a poison pill","max_tokens":8}`
	got := post(address, "rollouts", "", poison)
	must.Eq(t, "4006", got.code, must.Sprintf("%s", got.body))
	must.Eq(t, 2, deaths.Load())
	for _, path := range []string{"rollouts", "drafts"} {
		got = post(address, path, "", poison)
		must.Eq(t, "3006", got.code, must.Sprintf("%s", got.body))
	}
	must.Eq(t, 2, deaths.Load())
	got = post(address, "drafts", "", `{"prompt":"a claim","max_tokens":8}`)
	must.Eq(t, http.StatusOK, got.status, must.Sprintf("%s", got.body))
}
