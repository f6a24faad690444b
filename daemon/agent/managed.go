package agent

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/logs"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"

	// The services of a managed platform register themselves.
	_ "github.com/flamingobeam/flamingobeam/daemon/services/catalog"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/dispatch"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/engines"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/expose"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/gate"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/jobs"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/ledger"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/paces"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/retire"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/servers"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/session"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/swaps"
)

// Role is what a process does on a managed platform.
type Role string

// The roles of a managed platform.
const (
	// RoleEntry serves callers.
	RoleEntry Role = "entry"
	// RoleStorage stands on a host with a disk and holds nothing that must last.
	RoleStorage Role = "storage"
)

const (
	// peerPort is an offset into the ports between daemons.
	peerPort = 0
	// memoryPart is the part of a process's memory that the garbage collector
	// keeps to; the rest is for stacks and buffers of the system.
	memoryPart = 0.6
	// collectAt is the growth of the heap, in percent, at which garbage is
	// collected: memory at its peak is charged, the heap is small, and the
	// processor is idle most of the time.
	collectAt = 40
	// fleetWorkers bounds the blocking calls at once: each item in flight has
	// one.
	fleetWorkers = 4096
	// stopMargin is kept back from the time between the signal to stop and the
	// kill.
	stopMargin = 500 * time.Millisecond
	// logMargin is how long the last lines may wait for a reader.
	logMargin = 200 * time.Millisecond
)

// ManagedServices lists what a role runs. What these need is loaded as well.
func ManagedServices(role Role) []kernel.Name {
	if role == RoleStorage {
		return []kernel.Name{contract.NameRetire}
	}
	return []kernel.Name{contract.NameMetricsHTTP, contract.NameRPCServer, contract.NameWeightSwaps, contract.NameManagedFront}
}

// ManagedReplacements names the services that a managed platform provides in place of the
// project's own: its list of servers and its operator's configuration.
func ManagedReplacements() map[kernel.Name]kernel.Name {
	return map[kernel.Name]kernel.Name{
		contract.NameHosts:    contract.NameServers,
		contract.NameSettings: contract.NameCatalog,
	}
}

// ManagedConfig makes the settings of a daemon from what the platform tells it;
// the metrics are served on a port of their own.
func ManagedConfig(host platform.HostConfig, metricsPort int) config.Daemon {
	daemon := config.Default()
	daemon.Host, daemon.Place, daemon.Store = host.Name, host.Place, host.StoreAddress
	daemon.Listen.Callers = host.ClientAddress
	daemon.Listen.Peers = fmt.Sprintf("%s:%d", host.IP, host.FirstPort+peerPort)
	daemon.Limits.StopWithin = 0
	daemon.Platform = config.ManagedPlatform{
		ClosedNetwork: true,
		Readiness:     host.ReadinessAddress,
		Metrics:       fmt.Sprintf("%s:%d", host.IP, metricsPort),
		Regions:       host.Regions,
		Strength:      host.CPUCores,
		ResultsKept:   host.TimeLimits.ResultRetention,
	}
	return daemon
}

// NewManaged returns the kernel of a daemon on a managed platform, not yet
// started.
func NewManaged(role Role, daemon config.Daemon, log *logrus.Logger) *kernel.Kernel {
	return kernel.New(kernel.Options{
		Services: ManagedServices(role), Overrides: ManagedReplacements(), Config: daemon, Log: log, MaxWorkers: fleetWorkers,
	})
}

// RunManaged runs a daemon on a managed platform until ctx ends. It fails with
// code SettingsInvalid or with the error of a service.
func RunManaged(ctx context.Context, role Role, metricsPort int) error {
	host, err := platform.ReadHostConfig()
	if err != nil {
		return result.Wrap(result.SettingsInvalid, err)
	}
	queue := logs.NewAsyncWriter(os.Stdout)
	defer queue.Close(logMargin)
	log, err := logs.New(queue, "info", "json")
	if err != nil {
		return result.Wrap(result.SettingsInvalid, err)
	}
	log.SetFormatter(logs.NewRateLimitedFormatter(log.Formatter))
	entry := log.WithField(kernel.ServiceLogField, "agent")
	debug.SetGCPercent(collectAt)
	if host.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(host.Memory)))
	}
	k := NewManaged(role, ManagedConfig(host, metricsPort), log)
	if err := k.Start(ctx); err != nil {
		return err
	}
	entry.WithFields(logrus.Fields{"host": host.Name, "role": role, "zone": host.Place.Zone}).Info("Started.")
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for running := true; running; {
		select {
		case <-reloads:
			reload(entry, host)
		case <-ctx.Done():
			running = false
		}
	}
	entry.Info("Stopping.")
	stopCtx, cancel := context.WithTimeout(context.Background(), host.TimeLimits.StopGracePeriod-stopMargin)
	defer cancel()
	err = k.Stop(stopCtx)
	entry.WithField("clean", err == nil).Info("Stopped.")
	return err
}

// reload reads the settings file again. Addresses and place are those of the
// start until the process ends; a file that cannot be read changes nothing.
func reload(log *logrus.Entry, before platform.HostConfig) {
	after, err := platform.ReadHostConfig()
	if err != nil {
		log.WithError(err).Error("The settings file cannot be read; the settings stay as they are.")
		return
	}
	log.WithFields(logrus.Fields{"store": after.StoreAddress, "store_before": before.StoreAddress}).Info("The settings file was read again.")
}
