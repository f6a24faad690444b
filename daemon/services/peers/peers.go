// Package peers is the service "rpc.peers": calls to other daemons over
// net/rpc, each with a deadline.
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NamePeers, func() kernel.Service {
		return &service{clients: make(map[string]*rpc.Client)}
	})
}

const dialTimeout = 500 * time.Millisecond

type service struct {
	kernel.Base
	trust contract.Trust

	mu      sync.Mutex
	clients map[string]*rpc.Client
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
	if settings := s.trust.PeerClient(); settings != nil {
		return tls.DialWithDialer(dialer, "tcp", address, settings)
	}
	return dialer.Dial("tcp", address)
}

// Call implements contract.Peers.
func (s *service) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := s.client(address)
	if err != nil {
		return result.Wrap(result.PeerUnreachable, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return s.outcome(address, client, call.Error)
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
	conn, err := s.dial(address)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, client := range s.clients {
		_ = client.Close()
		delete(s.clients, address)
	}
	return nil
}
