// Package clients implements the service "platform.clients": the clients of the
// platform's services, configured by the daemon's settings file.
package clients

import (
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

func init() {
	kernel.Register(contract.NameClients, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	platform outside.Clients
}

var _ contract.Clients = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	store := httpclient.NewStore(daemon.Store, nil)
	backend := httpclient.NewBackend(nil)
	s.platform = outside.Clients{Store: store, Hosts: store, Weights: store, Plain: backend, Engine: backend}
	return nil
}

// Platform implements contract.Clients.
func (s *service) Platform() outside.Clients { return s.platform }
