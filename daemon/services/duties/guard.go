package duties

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/daemon/transport"
)

// dialTimeout bounds a new connection to the platform.
const dialTimeout = 700 * time.Millisecond

// errNotSent means that the duties were lost between the begin of a call and its first
// byte.
var errNotSent = errors.New("duties: the holder changed before the call was sent")

// sendGuard decides on each write of a call to the platform. The time between the begin
// of a call and its first byte has no bound: a host may be suspended in it.
type sendGuard struct {
	mayWrite func() bool
	sent     atomic.Bool
	refused  atomic.Bool
}

func (g *sendGuard) hasSent() bool    { return g.sent.Load() }
func (g *sendGuard) wasRefused() bool { return g.refused.Load() }

type sendGuardKey struct{}

func withSendGuard(ctx context.Context, guard *sendGuard) context.Context {
	return context.WithValue(ctx, sendGuardKey{}, guard)
}

// newTransport returns a transport that opens a connection for each call, so that each
// connection has the guard of its call.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return transport.New(transport.Options{DialTimeout: dialTimeout, SingleUse: true, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		guard, _ := ctx.Value(sendGuardKey{}).(*sendGuard)
		return &guardedConn{Conn: conn, guard: guard}, nil
	}})
}

// guardedConn is a connection to the platform for one call.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	if c.guard == nil || !c.guard.mayWrite() {
		if c.guard != nil {
			c.guard.refused.Store(true)
		}
		return 0, errNotSent
	}
	c.guard.sent.Store(true)
	return c.Conn.Write(data)
}
