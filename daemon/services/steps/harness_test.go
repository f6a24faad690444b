package steps

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const workspace structs.WorkspaceName = "claims"

// cluster runs daemons in one process, which call each other by net/rpc with gob.
// Its tests run in synctest bubbles, so that time is simulated.
type cluster struct {
	t          *testing.T
	store      *store.Store
	parameters settings.ResolvedParameters
	mu         sync.Mutex
	nodes      []*node
	starts     atomic.Uint64
	// folders are the data folders of the hosts that have one.
	folders map[structs.HostName]string
}

// node is one daemon of a cluster, with faults that a test can inject.
type node struct {
	*service
	cluster  *cluster
	host     structs.HostName
	start    uint64
	stopLoop context.CancelFunc
	killed   atomic.Bool
	// gate is a closed channel while the node runs and an open one while it is
	// frozen.
	mu   sync.Mutex
	gate chan struct{}
	// beforeWrite, if set, is called before each compare-and-swap. afterWrite, if
	// set, may replace its error.
	beforeWrite func(key string)
	afterWrite  func(key string, err error) error
}

func runCluster(t *testing.T, count int, run func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:     t,
			store: store.New(store.Limits{Writes: 1e6, Reads: 1e6}, 1),
			parameters: settings.ResolvedParameters{
				StalenessVersions: 2, StalenessAge: 10 * time.Minute, StepSamples: 4,
			},
		}
		for i := range count {
			c.start(structs.HostName(fmt.Sprintf("host-%d", i)))
		}
		defer c.stop()
		run(c)
	})
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.thaw()
		n.kill()
	}
	// Calls in flight end by their timeouts.
	time.Sleep(time.Minute)
}

// start starts a daemon. It replaces an earlier one of the same host.
func (c *cluster) start(host structs.HostName) *node {
	n := &node{cluster: c, host: host, gate: make(chan struct{})}
	close(n.gate)
	c.build(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, old := range c.nodes {
		if old.host == host {
			c.nodes[i] = n
			return n
		}
	}
	c.nodes = append(c.nodes, n)
	return n
}

func (c *cluster) hostList() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// setHostList replaces the nodes on the host list.
func (c *cluster) setHostList(nodes ...*node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = nodes
}

func (c *cluster) build(n *node) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.service = &service{
		config:  config.Daemon{DataFolder: c.folders[n.host], Host: n.host, Listen: config.Listen{Peers: string(n.host)}, Place: structs.Place{Zone: "z"}},
		clock:   clockwork.NewRealClock(),
		loop:    kernel.NewLoop(clockwork.NewRealClock()),
		workers: kernel.NewWorkers(64),
		log:     logrus.NewEntry(log),
		clients: n, hosts: n, peers: n, zone: nodeZone{node: n},
		settings: &fakeSettings{cluster: c}, metrics: noMetrics{},
	}
	n.start = c.starts.Add(1)
	must.NoError(c.t, n.initState())
	ctx, cancel := context.WithCancel(context.Background())
	n.stopLoop = cancel
	go n.loop.Run(ctx)
	must.NoError(c.t, n.Start())
}

// kill stops a daemon as a crash would: it sends no further calls or writes.
func (n *node) kill() {
	if n.killed.Swap(true) {
		return
	}
	must.NoError(n.cluster.t, n.Stop(context.Background()))
	n.workers.Stop()
	n.stopLoop()
	<-n.loop.Done()
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gate = make(chan struct{})
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.gate:
	default:
		close(n.gate)
	}
}

// awaitThaw waits while the node is frozen.
func (n *node) awaitThaw(ctx context.Context) error {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	select {
	case <-gate:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// addSamples adds count samples of a weight version at a node.
func (n *node) addSamples(count int, version structs.WeightVersion) []structs.SampleID {
	samples := make([]structs.Sample, count)
	for i := range samples {
		samples[i] = structs.Sample{
			Workspace: workspace, Born: time.Now(), Body: []byte("t0@1 "),
			Spans: []structs.VersionSpan{{Version: version, Tokens: 1}},
		}
	}
	must.NoError(n.cluster.t, n.Add(context.Background(), samples))
	return sampleIDs(samples)
}

// requestStep requests a step from a node and waits for up to a duration of
// simulated time.
func (n *node) requestStep(number uint64, holds structs.WeightVersion, wait time.Duration) (contract.StepReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return n.Step(ctx, contract.StepRequest{Workspace: workspace, Step: number, HeldVersion: holds})
}

// mustStep requests a step and fails the test when the request fails.
func (n *node) mustStep(number uint64, holds structs.WeightVersion) contract.StepReply {
	n.cluster.t.Helper()
	reply, err := n.requestStep(number, holds, time.Minute)
	must.NoError(n.cluster.t, err)
	must.Eq(n.cluster.t, number, reply.Step)
	return reply
}

func replyIDs(reply contract.StepReply) []structs.SampleID { return sampleIDs(reply.Samples) }

func (n *node) sampleCount() int {
	n.sampleStore.mu.Lock()
	defer n.sampleStore.mu.Unlock()
	return len(n.sampleStore.byID)
}
