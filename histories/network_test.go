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

// callDelay is how long a call over a cut link waits before it fails.
const callDelay = 50 * time.Millisecond

// network joins the daemons and the store, and cuts links.
type network struct {
	store *store.Store

	mu      sync.Mutex
	servers map[string]*rpc.Server
	// cutStore and dead are hosts without a link to the store, and without
	// any link.
	cutStore, dead map[structs.HostName]bool
	// changed is closed when a link was cut.
	changed chan struct{}
}

func newNetwork(s *store.Store) *network {
	return &network{
		store: s, servers: make(map[string]*rpc.Server), changed: make(chan struct{}),
		cutStore: make(map[structs.HostName]bool), dead: make(map[structs.HostName]bool),
	}
}

func (n *network) set(which map[structs.HostName]bool, host structs.HostName, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	which[host] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) storeIsCut(host structs.HostName) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutStore[host] || n.dead[host], n.changed
}

// whileLinked ends the context once the host's link to the store is cut.
func (n *network) whileLinked(ctx context.Context, host structs.HostName) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			cut, changed := n.storeIsCut(host)
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

// linkedStore is the store as one host reaches it.
type linkedStore struct {
	*store.Store
	network *network
	host    structs.HostName
}

// over makes a call over the host's link. The answer is lost when the link is
// cut before the call returns.
func over[T any](ctx context.Context, s linkedStore, call func(context.Context) (T, error)) (T, error) {
	var none T
	if cut, _ := s.network.storeIsCut(s.host); cut {
		select {
		case <-time.After(callDelay):
		case <-ctx.Done():
		}
		return none, outside.ErrUnavailable
	}
	ctx, cancel := s.network.whileLinked(ctx, s.host)
	defer cancel()
	value, err := call(ctx)
	if cut, _ := s.network.storeIsCut(s.host); cut || ctx.Err() != nil {
		return none, outside.ErrUnavailable
	}
	return value, err
}

func (s linkedStore) Get(ctx context.Context, key string) (outside.Entry, error) {
	return over(ctx, s, func(ctx context.Context) (outside.Entry, error) { return s.Store.Get(ctx, key) })
}

func (s linkedStore) List(ctx context.Context, prefix string) ([]outside.Entry, error) {
	return over(ctx, s, func(ctx context.Context) ([]outside.Entry, error) { return s.Store.List(ctx, prefix) })
}

func (s linkedStore) CompareAndSwap(ctx context.Context, key string, expected outside.Revision, value []byte, lease outside.LeaseID) (outside.Revision, error) {
	return over(ctx, s, func(ctx context.Context) (outside.Revision, error) {
		return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
	})
}

func (s linkedStore) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error) {
	return over(ctx, s, func(ctx context.Context) (outside.LeaseID, error) { return s.Store.Grant(ctx, ttl) })
}

func (s linkedStore) KeepAlive(ctx context.Context, lease outside.LeaseID) error {
	_, err := over(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.KeepAlive(ctx, lease) })
	return err
}

func (s linkedStore) Revoke(ctx context.Context, lease outside.LeaseID) error {
	_, err := over(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.Revoke(ctx, lease) })
	return err
}

func (s linkedStore) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) (outside.Changes, error) {
	return over(ctx, s, func(ctx context.Context) (outside.Changes, error) { return s.Store.Watch(ctx, prefix, after, wait) })
}

// clients takes the place of the service "platform.clients".
type clients struct {
	kernel.Base
	store outside.Store
}

func (c *clients) Platform() outside.Clients { return outside.Clients{Store: c.store} }

// link takes the place of the services "rpc.peers" and "rpc.server": net/rpc
// over pipes in memory.
type link struct {
	kernel.Base
	network *network
	config  config.Daemon
	server  *rpc.Server
}

func (l *link) Register(name string, receiver any) error {
	return l.server.RegisterName(name, receiver)
}

func (l *link) Start() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.network.servers[l.config.Listen.Peers] = l.server
	return nil
}

func (l *link) Call(ctx context.Context, address, method string, args, reply any) error {
	l.network.mu.Lock()
	server := l.network.servers[address]
	if l.network.dead[l.config.Host] || l.network.dead[structs.HostName(address)] {
		server = nil
	}
	l.network.mu.Unlock()
	if server == nil {
		return result.New(result.PeerUnreachable, "%s", address)
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
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

// probe is a service by which the test finds the others.
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
