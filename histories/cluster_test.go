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

// Lease times and timeouts of the tests. They are shorter than the defaults, so
// that a settings change takes less than a second.
const (
	grantTTL            = 300 * time.Millisecond
	storeLeaseTTL       = 300 * time.Millisecond
	decisionTimeout     = 2 * time.Second
	stopTimeout         = 5 * time.Second
	storeCallsPerSecond = 100_000
)

// daemon is one incarnation of a daemon on a host.
type daemon struct {
	host   structs.HostName
	zone   structs.ZoneName
	kernel *kernel.Kernel
	*probe
}

// cluster is a set of daemons in several availability zones.
type cluster struct {
	t       *testing.T
	network *network

	mu      sync.Mutex
	daemons map[structs.HostName]*daemon
	hosts   []structs.HostName
	zones   map[structs.HostName]structs.ZoneName
	lease   config.Lease
	// log receives the logs of the daemons, unless it is nil.
	log io.Writer
}

// hostFieldHook adds the field "host" to each log entry.
type hostFieldHook structs.HostName

func (h hostFieldHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h hostFieldHook) Fire(entry *logrus.Entry) error {
	entry.Data["host"] = string(h)
	return nil
}

func defaultLease() config.Lease {
	return config.Lease{
		Store: settings.Duration(storeLeaseTTL), Grant: settings.Duration(grantTTL), Decide: settings.Duration(decisionTimeout),
	}
}

// openLog creates the log file of the test in the folder of -histories.logs. It
// returns nil if the flag is not set.
func openLog(t *testing.T) io.Writer {
	if *logFolder == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(*logFolder, filepath.Base(t.Name())+".log"))
	must.NoError(t, err)
	return file
}

// newCluster starts the given number of daemons in each zone and creates the
// first settings document.
func newCluster(t *testing.T, seed uint64, lease config.Lease, daemonsPerZone ...int) *cluster {
	c := &cluster{
		t:       t,
		network: newNetwork(store.New(store.Limits{Writes: storeCallsPerSecond, Reads: storeCallsPerSecond}, seed)),
		daemons: make(map[structs.HostName]*daemon),
		zones:   make(map[structs.HostName]structs.ZoneName),
		lease:   lease,
		log:     openLog(t),
	}
	document := &settings.Document{
		Templates:  []settings.Template{{Name: "scoring"}},
		Workspaces: []settings.Workspace{{Name: "w0", Template: "scoring"}, {Name: "w1", Template: "scoring"}},
	}
	for z, count := range daemonsPerZone {
		zone := structs.ZoneName(fmt.Sprintf("zone-%d", z))
		document.Zones = append(document.Zones, structs.Place{Zone: zone, Region: "region"})
		for i := range count {
			host := structs.HostName(fmt.Sprintf("10.0.%d.%d:1", z, i))
			c.hosts = append(c.hosts, host)
			c.zones[host] = zone
			c.start(host)
		}
	}
	t.Cleanup(c.stopAll)
	must.NoError(t, c.daemonOn(c.hosts[0]).operator.CreateDocument(context.Background(), document))
	return c
}

// start starts a new incarnation of the daemon on a host. The host name is also
// the daemon's address.
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
		log.AddHook(hostFieldHook(host))
	}
	d := &daemon{host: host, zone: c.zones[host], probe: &probe{}}
	d.kernel = kernel.New(kernel.Options{
		Registry: c.newRegistry(daemonConfig, d.probe), Services: []kernel.Name{nameProbe}, Config: daemonConfig, Log: log,
	})
	c.network.setCut(c.network.isolatedHosts, host, false)
	must.NoError(c.t, d.kernel.Start(context.Background()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[host] = d
}

// newRegistry returns a registry with the daemon's settings and zone services, the
// probe, and in-memory replacements of the services that use the network.
func (c *cluster) newRegistry(daemonConfig config.Daemon, p *probe) *kernel.Registry {
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameSettings, contract.NameZone} {
		registry.Register(name, func() kernel.Service {
			service, err := kernel.DefaultRegistry().New(name)
			must.NoError(c.t, err)
			return service
		})
	}
	peers := &pipePeers{network: c.network, config: daemonConfig, server: rpc.NewServer()}
	registry.Register(contract.NameClients, func() kernel.Service {
		return &clients{store: hostStore{Store: c.network.store, network: c.network, host: daemonConfig.Host}}
	})
	registry.Register(contract.NamePeers, func() kernel.Service { return peers })
	registry.Register(contract.NameRPCServer, func() kernel.Service { return peers })
	registry.Register(nameProbe, func() kernel.Service { return p })
	return registry
}

// daemonOn returns the daemon that runs on a host, or nil.
func (c *cluster) daemonOn(host structs.HostName) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[host]
}

// kill cuts all links of a daemon before it stops it, so that the daemon can't
// release its leases or notify its peers.
func (c *cluster) kill(host structs.HostName) {
	c.mu.Lock()
	d := c.daemons[host]
	c.daemons[host] = nil
	c.mu.Unlock()
	if d == nil {
		return
	}
	c.network.setCut(c.network.isolatedHosts, host, true)
	c.stop(d)
}

func (c *cluster) stop(d *daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = d.kernel.Stop(ctx)
}

func (c *cluster) stopAll() {
	for _, host := range c.hosts {
		if d := c.daemonOn(host); d != nil {
			c.stop(d)
		}
	}
}

// collector returns the host of a zone's collector, or "" if there is none.
func (c *cluster) collector(zone structs.ZoneName) structs.HostName {
	for _, host := range c.hosts {
		if d := c.daemonOn(host); d != nil && d.zone == zone && d.probe.zone.ZoneView().Load().IsCollector {
			return host
		}
	}
	return ""
}

// stepSamplesChange returns a change that sets StepSamples of a workspace.
func stepSamplesChange(id settings.ChangeID, workspace structs.WorkspaceName, samples int) settings.Change {
	return settings.Change{ID: id, Edits: []settings.Edit{{
		Kind: settings.SetWorkspace, Workspace: workspace, Set: settings.Parameters{StepSamples: &samples},
	}}}
}
