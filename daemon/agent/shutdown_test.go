package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// freeAddress returns a loopback address on which no process currently listens.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return listener.Addr().String()
}

// blockingPortal is a plain service that blocks each request until release is closed.
type blockingPortal struct {
	entered chan struct{}
	release chan struct{}
}

func (p *blockingPortal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.entered <- struct{}{}
	<-p.release
	_, _ = io.WriteString(w, "whole answer")
}

// startWithPortal starts a daemon with one plain service and returns its kernel and its
// address for callers.
func startWithPortal(t *testing.T, p http.Handler) (*kernel.Kernel, string) {
	fleet := store.NewFleet(0)
	addServer(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, p)
	return startDaemon(t, fleet)
}

var ashanti = structs.Place{Zone: "ashanti-a", Region: "ashanti"}

// addServer starts a backend server and adds it to a fleet.
func addServer(t *testing.T, fleet *store.Fleet, server structs.BackendServer, handler http.Handler) *httptest.Server {
	backend := httptest.NewServer(handler)
	t.Cleanup(backend.Close)
	if server.Kind == "" {
		server.Kind = structs.KindService
	}
	server.Address = backend.Listener.Addr().String()
	fleet.Set(server)
	return backend
}

// startDaemon starts a daemon in zone ashanti-a with a platform that lists a fleet. It
// returns the daemon's kernel and its address for callers.
func startDaemon(t *testing.T, fleet *store.Fleet, stopWithin ...time.Duration) (*kernel.Kernel, string) {
	platform := httptest.NewServer(store.Handler(store.New(store.DefaultLimits(), 1), fleet))
	t.Cleanup(platform.Close)
	return startHost(t, fleet, platform.Listener.Addr().String(), "ashanti-1", stopWithin...)
}

// startHost starts a daemon on a host in zone ashanti-a and adds it to the fleet.
func startHost(t *testing.T, fleet *store.Fleet, platform string, host structs.HostName, stopWithin ...time.Duration) (*kernel.Kernel, string) {
	daemon := config.Default()
	daemon.Host, daemon.Place = host, ashanti
	daemon.Listen = config.Listen{Callers: freeAddress(t), Peers: freeAddress(t)}
	daemon.Store = platform
	fleet.Set(structs.BackendServer{Name: host, Place: ashanti, Kind: structs.KindDaemon, Address: daemon.Listen.Peers})
	daemon.Limits.UnreadyFor = settings.Duration(time.Millisecond)
	for _, timeout := range stopWithin {
		daemon.Limits.StopWithin = settings.Duration(timeout)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := New(daemon, log)
	must.NoError(t, k.Start(t.Context()))
	return k, daemon.Listen.Callers
}

// createDocument writes a document with one workspace and waits until the daemon has
// applied it.
func createDocument(t *testing.T, k *kernel.Kernel) {
	model, judge, group := structs.ServiceName("assessor"), structs.ServiceName("judge"), 2
	service := structs.ServiceName("portal")
	timeout := settings.Duration(time.Hour)
	document := &settings.Document{
		Zones: []structs.Place{{Zone: "ashanti-a", Region: "ashanti"}},
		Templates: []settings.Template{{Name: "plain", Parameters: settings.Parameters{
			Service: &service, Model: &model, Judge: &judge, GroupSize: &group,
			LookupDue: &timeout, SubmissionDue: &timeout, RolloutDue: &timeout,
		}}},
		Workspaces: []settings.Workspace{{Name: "audit", Template: "plain"}},
	}
	operator, err := kernel.FindLoaded[contract.Operator](k, contract.NameSettings)
	must.NoError(t, err)
	must.NoError(t, operator.CreateDocument(t.Context(), document))
	settingsService, err := kernel.FindLoaded[contract.Settings](k, contract.NameSettings)
	must.NoError(t, err)
	awaitSnapshot(settingsService.View(), func(v *contract.SettingsView) bool { return v.Document != nil && time.Now().Before(v.GrantEnds) })
	awaitServers(t, k, service, 1)
}

// awaitServers waits until the balancer has chosen each of count servers of a service.
// The balancer applies changes of the host list after a short delay.
func awaitServers(t *testing.T, k *kernel.Kernel, service structs.ServiceName, count int) {
	balancer, err := kernel.FindLoaded[contract.Balancer](k, contract.NameBalance)
	must.NoError(t, err)
	var chosen []structs.HostName
	for len(chosen) < count {
		ticket, err := balancer.Pick(t.Context(), contract.PickRequest{
			Service: service, Workspace: "audit", Deadline: time.Now().Add(time.Hour), Avoid: chosen,
		})
		if err != nil {
			<-time.After(time.Millisecond)
			continue
		}
		ticket.Finish(contract.TicketOutcome{Latency: time.Millisecond})
		if !slices.Contains(chosen, ticket.Server.Name) {
			chosen = append(chosen, ticket.Server.Name)
		}
	}
}

// awaitSnapshot waits until a snapshot meets a condition.
func awaitSnapshot[T any](snapshot *kernel.Snapshot[T], met func(*T) bool) {
	for {
		value, replaced := snapshot.Watch()
		if met(value) {
			return
		}
		<-replaced
	}
}

// TestShutdown_CompletesLookup stops a daemon while a look-up is in flight. The daemon
// must exit only after the caller has received the complete response.
func TestShutdown_CompletesLookup(t *testing.T) {
	p := &blockingPortal{entered: make(chan struct{}), release: make(chan struct{})}
	k, address := startWithPortal(t, p)
	createDocument(t, k)
	type lookupResult struct {
		body []byte
		err  error
	}
	lookups := make(chan lookupResult, 1)
	go func() {
		got, err := http.Get("http://" + address + "/v1/workspaces/audit/service/records/1")
		if err != nil {
			lookups <- lookupResult{err: err}
			return
		}
		defer got.Body.Close()
		body, err := io.ReadAll(got.Body)
		lookups <- lookupResult{body: body, err: err}
	}()
	<-p.entered
	stopped := make(chan error, 1)
	go func() { stopped <- k.Stop(context.Background()) }()
	select {
	case err := <-stopped:
		t.Fatalf("daemon stopped before its request completed: %v", err)
	case got := <-lookups:
		t.Fatalf("response arrived before the backend server sent it: %s %v", got.body, got.err)
	case <-time.After(20 * time.Millisecond):
	}
	close(p.release)
	got := <-lookups
	must.NoError(t, got.err)
	must.Eq(t, "whole answer", string(got.body))
	must.NoError(t, <-stopped)
}

// TestShutdown_StuckLookup guards against state that a stopping daemon does not hand over,
// because a request that does not end uses up the whole time of the stop.
func TestShutdown_StuckLookup(t *testing.T) {
	fleet, p := store.NewFleet(0), &blockingPortal{entered: make(chan struct{}), release: make(chan struct{})}
	addServer(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, p)
	records := store.New(store.DefaultLimits(), 1)
	platform := httptest.NewServer(store.Handler(records, fleet))
	t.Cleanup(platform.Close)
	k, address := startHost(t, fleet, platform.Listener.Addr().String(), "ashanti-1")
	createDocument(t, k)
	const collectorKey = "zones/ashanti-a/collector"
	_, err := records.Get(t.Context(), collectorKey)
	must.NoError(t, err)
	t.Cleanup(func() { close(p.release) })
	go func() {
		if got, err := http.Get("http://" + address + "/v1/workspaces/audit/service/records/1"); err == nil {
			_ = got.Body.Close()
		}
	}()
	<-p.entered
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	must.Error(t, k.Stop(ctx))
	// The lease of the collector was revoked.
	_, err = records.Get(t.Context(), collectorKey)
	must.ErrorIs(t, err, outside.ErrNotFound)
}
