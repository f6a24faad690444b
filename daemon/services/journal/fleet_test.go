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
	emulator "github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

const (
	testTimeout   = 10 * time.Second
	testKeyWindow = time.Hour
	testPath      = "/submissions"
	testWorkspace = structs.WorkspaceName("subsidy-assessor")
)

// testFleet is a set of daemons that run the journal, with one store and one
// backend server.
type testFleet struct {
	t         testing.TB
	store     *store.Store
	backend   *emulator.Service
	address   string
	network   *network
	keyWindow time.Duration
	timeout   time.Duration
	// policy is the write policy of daemons started later.
	policy   journal.WritePolicy
	timeouts ownerTimeouts
	// plainClient is the client of backend servers that daemons started later
	// use.
	plainClient outside.PlainServiceClient
}

func newTestFleet(t testing.TB) *testFleet {
	t.Helper()
	backend := emulator.New("portal-1")
	server := httptest.NewServer(backend.Handler())
	t.Cleanup(server.Close)
	return &testFleet{
		t:         t,
		store:     store.New(store.Limits{Writes: 1e6, Reads: 1e6}, 1),
		backend:   backend,
		address:   server.Listener.Addr().String(),
		network:   newNetwork(),
		keyWindow: testKeyWindow,
		timeout:   testTimeout,

		policy:      journal.WritePolicy{Spacing: time.Millisecond},
		timeouts:    defaultTimeouts(),
		plainClient: httpclient.NewBackend(nil),
	}
}

// daemon runs one journal; its calls to the store and to backend servers can be
// stopped or hooked.
type daemon struct {
	*service
	kernel   *kernel.Kernel
	gate     *gate
	store    *gatedStore
	plain    *gatedPlain
	backends *fakeBalancer
	name     string
}

// start starts a daemon. Its name is also its address.
func (f *testFleet) start(name string) *daemon {
	f.t.Helper()
	d := &daemon{name: name, gate: newGate()}
	d.store = &gatedStore{Store: f.store, gate: d.gate}
	d.plain = &gatedPlain{PlainServiceClient: f.plainClient, gate: d.gate}
	registry := kernel.NewRegistry()
	offer := func(name kernel.Name, service kernel.Service) {
		registry.Register(name, func() kernel.Service { return service })
	}
	offer(contract.NameClients, &fakeClients{clients: outside.Clients{Store: d.store, Plain: d.plain}})
	offer(contract.NameSettings, &fakeSettings{keyWindow: f.keyWindow, timeout: f.timeout})
	d.backends = &fakeBalancer{address: f.address}
	offer(contract.NameBalance, d.backends)
	offer(contract.NamePeers, &fakePeers{network: f.network, gate: d.gate})
	offer(contract.NameRPCServer, &fakeRPC{network: f.network, address: name, gate: d.gate})
	offer(contract.NameMetrics, fakeMetrics{})
	d.service = &service{
		policy:   f.policy,
		timeouts: f.timeouts,
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
	must.NoError(f.t, d.kernel.Start(f.t.Context()))
	f.t.Cleanup(func() { d.stop() })
	return d
}

// stop stops a daemon, without waiting when it was killed.
func (d *daemon) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.gate.isKilled() {
		cancel()
	}
	_ = d.kernel.Stop(ctx)
}

// request returns the submission of a key.
func (f *testFleet) request(key string) contract.SubmitRequest {
	return contract.SubmitRequest{Workspace: testWorkspace, Path: testPath, Key: key, Body: []byte("claim " + key)}
}

// backendRuns returns how many times a key ran on the backend server.
func (f *testFleet) backendRuns(key string) int {
	count := 0
	for _, run := range f.backend.Runs() {
		if run.Key == key {
			count++
		}
	}
	return count
}

// expectedReceipt returns the response body of the backend server for a key.
func expectedReceipt(key string) string { return emulator.ReceiptOf(key, "claim "+key) }

// shortTimeouts detect a frozen owner soon. Under load a slow owner may also
// count as gone.
func shortTimeouts() ownerTimeouts {
	return ownerTimeouts{probeInterval: 100 * time.Millisecond, probeTimeout: 100 * time.Millisecond, replyGrace: 250 * time.Millisecond}
}

// makeOwner makes a daemon the owner of a key's bucket.
func (f *testFleet) makeOwner(d *daemon, key string) {
	f.t.Helper()
	_, err := d.locateOwner(f.t.Context(), bucketOf(key), 0)
	must.NoError(f.t, err)
}

func bucketOf(key string) journal.Bucket {
	return journal.Key{Workspace: testWorkspace, Name: key}.Bucket()
}

// keysIn returns keys that belong to a bucket.
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
