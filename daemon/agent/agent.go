// Package agent assembles a daemon: it lists the services that the kernel loads and
// runs them until the process is asked to stop.
package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"

	// Each service registers itself under its name.
	_ "github.com/flamingobeam/flamingobeam/daemon/services/balance"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/clients"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/front"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/hosts"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/intake"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/journal"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/metrics"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/peers"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/plain"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/retries"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/rollout"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/rpcserver"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/settings"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/steps"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/trust"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/weights"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/zone"
)

// Services lists the services of every daemon. The kernel also loads those that they
// depend on.
func Services() []kernel.Name {
	return []kernel.Name{contract.NameRPCServer, contract.NameZone, contract.NameWeights, contract.NameFront}
}

// New returns the kernel of a daemon without starting it.
func New(daemon config.Daemon, log *logrus.Logger) *kernel.Kernel {
	return kernel.New(kernel.Options{Services: Services(), Config: daemon, Log: log})
}

// Run runs a daemon until ctx ends and then shuts it down gracefully. Requests in
// flight have a part of Limits.StopWithin to finish.
func Run(ctx context.Context, daemon config.Daemon, log *logrus.Logger) error {
	k := New(daemon, log)
	if err := k.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-k.Failed():
		log.WithField(kernel.ServiceLogField, "agent").Error("The control state is invalid.")
	}
	log.WithField(kernel.ServiceLogField, "agent").Info("Stopping.")
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Duration(daemon.Limits.StopWithin))
	defer cancel()
	return k.Stop(stopCtx)
}
