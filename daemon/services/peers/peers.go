// Package peers implements the service "rpc.peers": net/rpc calls to other daemons that
// end when their context does.
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NamePeers, func() kernel.Service {
		return newService()
	})
}

// connKey identifies a connection. Each receiver at an address has its own connection:
// a call that times out closes its connection and with it the other calls on it, and
// must not end calls to another receiver.
type connKey struct {
	address  string
	receiver string
}

func connKeyOf(address, method string) connKey {
	receiver, _, _ := strings.Cut(method, ".")
	return connKey{address: address, receiver: receiver}
}

// client is a net/rpc client and its connection.
type client struct {
	*rpc.Client
	conn *watchedConn
}

// watchedConn records that reading has failed, as it does once the peer has closed
// the connection. net/rpc reads all the time, so that is noticed without a call.
type watchedConn struct {
	net.Conn
	hasFailed atomic.Bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		c.hasFailed.Store(true)
	}
	return n, err
}

// dialTimeout bounds the time to open a connection, including the TLS handshake.
const dialTimeout = 500 * time.Millisecond

type service struct {
	kernel.Base
	trust contract.Trust
	calls conc.WaitGroup

	mu      sync.Mutex
	clients map[connKey]*client
	// isStopped is set when the service stops. No call begins after that, since
	// Stop waits for the calls.
	isStopped bool
}

func newService() *service { return &service{clients: make(map[connKey]*client)} }

var _ contract.Peers = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	s.trust, err = kernel.Find[contract.Trust](ctx, contract.NameTrust)
	return err
}

// dial opens a connection, with mutual TLS if certificates are configured.
func (s *service) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if settings := s.trust.PeerClientTLS(); settings != nil {
		return (&tls.Dialer{Config: settings}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Call implements contract.Peers.
func (s *service) Call(ctx context.Context, address, method string, args, reply any) error {
	key := connKeyOf(address, method)
	c, err := s.clientFor(ctx, key)
	if err != nil {
		return result.Wrap(result.PeerUnreachable, err)
	}
	// Sending blocks while the peer does not read, so the call runs on its own
	// goroutine. Closing the connection ends it.
	done := make(chan error, 1)
	if !s.begin(func() { done <- c.Call(method, args, reply) }) {
		return result.Wrap(result.PeerUnreachable, errStopped)
	}
	select {
	case err := <-done:
		return s.wrapError(key, c, err)
	case <-ctx.Done():
		s.closeClient(key, c)
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
}

// errStopped means that the service has stopped.
var errStopped = errors.New("peers: stopped")

// begin runs a call on its own goroutine unless the service has stopped.
func (s *service) begin(call func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopped {
		return false
	}
	s.calls.Go(call)
	return true
}

// wrapError adds a result code to the error of a finished call. net/rpc transfers the
// errors of receivers as text without a code, so receivers return coded errors inside
// their replies, and a rpc.ServerError is a failure of the call itself.
func (s *service) wrapError(key connKey, c *client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return result.Wrap(result.OutcomeUnknown, err)
	}
	// The connection failed. net/rpc does not report whether the call had been sent,
	// so its outcome is unknown.
	s.closeClient(key, c)
	return result.Wrap(result.OutcomeUnknown, err)
}

// clientFor returns the open client of a connection, or opens one. A connection that
// the peer has closed, as a daemon does that restarts, is replaced: net/rpc would fail
// the next call on it without having sent it, and its outcome would count as unknown.
func (s *service) clientFor(ctx context.Context, key connKey) (*client, error) {
	if existing := s.openClient(key); existing != nil {
		return existing, nil
	}
	conn, err := s.dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{Conn: conn}
	opened := &client{Client: rpc.NewClient(watched), conn: watched}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopped {
		_ = opened.Close()
		return nil, errStopped
	}
	if other, ok := s.clients[key]; ok {
		_ = opened.Close()
		return other, nil
	}
	s.clients[key] = opened
	return opened, nil
}

// openClient returns the client of a connection that is open, and nil if there is none.
func (s *service) openClient(key connKey) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.clients[key]
	if existing == nil || !existing.conn.hasFailed.Load() {
		return existing
	}
	delete(s.clients, key)
	_ = existing.Close()
	return nil
}

// closeClient closes a connection, which also ends the other calls on it.
func (s *service) closeClient(key connKey, c *client) {
	s.mu.Lock()
	if s.clients[key] == c {
		delete(s.clients, key)
	}
	s.mu.Unlock()
	_ = c.Close()
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
	s.isStopped = true
	for key, c := range s.clients {
		_ = c.Close()
		delete(s.clients, key)
	}
}
