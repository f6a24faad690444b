package placement

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestConnectionPart_DaemonsComeAndGo adds up the parts of all daemons, of which each model has
// one as the owner of its jobs: a server must not get more than its maximum.
func TestConnectionPart_DaemonsComeAndGo(t *testing.T) {
	engines := catalog.Service{MaxConnections: 410, Engine: &catalog.Engine{Models: make([]structs.ServiceName, 4)}}
	plain := catalog.Service{MaxConnections: 380}
	for _, daemons := range []int{1, 4, 23, 300, 1100} {
		owners := min(4, daemons)
		sum := owners*ConnectionPart(engines, daemons, true) + (daemons-owners)*ConnectionPart(engines, daemons, false)
		must.LessEq(t, 410, sum, must.Sprintf("%d daemons", daemons))
		must.LessEq(t, 380, daemons*ConnectionPart(plain, daemons, false))
		must.Greater(t, 24, ConnectionPart(engines, daemons, true))
	}
	must.Eq(t, 13, ConnectionPart(plain, 23, false))
	must.Greater(t, 1_000_000, ConnectionPart(catalog.Service{}, 23, false))
}
