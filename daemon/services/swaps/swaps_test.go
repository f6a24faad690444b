package swaps

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/broadcast"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	testService = structs.ServiceName("engines")
	testModel   = structs.ServiceName("model")
)

// duplicatingEngine carries out orders, each of which ends after the first report
// that shows it. On a connection that is used again it sends a late copy of its
// previous response before the current one.
type duplicatingEngine struct {
	mu       sync.Mutex
	sequence int
	// version is the version that the engine runs, and ordered the one that it
	// loads, if that is higher.
	version, ordered structs.WeightVersion
	// isSound stops the repetitions.
	isSound bool
	// connections counts those that were accepted.
	connections int
}

// respond returns the response to a request.
func (e *duplicatingEngine) respond(request *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Method == http.MethodPost {
		return respondWith(e.acceptOrder(request), "{}")
	}
	body := fmt.Sprintf(`{"sequence":%d,"busy":%t,"models":[{"name":"model","version":%d}]}`, e.sequence, e.ordered > e.version, e.version)
	e.version = max(e.version, e.ordered)
	return respondWith(http.StatusOK, body)
}

// acceptOrder returns the status of the response to an order.
func (e *duplicatingEngine) acceptOrder(request *http.Request) int {
	var order struct{ Version structs.WeightVersion }
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		return http.StatusBadRequest
	}
	switch {
	case e.ordered > e.version:
		return http.StatusConflict
	case order.Version <= e.version:
		return http.StatusOK
	}
	e.sequence, e.ordered = e.sequence+1, order.Version
	return http.StatusAccepted
}

func respondWith(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

func (e *duplicatingEngine) serve(conn net.Conn) {
	defer conn.Close()
	e.mu.Lock()
	e.connections++
	e.mu.Unlock()
	reader, previous := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := e.respond(request)
		if _, err := conn.Write([]byte(previous + response)); err != nil {
			return
		}
		if !e.isSound {
			previous = response
		}
	}
}

// loadedVersion returns the version that the engine runs.
func (e *duplicatingEngine) loadedVersion() structs.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// fakeServices implements the services that ordering weights needs.
type fakeServices struct {
	contract.Session
	contract.EnginePaces
	contract.Metrics
	catalog *kernel.Snapshot[contract.CatalogView]
	session *kernel.Snapshot[contract.SessionView]
	servers *kernel.Snapshot[contract.ServersView]
}

func (f *fakeServices) Current() *kernel.Snapshot[contract.CatalogView] { return f.catalog }
func (f *fakeServices) View() *kernel.Snapshot[contract.SessionView]    { return f.session }
func (f *fakeServices) Entries() *kernel.Snapshot[contract.ServersView] { return f.servers }
func (f *fakeServices) Leadership() (token uint64, holds bool)          { return 1, true }
func (f *fakeServices) Count(string, int64)                             {}
func (f *fakeServices) Estimate(catalog.Server) (pace, best time.Duration) {
	return 0, 0
}

// startService starts the service as the leader of one engine that runs version 1.
func startService(t *testing.T, clock clockwork.Clock, address string) (*service, *fakeServices) {
	t.Helper()
	server := catalog.Server{ID: "engine", Service: testService, Address: address, Started: 1, Versions: map[structs.ServiceName]structs.WeightVersion{testModel: 1}}
	f := &fakeServices{
		catalog: kernel.NewSnapshot(&contract.CatalogView{}),
		session: kernel.NewSnapshot(&contract.SessionView{}),
		servers: kernel.NewSnapshot(&contract.ServersView{ByService: map[structs.ServiceName][]catalog.Server{testService: {server}}, Loaded: true}),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{
		session: f, catalog: f, servers: f, metrics: f, paces: f, log: logrus.NewEntry(log),
		loop: kernel.NewLoop(clock), workers: kernel.NewWorkers(10),
		engines: make(map[structs.HostName]*engine), demand: make(placement.Demand),
	}
	s.broadcaster = broadcast.Broadcaster{Session: f, Workers: s.workers, Log: s.log}
	s.newMailboxes()
	return s, f
}

// startEngine serves an engine on loopback and returns its address.
func startEngine(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// orderVersions lets the leader order versions 2, 3 and 4 of an engine, one after the other,
// and checks that it never believes that the engine runs a version before it does.
func orderVersions(t *testing.T, address string, stub *duplicatingEngine) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	s, f := startService(t, clock, address)
	var mu sync.Mutex
	var believed, early structs.WeightVersion
	s.OnEngineWeights(func(news contract.EngineNews) {
		mu.Lock()
		defer mu.Unlock()
		believed = news.Versions[testModel]
		if believed > stub.loadedVersion() {
			early = believed
		}
	})
	must.NoError(t, s.Start())
	ctx, cancel := context.WithCancel(t.Context())
	go s.loop.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-s.loop.Done()
		s.workers.Stop()
	})
	for _, version := range []structs.WeightVersion{2, 3, 4} {
		f.catalog.Publish(&contract.CatalogView{
			Catalog:        &catalog.Catalog{Services: map[structs.ServiceName]catalog.Service{testService: {Engine: &catalog.Engine{Models: []structs.ServiceName{testModel}}}}},
			TargetVersions: map[structs.ServiceName]structs.WeightVersion{testModel: version},
		})
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			clock.Advance(50 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			return believed == version
		}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	}
	must.Zero(t, early)
	must.Eq(t, 4, stub.loadedVersion())
}

// TestOrders_DuplicateResponses orders versions of an engine that repeats its responses
// late: a repeated report is no response to an order.
func TestOrders_DuplicateResponses(t *testing.T) {
	stub := &duplicatingEngine{version: 1}
	orderVersions(t, startEngine(t, stub.serve), stub)
}

// TestOrders_KeepConnection orders versions of an engine that repeats nothing. All loads use
// one connection.
func TestOrders_KeepConnection(t *testing.T) {
	stub := &duplicatingEngine{version: 1, isSound: true}
	orderVersions(t, startEngine(t, stub.serve), stub)
	stub.mu.Lock()
	defer stub.mu.Unlock()
	must.Eq(t, 1, stub.connections)
}
