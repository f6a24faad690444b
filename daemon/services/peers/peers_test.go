package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// noTrust has no certificates.
type noTrust struct{ contract.Trust }

func (noTrust) PeerClientTLS() *tls.Config { return nil }

// TestCall_EndsWhenThePeerDoesNotRead calls a peer that accepts a connection
// and reads nothing, with more than the buffers of a connection hold.
func TestCall_EndsWhenThePeerDoesNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &service{clients: make(map[lane]*rpc.Client), trust: noTrust{}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	args, reply := make([]byte, 64<<20), 0
	err = s.Call(ctx, listener.Addr().String(), "Journal.Submit", &args, &reply)
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
}

// TestCall_AStuckCallEndsNoOther gives a call of one receiver up while a call
// of another is on its way to the same daemon.
func TestCall_AStuckCallEndsNoOther(t *testing.T) {
	server := rpc.NewServer()
	slow := &slowReceiver{release: make(chan struct{})}
	must.NoError(t, server.RegisterName("Steps", slow))
	must.NoError(t, server.RegisterName("Zone", slow))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go server.Accept(listener)
	s := &service{clients: make(map[lane]*rpc.Client), trust: noTrust{}}
	asked := make(chan error, 1)
	go func() {
		var args, reply int
		asked <- s.Call(t.Context(), listener.Addr().String(), "Zone.Wait", &args, &reply)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var args, reply int
	must.Error(t, s.Call(ctx, listener.Addr().String(), "Steps.Wait", &args, &reply))
	close(slow.release)
	must.NoError(t, <-asked)
}

// slowReceiver answers once it is let go.
type slowReceiver struct{ release chan struct{} }

// Wait waits.
func (sr *slowReceiver) Wait(_, _ *int) error {
	<-sr.release
	return nil
}
