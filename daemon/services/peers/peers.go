// Package peers is the service "rpc.peers": calls to other daemons over
// net/rpc, each with a deadline.
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"strings"
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
		return &service{clients: make(map[lane]*rpc.Client)}
	})
}

// lane names a connection. Each receiver has connections of its own, so that a
// call that runs out of time, which closes its connection, ends no calls of
// another kind.
type lane struct {
	address  string
	receiver string
}

func laneOf(address, method string) lane {
	receiver, _, _ := strings.Cut(method, ".")
	return lane{address: address, receiver: receiver}
}

const dialTimeout = 500 * time.Millisecond

type service struct {
	kernel.Base
	trust contract.Trust
	calls conc.WaitGroup

	mu      sync.Mutex
	clients map[lane]*rpc.Client
}

var _ contract.Peers = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	s.trust, err = kernel.Find[contract.Trust](ctx, contract.NameTrust)
	return err
}

// dial opens a connection, with mutual TLS when there are certificates.
func (s *service) dial(address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if settings := s.trust.PeerClientTLS(); settings != nil {
		return tls.DialWithDialer(dialer, "tcp", address, settings)
	}
	return dialer.Dial("tcp", address)
}

// Call implements contract.Peers.
func (s *service) Call(ctx context.Context, address, method string, args, reply any) error {
	to := laneOf(address, method)
	client, err := s.client(to)
	if err != nil {
		return result.Wrap(result.PeerUnreachable, err)
	}
	// Sending blocks while the other side does not read, so it has a goroutine
	// of its own; closing the connection ends it.
	done := make(chan error, 1)
	s.calls.Go(func() { done <- client.Call(method, args, reply) })
	select {
	case err := <-done:
		return s.outcome(to, client, err)
	case <-ctx.Done():
		s.forget(to, client)
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
}

// outcome gives an error of a finished call its code. net/rpc carries errors
// of the other side as text, so receivers put coded errors into their replies
// and a text here is a fault of the call itself.
func (s *service) outcome(to lane, client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return result.Wrap(result.OutcomeUnknown, err)
	}
	// The connection broke. net/rpc does not tell whether that was before or
	// after the call was sent, so the outcome is unknown.
	s.forget(to, client)
	return result.Wrap(result.OutcomeUnknown, err)
}

func (s *service) client(to lane) (*rpc.Client, error) {
	s.mu.Lock()
	client, ok := s.clients[to]
	s.mu.Unlock()
	if ok {
		return client, nil
	}
	conn, err := s.dial(to.address)
	if err != nil {
		return nil, err
	}
	fresh := rpc.NewClient(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other, ok := s.clients[to]; ok {
		_ = fresh.Close()
		return other, nil
	}
	s.clients[to] = fresh
	return fresh, nil
}

// forget closes a connection, which ends its other calls as well.
func (s *service) forget(to lane, client *rpc.Client) {
	s.mu.Lock()
	if s.clients[to] == client {
		delete(s.clients, to)
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
	for to, client := range s.clients {
		_ = client.Close()
		delete(s.clients, to)
	}
}
