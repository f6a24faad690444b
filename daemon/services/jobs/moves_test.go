package jobs

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// TestEngineState_Connections follows the connections to an engine through runs that end
// and are cut, and through a time without any.
func TestEngineState_Connections(t *testing.T) {
	now := time.Unix(1000, 0)
	var state engineState
	for range 3 {
		state.beginRun(now)
	}
	must.Eq(t, 3, state.openConnections(now))
	state.endRun(contract.RunCompleted, now)
	state.endRun(contract.RunInterrupted, now)
	must.Eq(t, 1, state.localItems)
	must.Eq(t, 2, state.openConnections(now))
	must.Eq(t, 1, state.openConnections(now.Add(idleConnectionTTL+time.Second)))
}

// TestModelHomes_OneOwner checks that of the models whose weights an engine runs exactly one
// has it as its own, and that a model alone on it always has.
func TestModelHomes_OneOwner(t *testing.T) {
	homes := modelHomes{
		models:  []structs.ServiceName{"a", "b", "c"},
		targets: map[structs.ServiceName]structs.WeightVersion{"a": 5, "b": 5, "c": 9},
	}
	server := catalog.Server{ID: "engine", Versions: map[structs.ServiceName]structs.WeightVersion{"a": 5, "b": 4, "c": 7}}
	state := &engineState{}
	must.True(t, homes.isForeign(server, state, "a") != homes.isForeign(server, state, "b"))
	server.Versions = map[structs.ServiceName]structs.WeightVersion{"a": 3, "b": 4, "c": 7}
	must.False(t, homes.isForeign(server, state, "b"))
}
