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
)

// freeAddress returns an address that nobody listens on at the moment.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return listener.Addr().String()
}

// portal is a plain service whose look-ups wait until they are let go.
type portal struct {
	entered chan struct{}
	release chan struct{}
}

func (p *portal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.entered <- struct{}{}
	<-p.release
	_, _ = io.WriteString(w, "whole answer")
}

// startOne starts a daemon with a portal behind it and returns its kernel and
// its address for callers.
func startOne(t *testing.T, p http.Handler) (*kernel.Kernel, string) {
	fleet := store.NewFleet(0)
	list(t, fleet, structs.BackendServer{Name: "portal-1", Place: ashanti, Service: "portal"}, p)
	return startBefore(t, fleet)
}

var ashanti = structs.Place{Zone: "ashanti-a", Region: "ashanti"}

// list starts a backend server and adds it to a fleet.
func list(t *testing.T, fleet *store.Fleet, server structs.BackendServer, handler http.Handler) *httptest.Server {
	backend := httptest.NewServer(handler)
	t.Cleanup(backend.Close)
	if server.Kind == "" {
		server.Kind = structs.KindService
	}
	server.Address = backend.Listener.Addr().String()
	fleet.Set(server)
	return backend
}

// startBefore starts a daemon of ashanti before a fleet and returns its kernel
// and its address for callers.
func startBefore(t *testing.T, fleet *store.Fleet, stopWithin ...time.Duration) (*kernel.Kernel, string) {
	platform := httptest.NewServer(store.Handler(store.New(store.DefaultLimits(), 1), fleet))
	t.Cleanup(platform.Close)
	return startHost(t, fleet, platform.Listener.Addr().String(), "ashanti-1", stopWithin...)
}

// startHost starts a daemon of ashanti on a host and lists it.
func startHost(t *testing.T, fleet *store.Fleet, platform string, host structs.HostName, stopWithin ...time.Duration) (*kernel.Kernel, string) {
	daemon := config.Default()
	daemon.Host, daemon.Place = host, ashanti
	daemon.Listen = config.Listen{Callers: freeAddress(t), Peers: freeAddress(t)}
	daemon.Store = platform
	fleet.Set(structs.BackendServer{Name: host, Place: ashanti, Kind: structs.KindDaemon, Address: daemon.Listen.Peers})
	daemon.Limits.UnreadyFor = settings.Duration(time.Millisecond)
	for _, span := range stopWithin {
		daemon.Limits.StopWithin = settings.Duration(span)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := New(daemon, log)
	must.NoError(t, k.Start(t.Context()))
	return k, daemon.Listen.Callers
}

// create writes a document with one workspace and waits until the daemon
// serves by it.
func create(t *testing.T, k *kernel.Kernel) {
	model, judge, group := structs.ServiceName("assessor"), structs.ServiceName("judge"), 2
	service := structs.ServiceName("portal")
	due := settings.Duration(time.Hour)
	document := &settings.Document{
		Zones: []structs.Place{{Zone: "ashanti-a", Region: "ashanti"}},
		Templates: []settings.Template{{Name: "plain", Parameters: settings.Parameters{
			Service: &service, Model: &model, Judge: &judge, GroupSize: &group,
			LookupDue: &due, SubmissionDue: &due, RolloutDue: &due,
		}}},
		Workspaces: []settings.Workspace{{Name: "audit", Template: "plain"}},
	}
	operator, err := kernel.FindLoaded[contract.Operator](k, contract.NameSettings)
	must.NoError(t, err)
	must.NoError(t, operator.CreateDocument(t.Context(), document))
	known, err := kernel.FindLoaded[contract.Settings](k, contract.NameSettings)
	must.NoError(t, err)
	await(known.View(), func(v *contract.SettingsView) bool { return v.Document != nil && time.Now().Before(v.GrantEnds) })
	awaitServers(t, k, service, 1)
}

// awaitServers waits until the balancer chooses among a count of servers of a
// service. It takes its list over from the host list a little later.
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

// await waits until a snapshot meets a condition.
func await[T any](snapshot *kernel.Snapshot[T], met func(*T) bool) {
	for {
		value, replaced := snapshot.Watch()
		if met(value) {
			return
		}
		<-replaced
	}
}

// TestShutdown_CutsOffNoRequest stops a daemon while a look-up is in flight:
// the caller gets the whole answer, and only then does the daemon end.
func TestShutdown_CutsOffNoRequest(t *testing.T) {
	p := &portal{entered: make(chan struct{}), release: make(chan struct{})}
	k, address := startOne(t, p)
	create(t, k)
	type reply struct {
		body []byte
		err  error
	}
	replies := make(chan reply, 1)
	go func() {
		got, err := http.Get("http://" + address + "/v1/workspaces/audit/service/records/1")
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer got.Body.Close()
		body, err := io.ReadAll(got.Body)
		replies <- reply{body: body, err: err}
	}()
	<-p.entered
	stopped := make(chan error, 1)
	go func() { stopped <- k.Stop(context.Background()) }()
	select {
	case err := <-stopped:
		t.Fatalf("the daemon ended before its request: %v", err)
	case got := <-replies:
		t.Fatalf("answered before the backend server did: %s %v", got.body, got.err)
	case <-time.After(20 * time.Millisecond):
	}
	close(p.release)
	got := <-replies
	must.NoError(t, got.err)
	must.Eq(t, "whole answer", string(got.body))
	must.NoError(t, <-stopped)
}
