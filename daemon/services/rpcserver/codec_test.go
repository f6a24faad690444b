package rpcserver

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// noIntake bounds nothing.
type noIntake struct{ contract.Intake }

func (noIntake) OfConn(net.Conn) contract.Holding { return contract.HoldingOf(context.Background()) }

// Echo is a receiver for tests.
type Echo struct{ release chan struct{} }

// Repeat returns its argument.
func (*Echo) Repeat(text string, reply *string) error {
	*reply = text
	return nil
}

// Panic panics, as an unexpected argument may make a handler do.
func (*Echo) Panic(string, *string) error { panic("unexpected argument") }

// Wait returns once the test allows it.
func (e *Echo) Wait(text string, reply *string) error {
	<-e.release
	*reply = text
	return nil
}

// dialEcho starts a server and returns a connection to it.
func dialEcho(t *testing.T, echo *Echo) net.Conn {
	t.Helper()
	conn, s := startEcho(t, echo)
	t.Cleanup(func() {
		_ = conn.Close()
		must.NoError(t, s.Stop(t.Context()))
	})
	return conn
}

// startEcho is dialEcho for tests that stop the server.
func startEcho(t *testing.T, echo *Echo) (net.Conn, *service) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{server: rpc.NewServer(), intake: noIntake{}, log: logrus.NewEntry(log), guard: kernel.NewGuard(log)}
	must.NoError(t, s.Register("Echo", echo))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s.listener, s.openConns = listener, make(map[net.Conn]bool)
	s.serving.Go(s.acceptConns)
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	return conn, s
}

// TestStop_AnswersCallsInProgress guards against cutting off the calls of other daemons
// that a stopping one is handling, such as a write to the store, whose outcome they then
// do not know.
func TestStop_AnswersCallsInProgress(t *testing.T) {
	echo := &Echo{release: make(chan struct{})}
	conn, s := startEcho(t, echo)
	client := rpc.NewClient(conn)
	var waited, repeated string
	waiting := client.Go("Echo.Wait", "a", &waited, nil)
	must.NoError(t, client.Call("Echo.Repeat", "b", &repeated))
	time.AfterFunc(100*time.Millisecond, func() { close(echo.release) })
	must.NoError(t, s.Stop(t.Context()))
	must.NoError(t, (<-waiting.Done).Error)
	must.Eq(t, "a", waited)
}

// TestStop_EndsInTime guards against a stop that outlasts the grace period because a call
// does not return.
func TestStop_EndsInTime(t *testing.T) {
	echo := &Echo{release: make(chan struct{})}
	defer close(echo.release)
	conn, s := startEcho(t, echo)
	client := rpc.NewClient(conn)
	var waited, repeated string
	waiting := client.Go("Echo.Wait", "a", &waited, nil)
	must.NoError(t, client.Call("Echo.Repeat", "b", &repeated))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	stopped := make(chan error)
	go func() { stopped <- s.Stop(ctx) }()
	select {
	case err := <-stopped:
		must.NoError(t, err)
	case <-time.After(time.Second):
		t.Fatal("Stop waits for the call")
	}
	must.Error(t, (<-waiting.Done).Error)
}

// TestServeConn_Panic lets a handler panic while another call of the connection
// runs. Its caller must get an error, and the other calls their replies.
func TestServeConn_Panic(t *testing.T) {
	echo := &Echo{release: make(chan struct{})}
	client := rpc.NewClient(dialEcho(t, echo))
	var waited, repeated string
	waiting := client.Go("Echo.Wait", "a", &waited, nil)
	must.ErrorContains(t, client.Call("Echo.Panic", "b", &repeated), "panicked")
	must.ErrorContains(t, client.Call("Echo.Unknown", "b", &repeated), "can't find method")
	must.NoError(t, client.Call("Echo.Repeat", "c", &repeated))
	must.Eq(t, "c", repeated)
	close(echo.release)
	must.NoError(t, (<-waiting.Done).Error)
	must.Eq(t, "a", waited)
}

// TestServeConn_EndlessMessage sends a request that does not end. The server must
// close the connection after maxMessageBytes.
func TestServeConn_EndlessMessage(t *testing.T) {
	conn := dialEcho(t, &Echo{})
	encoder := gob.NewEncoder(conn)
	must.NoError(t, encoder.Encode(rpc.Request{ServiceMethod: "Echo.Repeat", Seq: 1}))
	// The length of a message of 900 MB, in the encoding of gob.
	_, err := conn.Write([]byte{0xfc, 0x35, 0xa4, 0xe9, 0x00})
	must.NoError(t, err)
	block, sent := make([]byte, 1<<20), 0
	for err == nil {
		must.Less(t, 900<<20, sent)
		var n int
		n, err = conn.Write(block)
		sent += n
	}
	// The socket buffers hold a part of what was written.
	must.Less(t, maxMessageBytes+64<<20, sent)
}

// TestServeConn_Garbage sends bytes that are no request. Other connections must be
// served.
func TestServeConn_Garbage(t *testing.T) {
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00", "\xff\xff\xff\xff\xff\xff\xff\xff\xff"} {
		conn := dialEcho(t, &Echo{})
		_, err := conn.Write([]byte(garbage))
		must.NoError(t, err)
		must.NoError(t, conn.(*net.TCPConn).CloseWrite())
		// The server may reset the connection.
		_, _ = io.ReadAll(conn)
	}
}

// FuzzServeConn sends bytes to the server. They must end no process, and the server
// must give the connection up once it is closed.
func FuzzServeConn(f *testing.F) {
	var call bytes.Buffer
	encoder := gob.NewEncoder(&call)
	must.NoError(f, encoder.Encode(rpc.Request{ServiceMethod: "Echo.Repeat", Seq: 1}))
	must.NoError(f, encoder.Encode("text"))
	f.Add(call.Bytes())
	f.Add(call.Bytes()[:len(call.Bytes())-2])
	f.Add([]byte("\xff\xff\xff\xff"))
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{server: rpc.NewServer(), intake: noIntake{}, log: logrus.NewEntry(log), guard: kernel.NewGuard(log)}
	must.NoError(f, s.Register("Echo", &Echo{}))
	f.Fuzz(func(t *testing.T, input []byte) {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, ours) }()
		go func() {
			_, _ = ours.Write(input)
			_ = ours.Close()
		}()
		s.serveConn(theirs)
		s.serving.Wait()
	})
}
