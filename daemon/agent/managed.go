package agent

import (
	"context"
	"fmt"
	stdlog "log"
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

	// Each service registers itself under its name.
	_ "github.com/flamingobeam/flamingobeam/daemon/services/catalog"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/dispatch"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/duties"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/engines"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/explain"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/expose"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/fleetsize"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/gate"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/hedging"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/jobs"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/ledger"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/limits"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/links"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/origins"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/paces"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/retire"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/servers"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/session"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/shares"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/shutdown"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/swaps"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/usage"
)

// Role is the role of a daemon on a managed platform.
type Role string

// The roles of a managed platform.
const (
	// RoleEntry serves callers' requests.
	RoleEntry Role = "entry"
	// RoleStorage runs on a host with a disk. It holds no durable data.
	RoleStorage Role = "storage"
)

const (
	// peerPortOffset is the offset of the net/rpc port in the range of ports for
	// traffic between daemons.
	peerPortOffset = 0
	// relayPortOffset is the offset of the port for requests that other daemons pass on.
	relayPortOffset = 1
	// memoryLimitFraction is the fraction of the process's memory limit that the
	// Go runtime may use; the rest is for stacks and buffers of the system.
	memoryLimitFraction = 0.6
	// gcPercent is lower than Go's default of 100 because the platform charges for
	// peak memory, while the heap is small and the processor mostly idle.
	gcPercent = 40
	// maxWorkers bounds concurrent blocking calls; each item in flight needs one.
	maxWorkers = 4096
	// logFlushTimeout bounds the wait for the last log lines to be written. At a planned
	// stop it is also bounded by the end of the grace period.
	logFlushTimeout = 200 * time.Millisecond
)

// ManagedServices lists the services of a role. The kernel also loads those that
// they depend on.
func ManagedServices(role Role) []kernel.Name {
	if role == RoleStorage {
		return []kernel.Name{contract.NameShutdown, contract.NameRetire}
	}
	return []kernel.Name{
		contract.NameShutdown, contract.NameMetricsHTTP, contract.NameRPCServer, contract.NameWeightSwaps, contract.NameShares,
		contract.NameDuties, contract.NameUsage, contract.NameFleetSize, contract.NameManagedFront, contract.NameExplain,
	}
}

// ManagedReplacements maps services to those that replace them on a managed platform,
// which has its own server list and operator configuration.
func ManagedReplacements() map[kernel.Name]kernel.Name {
	return map[kernel.Name]kernel.Name{
		contract.NameHosts:    contract.NameServers,
		contract.NameSettings: contract.NameCatalog,
	}
}

// ManagedConfig returns the settings of a daemon on a host of a managed platform,
// with the metrics served on metricsPort.
func ManagedConfig(host platform.HostConfig, metricsPort int) config.Daemon {
	daemon := config.Default()
	daemon.Host, daemon.Place, daemon.Store = host.Name, host.Place, host.StoreAddress
	daemon.Listen.Callers = host.ClientAddress
	daemon.Listen.Peers = fmt.Sprintf("%s:%d", host.IP, host.FirstPort+peerPortOffset)
	if port := host.FirstPort + relayPortOffset; port <= host.LastPort {
		daemon.Listen.Relay = fmt.Sprintf("%s:%d", host.IP, port)
	}
	daemon.Limits.StopWithin = 0
	daemon.Platform = config.ManagedPlatform{
		ClosedNetwork: true,
		Readiness:     host.ReadinessAddress,
		Metrics:       fmt.Sprintf("%s:%d", host.IP, metricsPort),
		Regions:       host.Regions,
		Strength:      host.CPUCores,
		StopGrace:     host.TimeLimits.StopGracePeriod,
		ResultsKept:   host.TimeLimits.ResultRetention,
		ConfigApply:   host.TimeLimits.ConfigApply,
		FirstStart:    host.FirstStart,

		KeyRevocation:    host.TimeLimits.KeyRevocation,
		StrictRevocation: host.TimeLimits.StrictRevocation,
		Memory:           host.Memory,
		Descriptors:      host.Descriptors,
		Duties:           host.Duties,
		Entry:            config.DefaultEntry(),
	}
	return daemon
}

// NewManaged returns the kernel of a daemon on a managed platform without starting
// it.
func NewManaged(role Role, daemon config.Daemon, log *logrus.Logger) *kernel.Kernel {
	return kernel.New(kernel.Options{
		Services: ManagedServices(role), Overrides: ManagedReplacements(), Config: daemon, Log: log, MaxWorkers: maxWorkers,
	})
}

// ManagedOptions are the options of a daemon's command line on a managed platform.
type ManagedOptions struct {
	// MetricsPort is the port on which metrics are served.
	MetricsPort int
	// Settings is the path of the project's own settings; empty for the defaults.
	Settings string
}

// RunManaged runs a daemon on a managed platform until ctx ends and then shuts it down
// gracefully. It fails with code SettingsInvalid, with the errors of config.ReadEntry or
// with the error of a service.
func RunManaged(ctx context.Context, role Role, options ManagedOptions) error {
	host, err := platform.ReadHostConfig()
	if err != nil {
		return result.Wrap(result.SettingsInvalid, err)
	}
	daemon := ManagedConfig(host, options.MetricsPort)
	if daemon.Platform.Entry, err = config.ReadEntry(options.Settings); err != nil {
		return err
	}
	logWriter := logs.NewAsyncWriter(os.Stdout)
	flushTimeout := logFlushTimeout
	defer func() { logWriter.Close(flushTimeout) }()
	log, err := logs.New(logWriter, "info", "json")
	if err != nil {
		return result.Wrap(result.SettingsInvalid, err)
	}
	log.SetFormatter(logs.NewRateLimitedFormatter(log.Formatter))
	// The HTTP library reports bytes beyond a response to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.WithField(kernel.ServiceLogField, "http").WriterLevel(logrus.InfoLevel))
	entry := log.WithField(kernel.ServiceLogField, "agent")
	debug.SetGCPercent(gcPercent)
	if host.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(host.Memory)))
	}
	// The grace period runs from the signal, also while the services start.
	stopRequests := make(chan time.Time, 1)
	defer context.AfterFunc(ctx, func() { stopRequests <- time.Now() })()
	k := NewManaged(role, daemon, log)
	if err := k.Start(ctx); err != nil {
		return err
	}
	entry.WithFields(logrus.Fields{"host": host.Name, "role": role, "zone": host.Place.Zone}).Info("Started.")
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	var stopRequested time.Time
	for stopRequested.IsZero() {
		select {
		case <-reloads:
			checkHostConfig(entry, host)
		case stopRequested = <-stopRequests:
		case <-k.Failed():
			entry.Error("The control state is invalid.")
			stopRequested = time.Now()
		}
	}
	entry.Info("Stopping.")
	planned, err := kernel.FindLoaded[contract.Shutdown](k, contract.NameShutdown)
	if err != nil {
		return err
	}
	schedule := planned.Begin(stopRequested)
	stopCtx, cancel := context.WithDeadline(context.Background(), schedule.StopEnd)
	defer cancel()
	err = k.Stop(stopCtx)
	flushTimeout = max(0, min(logFlushTimeout, time.Until(schedule.KillAt)))
	entry.WithField("clean", err == nil).Info("Stopped.")
	return err
}

// checkHostConfig reads the settings file again on SIGHUP and logs the result. The
// process keeps the addresses and the place of its start until it ends, whether or not
// the file can be read.
func checkHostConfig(log *logrus.Entry, before platform.HostConfig) {
	after, err := platform.ReadHostConfig()
	if err != nil {
		log.WithError(err).Error("Failed to read the settings file; settings are unchanged.")
		return
	}
	log.WithFields(logrus.Fields{"store": after.StoreAddress, "store_before": before.StoreAddress}).Info("Settings file reread; changes take effect after a restart.")
}
