// Package rpcserver implements the service "rpc.server", which serves net/rpc calls of
// other daemons to the receivers that services register.
package rpcserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameRPCServer, func() kernel.Service {
		return &service{server: rpc.NewServer(), openConns: make(map[net.Conn]bool)}
	})
}

type service struct {
	kernel.Base
	server   *rpc.Server
	address  string
	trust    contract.Trust
	intake   contract.Intake
	listener net.Listener
	log      *logrus.Entry
	guard    *kernel.Guard
	serving  conc.WaitGroup

	mu        sync.Mutex
	openConns map[net.Conn]bool
	// isStopping is set when no further calls are read.
	isStopping bool
}

var _ contract.RPCServer = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	if s.trust, err = kernel.Find[contract.Trust](ctx, contract.NameTrust); err != nil {
		return err
	}
	if s.intake, err = kernel.Find[contract.Intake](ctx, contract.NameIntake); err != nil {
		return err
	}
	s.address = daemon.Listen.Peers
	s.log, s.guard = ctx.Log(), ctx.Guard()
	return nil
}

// Register implements contract.RPCServer.
func (s *service) Register(name string, receiver any) error {
	return s.server.RegisterName(name, receiver)
}

// Start implements kernel.Service.
func (s *service) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return result.Wrap(result.AddressTaken, err)
	}
	listener = s.intake.Guard(intake.DoorCalls, listener)
	if settings := s.trust.PeerServerTLS(); settings != nil {
		listener = tls.NewListener(listener, settings)
	}
	s.listener = listener
	s.log.Infof("Listening for net/rpc on %s.", listener.Addr())
	s.serving.Go(s.acceptConns)
	return nil
}

// acceptRetryDelay is the pause after a failed accept, as when the process has no
// descriptor left.
const acceptRetryDelay = 50 * time.Millisecond

// acceptConns serves connections until the listener is closed.
func (s *service) acceptConns() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.WithError(err).Warn("Could not accept a connection.")
			<-time.After(acceptRetryDelay)
			continue
		}
		s.trackConn(conn, true)
		s.serving.Go(func() {
			defer s.trackConn(conn, false)
			s.serveConn(conn)
		})
	}
}

// trackConn records whether a connection is open, for Stop.
func (s *service) trackConn(conn net.Conn, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isOpen {
		delete(s.openConns, conn)
		return
	}
	s.openConns[conn] = true
	if s.isStopping {
		_ = conn.SetReadDeadline(time.Now())
	}
}

// maxCallWait bounds the wait for calls in progress at a stop, within the time that the
// stop has left. Calls to the store for another daemon usually end sooner; polls for
// changes may not.
const maxCallWait = 700 * time.Millisecond

// Stop implements kernel.Service. Calls in progress are answered, but no further ones are
// read.
func (s *service) Stop(ctx context.Context) error {
	err := s.listener.Close()
	s.mu.Lock()
	s.isStopping = true
	for conn := range s.openConns {
		_ = conn.SetReadDeadline(time.Now())
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serving.Wait()
	}()
	ctx, cancel := context.WithTimeout(ctx, maxCallWait)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.log.WithField("connections", len(s.openConns)).Info("Closing connections with calls in progress.")
		for conn := range s.openConns {
			_ = conn.Close()
		}
	}
	return err
}
