package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// noTrust is a Trust without certificates.
type noTrust struct{ contract.Trust }

func (noTrust) PeerClientTLS() *tls.Config { return nil }

// TestCall_TimeoutWhileSending calls a peer that accepts a connection and reads nothing.
// The arguments exceed the socket buffers, so sending blocks, and the call must still end
// with its context.
func TestCall_TimeoutWhileSending(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := newService()
	s.trust = noTrust{}
	args, reply := make([]byte, 64<<20), 0
	// The time also bounds the opening of the connection, which must succeed here.
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err = s.Call(ctx, listener.Addr().String(), "Journal.Submit", &args, &reply)
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
}

// TestCall_AfterStop makes a call after the service has stopped, as the watches of a
// daemon do until its workers stop. It must not begin: a stop that waits for calls would
// not end while others begin.
func TestCall_AfterStop(t *testing.T) {
	server := rpc.NewServer()
	must.NoError(t, server.RegisterName("Zone", &slowReceiver{release: make(chan struct{})}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go server.Accept(listener)
	s := newService()
	s.trust = noTrust{}
	must.NoError(t, s.Stop(t.Context()))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var args, reply int
	err = s.Call(ctx, listener.Addr().String(), "Zone.Wait", &args, &reply)
	must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
}

// TestCall_TimeoutKeepsOtherReceivers lets a call to one receiver time out while a call to
// another receiver of the same daemon is in flight. The second call must complete.
func TestCall_TimeoutKeepsOtherReceivers(t *testing.T) {
	server := rpc.NewServer()
	slow := &slowReceiver{release: make(chan struct{})}
	must.NoError(t, server.RegisterName("Steps", slow))
	must.NoError(t, server.RegisterName("Zone", slow))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go server.Accept(listener)
	s := newService()
	s.trust = noTrust{}
	otherCall := make(chan error, 1)
	go func() {
		var args, reply int
		otherCall <- s.Call(t.Context(), listener.Addr().String(), "Zone.Wait", &args, &reply)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var args, reply int
	must.Error(t, s.Call(ctx, listener.Addr().String(), "Steps.Wait", &args, &reply))
	close(slow.release)
	must.NoError(t, <-otherCall)
}

// slowReceiver replies once release is closed.
type slowReceiver struct{ release chan struct{} }

// Wait blocks until release is closed.
func (r *slowReceiver) Wait(_, _ *int) error {
	<-r.release
	return nil
}

// echo replies with its argument.
type echo struct{}

// Echo implements a method of net/rpc.
func (echo) Echo(args, reply *int) error {
	*reply = *args
	return nil
}

// TestCall_RestartedPeer restarts a peer at its address between two calls. The second
// call must reach the new process, and not fail on the connection to the old one.
func TestCall_RestartedPeer(t *testing.T) {
	server := rpc.NewServer()
	must.NoError(t, server.RegisterName("Zone", echo{}))
	// serve serves one connection, and returns a function that closes it.
	serve := func(address string) (listener net.Listener, closeConn func()) {
		listener, err := net.Listen("tcp", address)
		must.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		accepted := make(chan net.Conn, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			server.ServeConn(conn)
		}()
		return listener, func() { _ = (<-accepted).Close() }
	}
	listener, closeConn := serve("127.0.0.1:0")
	address := listener.Addr().String()
	s := newService()
	s.trust = noTrust{}
	args, reply := 1, 0
	must.NoError(t, s.Call(t.Context(), address, "Zone.Echo", &args, &reply))
	first := s.openClient(connKeyOf(address, "Zone.Echo"))
	must.NotNil(t, first)

	must.NoError(t, listener.Close())
	closeConn()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(first.conn.hasFailed.Load), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	serve(address)
	args = 2
	must.NoError(t, s.Call(t.Context(), address, "Zone.Echo", &args, &reply))
	must.Eq(t, 2, reply)
}

// TestCall_ContextBoundsDialing checks that a call whose context has ended opens no
// connection.
func TestCall_ContextBoundsDialing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := newService()
	s.trust = noTrust{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var args, reply int
	err = s.Call(ctx, listener.Addr().String(), "Zone.Wait", &args, &reply)
	must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
}
