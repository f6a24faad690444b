package histories

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// callDelay is the time after which a call over a cut link fails.
const callDelay = 50 * time.Millisecond

// network connects the daemons with each other and with the store. Links can be
// cut.
type network struct {
	store *store.Store

	mu      sync.Mutex
	servers map[string]*rpc.Server
	// storeCutHosts have no link to the store; isolatedHosts have no link at all.
	storeCutHosts, isolatedHosts map[structs.HostName]bool
	// cutsChanged is closed and replaced when a link is cut or restored.
	cutsChanged chan struct{}
}

func newNetwork(s *store.Store) *network {
	return &network{
		store: s, servers: make(map[string]*rpc.Server), cutsChanged: make(chan struct{}),
		storeCutHosts: make(map[structs.HostName]bool), isolatedHosts: make(map[structs.HostName]bool),
	}
}

// setCut cuts or restores a host's links in one of the network's two maps.
func (n *network) setCut(hosts map[structs.HostName]bool, host structs.HostName, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts[host] = cut
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// isStoreCut reports whether a host has no link to the store, and returns a
// channel that is closed at the next change of any link.
func (n *network) isStoreCut(host structs.HostName) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeCutHosts[host] || n.isolatedHosts[host], n.cutsChanged
}

// untilStoreCut returns a context that is cancelled when the host's link to the
// store is cut.
func (n *network) untilStoreCut(ctx context.Context, host structs.HostName) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			cut, changed := n.isStoreCut(host)
			if cut {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// hostStore is the store as seen from one host.
type hostStore struct {
	*store.Store
	network *network
	host    structs.HostName
}

// callOverLink makes a call over the host's link to the store. If the link is cut
// before the call returns, the response is lost and the call fails with
// outside.ErrUnavailable.
func callOverLink[T any](ctx context.Context, s hostStore, call func(context.Context) (T, error)) (T, error) {
	var zero T
	if cut, _ := s.network.isStoreCut(s.host); cut {
		select {
		case <-time.After(callDelay):
		case <-ctx.Done():
		}
		return zero, outside.ErrUnavailable
	}
	ctx, cancel := s.network.untilStoreCut(ctx, s.host)
	defer cancel()
	value, err := call(ctx)
	if cut, _ := s.network.isStoreCut(s.host); cut || ctx.Err() != nil {
		return zero, outside.ErrUnavailable
	}
	return value, err
}

func (s hostStore) Get(ctx context.Context, key string) (outside.Entry, error) {
	return callOverLink(ctx, s, func(ctx context.Context) (outside.Entry, error) { return s.Store.Get(ctx, key) })
}

func (s hostStore) List(ctx context.Context, prefix string) ([]outside.Entry, error) {
	return callOverLink(ctx, s, func(ctx context.Context) ([]outside.Entry, error) { return s.Store.List(ctx, prefix) })
}

func (s hostStore) CompareAndSwap(ctx context.Context, key string, expected outside.Revision, value []byte, lease outside.LeaseID) (outside.Revision, error) {
	return callOverLink(ctx, s, func(ctx context.Context) (outside.Revision, error) {
		return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
	})
}

func (s hostStore) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error) {
	return callOverLink(ctx, s, func(ctx context.Context) (outside.LeaseID, error) { return s.Store.Grant(ctx, ttl) })
}

func (s hostStore) KeepAlive(ctx context.Context, lease outside.LeaseID) error {
	_, err := callOverLink(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.KeepAlive(ctx, lease) })
	return err
}

func (s hostStore) Revoke(ctx context.Context, lease outside.LeaseID) error {
	_, err := callOverLink(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.Revoke(ctx, lease) })
	return err
}

func (s hostStore) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) (outside.Changes, error) {
	return callOverLink(ctx, s, func(ctx context.Context) (outside.Changes, error) { return s.Store.Watch(ctx, prefix, after, wait) })
}

// clients replaces the service "platform.clients".
type clients struct {
	kernel.Base
	store outside.Store
}

func (c *clients) Platform() outside.Clients { return outside.Clients{Store: c.store} }

// pipePeers replaces the services "rpc.peers" and "rpc.server" by net/rpc over
// in-memory pipes.
type pipePeers struct {
	kernel.Base
	network *network
	config  config.Daemon
	server  *rpc.Server
}

func (p *pipePeers) Register(name string, receiver any) error {
	return p.server.RegisterName(name, receiver)
}

func (p *pipePeers) Start() error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.servers[p.config.Listen.Peers] = p.server
	return nil
}

func (p *pipePeers) Call(ctx context.Context, address, method string, args, reply any) error {
	p.network.mu.Lock()
	server := p.network.servers[address]
	if p.network.isolatedHosts[p.config.Host] || p.network.isolatedHosts[structs.HostName(address)] {
		server = nil
	}
	p.network.mu.Unlock()
	if server == nil {
		return result.New(result.PeerUnreachable, "%s", address)
	}
	clientEnd, serverEnd := net.Pipe()
	go server.ServeConn(serverEnd)
	client := rpc.NewClient(clientEnd)
	defer client.Close()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
	if call.Error != nil {
		return result.Wrap(result.OutcomeUnknown, call.Error)
	}
	return nil
}

// probe is a service that gives the test access to other services of the daemon.
type probe struct {
	kernel.Base
	settings contract.Settings
	operator contract.Operator
	zone     contract.Zone
}

const nameProbe kernel.Name = "test.probe"

func (p *probe) Provision(ctx *kernel.Context) error {
	var err error
	if p.settings, err = kernel.Find[contract.Settings](ctx, contract.NameSettings); err != nil {
		return err
	}
	if p.operator, err = kernel.Find[contract.Operator](ctx, contract.NameSettings); err != nil {
		return err
	}
	p.zone, err = kernel.Find[contract.Zone](ctx, contract.NameZone)
	return err
}
