package links

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/kernel"
)

type fakeCatalog struct {
	contract.Catalog
	view *kernel.Snapshot[contract.CatalogView]
}

func (f fakeCatalog) Current() *kernel.Snapshot[contract.CatalogView] { return f.view }

type fakeServers struct {
	contract.Servers
	view *kernel.Snapshot[contract.ServersView]
}

func (f fakeServers) Entries() *kernel.Snapshot[contract.ServersView] { return f.view }

// newDirectService returns a service before one server that takes a number of connections,
// beside other daemons.
func newDirectService(address string, maxConnections, daemons int) *service {
	var members []membership.Member
	for i := range daemons {
		members = append(members, membership.Member{Name: strconv.Itoa(i)})
	}
	s := newRelayClient(members...)
	services := []catalog.Service{{Name: "desk", MaxConnections: maxConnections}}
	s.catalog = fakeCatalog{view: kernel.NewSnapshot(&contract.CatalogView{Catalog: catalog.New(1, nil, services, catalog.Limits{})})}
	s.servers = fakeServers{view: kernel.NewSnapshot(&contract.ServersView{
		All: map[structs.HostName]catalog.Server{"server": {ID: "server", Service: "desk", Address: address}},
	})}
	s.open = make(map[*exchange]bool)
	s.isChecking.Store(true)
	s.connections = transport.NewConnections()
	s.serverTransport = transport.New(transport.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerHost: maxIdlePerServer, Account: s.connections})
	s.singleUseTransport = transport.New(transport.Options{DialTimeout: time.Second, SingleUse: true, Account: s.connections})
	s.reached = kernel.NewCoalescingMailbox(kernel.NewLoop(nil), 1, func(struct{}, struct{}) {})
	return s
}

// TestExchangeDirectly_PartOfConnections sends twelve requests at once to a server that takes
// twenty connections from all daemons. Each request is served. The daemon keeps all connections
// if it is alone, a fourth of what all may keep beside three others, and none beside many.
func TestExchangeDirectly_PartOfConnections(t *testing.T) {
	for _, test := range []struct{ daemons, kept int }{{1, 12}, {4, 4}, {100, 0}} {
		var waiting conc.WaitGroup
		arrived, release := make(chan struct{}, 12), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			arrived <- struct{}{}
			<-release
			_, _ = io.WriteString(w, "answer")
		}))
		address := server.Listener.Addr().String()
		s := newDirectService(address, 20, test.daemons)
		for range 12 {
			waiting.Go(func() {
				_, response, err := s.exchangeDirectly(t.Context(), contract.Exchange{
					Server: "server", Address: address, Kind: contract.ExchangeCall, Repeatable: true,
					Build: func(ctx context.Context) (*http.Request, error) {
						return http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
					},
				})
				must.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				must.NoError(t, err)
				must.NoError(t, response.Body.Close())
			})
			// The next request finds this one's connection in use.
			<-arrived
		}
		close(release)
		waiting.Wait()
		// Connections for one request close shortly after its response.
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.connections.Open(address) == test.kept }),
			wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)), must.Sprintf("%d daemons", test.daemons))
		s.serverTransport.CloseIdleConnections()
		server.Close()
	}
}
