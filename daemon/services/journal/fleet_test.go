package journal

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	standin "github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

const (
	testDue    = 10 * time.Second
	testWindow = time.Hour
	testPath   = "/submissions"
	workspace  = structs.WorkspaceName("subsidy-assessor")
)

// bench is a fleet of journals before one store and one backend server.
type bench struct {
	t       testing.TB
	store   *store.Store
	portal  *standin.Service
	address string
	network *network
	window  time.Duration
	due     time.Duration
	// strategy is that of the daemons to be started.
	strategy journal.WritePolicy
	spans    spans
	// plain replaces the client of backend servers when it is set.
	plain outside.PlainServiceClient
}

func newBench(t testing.TB) *bench {
	t.Helper()
	portal := standin.New("portal-1")
	server := httptest.NewServer(portal.Handler())
	t.Cleanup(server.Close)
	return &bench{
		t:       t,
		store:   store.New(store.Limits{Writes: 1e6, Reads: 1e6}, 1),
		portal:  portal,
		address: server.Listener.Addr().String(),
		network: newNetwork(),
		window:  testWindow,
		due:     testDue,

		strategy: journal.WritePolicy{Spacing: time.Millisecond},
		spans:    defaultSpans(),
		plain:    httpclient.NewBackend(nil),
	}
}

// daemon is one journal with its gate and hooks.
type daemon struct {
	*service
	kernel   *kernel.Kernel
	gate     *gate
	store    *gatedStore
	plain    *gatedPlain
	backends *fakeBalancer
	name     string
}

// start starts a daemon under a name, which is also its address.
func (b *bench) start(name string) *daemon {
	b.t.Helper()
	d := &daemon{name: name, gate: newGate()}
	d.store = &gatedStore{Store: b.store, gate: d.gate}
	d.plain = &gatedPlain{PlainServiceClient: b.plain, gate: d.gate}
	registry := kernel.NewRegistry()
	offer := func(name kernel.Name, service kernel.Service) {
		registry.Register(name, func() kernel.Service { return service })
	}
	offer(contract.NameClients, &fakeClients{clients: outside.Clients{Store: d.store, Plain: d.plain}})
	offer(contract.NameSettings, &fakeSettings{window: b.window, due: b.due})
	d.backends = &fakeBalancer{address: b.address}
	offer(contract.NameBalance, d.backends)
	offer(contract.NamePeers, &fakePeers{network: b.network, gate: d.gate})
	offer(contract.NameRPCServer, &fakeRPC{network: b.network, address: name, gate: d.gate})
	offer(contract.NameMetrics, fakeMetrics{})
	d.service = &service{
		strategy: b.strategy,
		spans:    b.spans,
	}
	offer(contract.NameJournal, d.service)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.kernel = kernel.New(kernel.Options{
		Registry: registry,
		Services: []kernel.Name{contract.NameJournal},
		Config:   config.Daemon{Host: structs.HostName(name), Listen: config.Listen{Peers: name}},
		Log:      log,
	})
	must.NoError(b.t, d.kernel.Start(b.t.Context()))
	b.t.Cleanup(func() { d.stop() })
	return d
}

// stop stops a daemon, gracefully unless it is killed or frozen.
func (d *daemon) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.gate.isKilled() {
		cancel()
	}
	_ = d.kernel.Stop(ctx)
}

func (b *bench) request(key string) contract.SubmitRequest {
	return contract.SubmitRequest{Workspace: workspace, Path: testPath, Key: key, Body: []byte("claim " + key)}
}

// runs counts how often a key ran on the backend server.
func (b *bench) runs(key string) int {
	count := 0
	for _, run := range b.portal.Runs() {
		if run.Key == key {
			count++
		}
	}
	return count
}

func receipt(key string) string { return standin.ReceiptOf(key, "claim "+key) }

// shortSpans finds a frozen owner soon. Under load it may also give up one that
// is only slow, which then counts as a fault.
func shortSpans() spans {
	return spans{probeAfter: 100 * time.Millisecond, probeWithin: 100 * time.Millisecond, grace: 250 * time.Millisecond}
}

// own makes a daemon the owner of the bucket of a key.
func (b *bench) own(d *daemon, key string) {
	b.t.Helper()
	_, err := d.locate(b.t.Context(), bucketOf(key), 0)
	must.NoError(b.t, err)
}

func bucketOf(key string) journal.Bucket {
	return journal.Key{Workspace: workspace, Name: key}.Bucket()
}

// keysIn returns keys that share a bucket.
func keysIn(bucket journal.Bucket, count int) []string {
	var keys []string
	for n := 0; len(keys) < count; n++ {
		if key := keyOf(n); bucketOf(key) == bucket {
			keys = append(keys, key)
		}
	}
	return keys
}

func keyOf(n int) string { return fmt.Sprintf("key-%d", n) }
