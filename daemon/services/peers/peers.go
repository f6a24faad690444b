// Package peers is the service "rpc.peers": calls to other daemons over
// net/rpc, each with a deadline.
package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NamePeers, func() kernel.Service {
		return &service{clients: make(map[string]*rpc.Client), dial: net.DialTimeout}
	})
}

const dialTimeout = 500 * time.Millisecond

// dialFunc opens a connection within a time.
type dialFunc func(network, address string, timeout time.Duration) (net.Conn, error)

type service struct {
	kernel.Base
	dial  dialFunc
	calls conc.WaitGroup

	mu      sync.Mutex
	clients map[string]*rpc.Client
}

var _ contract.Peers = (*service)(nil)

// Call implements contract.Peers.
func (s *service) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := s.client(address)
	if err != nil {
		return result.Wrap(result.PeerUnreachable, err)
	}
	// Sending blocks while the other side does not read, so it has a goroutine
	// of its own; closing the connection ends it.
	done := make(chan error, 1)
	s.calls.Go(func() { done <- client.Call(method, args, reply) })
	select {
	case err := <-done:
		return s.outcome(address, client, err)
	case <-ctx.Done():
		s.forget(address, client)
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
}

// outcome gives an error of a finished call its code. net/rpc carries errors
// of the other side as text, so receivers put coded errors into their replies
// and a text here is a fault of the call itself.
func (s *service) outcome(address string, client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return result.Wrap(result.OutcomeUnknown, err)
	}
	// The connection broke. net/rpc does not tell whether that was before or
	// after the call was sent, so the outcome is unknown.
	s.forget(address, client)
	return result.Wrap(result.OutcomeUnknown, err)
}

func (s *service) client(address string) (*rpc.Client, error) {
	s.mu.Lock()
	client, ok := s.clients[address]
	s.mu.Unlock()
	if ok {
		return client, nil
	}
	conn, err := s.dial("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	fresh := rpc.NewClient(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other, ok := s.clients[address]; ok {
		_ = fresh.Close()
		return other, nil
	}
	s.clients[address] = fresh
	return fresh, nil
}

// forget closes a connection, which ends its other calls as well.
func (s *service) forget(address string, client *rpc.Client) {
	s.mu.Lock()
	if s.clients[address] == client {
		delete(s.clients, address)
	}
	s.mu.Unlock()
	_ = client.Close()
}

// Stop implements kernel.Service.
func (s *service) Stop(context.Context) error {
	s.closeAll()
	s.calls.Wait()
	return nil
}

func (s *service) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, client := range s.clients {
		_ = client.Close()
		delete(s.clients, address)
	}
}
