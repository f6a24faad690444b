package histories

import (
	"context"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"path/filepath"
	"sync"
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

	_ "github.com/flamingobeam/flamingobeam/daemon/services/settings"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/zone"
)

// The spans of the tests. A change takes part of a second.
const (
	grantSpan   = 300 * time.Millisecond
	storeSpan   = 300 * time.Millisecond
	decideSpan  = 2 * time.Second
	stopWithin  = 5 * time.Second
	callsPerSec = 100_000
)

// daemon is one running incarnation.
type daemon struct {
	host   structs.HostName
	zone   structs.ZoneName
	kernel *kernel.Kernel
	*probe
}

// cluster is a few daemons in several zones.
type cluster struct {
	t       *testing.T
	network *network

	mu      sync.Mutex
	daemons map[structs.HostName]*daemon
	hosts   []structs.HostName
	zones   map[structs.HostName]structs.ZoneName
	lease   config.Lease
	// log receives the daemons' logs when it is set.
	log io.Writer
}

// hostHook adds the host to each line of a log.
type hostHook structs.HostName

func (h hostHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h hostHook) Fire(entry *logrus.Entry) error {
	entry.Data["host"] = string(h)
	return nil
}

func defaultLease() config.Lease {
	return config.Lease{
		Store: settings.Duration(storeSpan), Grant: settings.Duration(grantSpan), Decide: settings.Duration(decideSpan),
	}
}

// logs opens the file that a failing history's logs go to, or none.
func logs(t *testing.T) io.Writer {
	if *logFolder == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(*logFolder, filepath.Base(t.Name())+".log"))
	must.NoError(t, err)
	return file
}

// newCluster starts the daemons of zones with the given counts and writes the
// first document.
func newCluster(t *testing.T, seed uint64, lease config.Lease, sizes ...int) *cluster {
	c := &cluster{
		t:       t,
		network: newNetwork(store.New(store.Limits{Writes: callsPerSec, Reads: callsPerSec}, seed)),
		daemons: make(map[structs.HostName]*daemon),
		zones:   make(map[structs.HostName]structs.ZoneName),
		lease:   lease,
		log:     logs(t),
	}
	document := &settings.Document{
		Templates:  []settings.Template{{Name: "scoring"}},
		Workspaces: []settings.Workspace{{Name: "w0", Template: "scoring"}, {Name: "w1", Template: "scoring"}},
	}
	for z, size := range sizes {
		zone := structs.ZoneName(fmt.Sprintf("zone-%d", z))
		document.Zones = append(document.Zones, structs.Place{Zone: zone, Region: "region"})
		for i := range size {
			host := structs.HostName(fmt.Sprintf("10.0.%d.%d:1", z, i))
			c.hosts = append(c.hosts, host)
			c.zones[host] = zone
			c.start(host)
		}
	}
	t.Cleanup(c.stopAll)
	must.NoError(t, c.get(c.hosts[0]).operator.CreateDocument(context.Background(), document))
	return c
}

// start begins a new incarnation on a host. Hosts are named by their address.
func (c *cluster) start(host structs.HostName) {
	daemonConfig := config.Default()
	daemonConfig.Host, daemonConfig.Lease = host, c.lease
	daemonConfig.Place = structs.Place{Zone: c.zones[host], Region: "region"}
	daemonConfig.Listen.Peers = string(host)
	log := logrus.New()
	log.SetOutput(io.Discard)
	if c.log != nil {
		log.SetOutput(c.log)
		log.SetLevel(logrus.DebugLevel)
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: "05.000"})
		log.AddHook(hostHook(host))
	}
	d := &daemon{host: host, zone: c.zones[host], probe: &probe{}}
	d.kernel = kernel.New(kernel.Options{
		Registry: c.registry(daemonConfig, d.probe), Services: []kernel.Name{nameProbe}, Config: daemonConfig, Log: log,
	})
	c.network.set(c.network.dead, host, false)
	must.NoError(c.t, d.kernel.Start(context.Background()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[host] = d
}

// registry takes the daemon's own services but for those that reach outside.
func (c *cluster) registry(daemonConfig config.Daemon, p *probe) *kernel.Registry {
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameSettings, contract.NameZone} {
		registry.Register(name, func() kernel.Service {
			service, err := kernel.DefaultRegistry().New(name)
			must.NoError(c.t, err)
			return service
		})
	}
	wire := &link{network: c.network, config: daemonConfig, server: rpc.NewServer()}
	registry.Register(contract.NameClients, func() kernel.Service {
		return &clients{store: linkedStore{Store: c.network.store, network: c.network, host: daemonConfig.Host}}
	})
	registry.Register(contract.NamePeers, func() kernel.Service { return wire })
	registry.Register(contract.NameRPCServer, func() kernel.Service { return wire })
	registry.Register(nameProbe, func() kernel.Service { return p })
	return registry
}

func (c *cluster) get(host structs.HostName) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[host]
}

// kill cuts a daemon off from everything for good and then clears it away.
func (c *cluster) kill(host structs.HostName) {
	c.mu.Lock()
	d := c.daemons[host]
	c.daemons[host] = nil
	c.mu.Unlock()
	if d == nil {
		return
	}
	c.network.set(c.network.dead, host, true)
	c.stop(d)
}

func (c *cluster) stop(d *daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = d.kernel.Stop(ctx)
}

func (c *cluster) stopAll() {
	for _, host := range c.hosts {
		if d := c.get(host); d != nil {
			c.stop(d)
		}
	}
}

// collector returns the host that collects for a zone, or "".
func (c *cluster) collector(zone structs.ZoneName) structs.HostName {
	for _, host := range c.hosts {
		if d := c.get(host); d != nil && d.zone == zone && d.probe.zone.ZoneView().Load().IsCollector {
			return host
		}
	}
	return ""
}

// setSamples is the change that the tests make.
func setSamples(id settings.ChangeID, workspace structs.WorkspaceName, samples int) settings.Change {
	return settings.Change{ID: id, Edits: []settings.Edit{{
		Kind: settings.SetWorkspace, Workspace: workspace, Set: settings.Parameters{StepSamples: &samples},
	}}}
}
