// Package transport creates the HTTP transports of a daemon on a managed platform.
package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// The TCP keep-alive probes detect a dead connection within two seconds, half of
	// the time within which latency bounds must hold again after a fault.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
)

// Options sets the timeouts and limits of connections.
type Options struct {
	// DialTimeout bounds the time to establish a connection, and IdleTimeout the time
	// that an idle one is kept.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// MaxIdlePerHost bounds the idle connections to one address.
	MaxIdlePerHost int
	// MaxPerHost bounds all connections to one address; zero means no limit.
	MaxPerHost int
	// SingleUse closes each connection after one request.
	SingleUse bool
	// Dial opens connections; nil stands for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Account counts the connections; nil stands for none.
	Account *Connections
}

// New returns a transport that does not request compression, so that bodies can be
// forwarded unchanged.
func New(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	dial := dialer.DialContext
	if options.Dial != nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, options.DialTimeout)
			defer cancel()
			return options.Dial(ctx, network, address)
		}
	}
	if options.Account != nil {
		dial = options.Account.Watch(dial)
	}
	return &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout: options.IdleTimeout, MaxIdleConnsPerHost: options.MaxIdlePerHost, MaxConnsPerHost: options.MaxPerHost,
		DisableKeepAlives: options.SingleUse,
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// IsDialFailure reports whether a request failed because no connection could be
// established, so that no byte of it was sent.
func IsDialFailure(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// MayReplay reports whether net/http may send a request a second time by itself, after
// a kept connection ended without a response. It does so with requests without a body,
// depending on their methods and headers, and with bodies that GetBody can return again.
// It never does so on a connection that has served no other request.
func MayReplay(request *http.Request) bool {
	return request.Body == nil || request.Body == http.NoBody || request.GetBody != nil
}

const (
	// maxDiscardedBytes bounds how much of an unused body is read so that its
	// connection can be reused, and maxDiscardTime how long that may take.
	maxDiscardedBytes = 4 << 10
	maxDiscardTime    = 50 * time.Millisecond
)

// Discard ends a response whose body is not used. A short body is read to its end,
// so that the connection can be reused; otherwise the connection is closed. A body
// that is longer than announced, or arrives a byte now and then, delays the caller
// by at most maxDiscardTime.
func Discard(response *http.Response) {
	defer response.Body.Close()
	if response.ContentLength < 0 || response.ContentLength > maxDiscardedBytes {
		return
	}
	timer := time.AfterFunc(maxDiscardTime, func() { _ = response.Body.Close() })
	defer timer.Stop()
	// An error means that the connection cannot be reused.
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
}

// streamBufferBytes is the size of the buffer for passing a response on.
const streamBufferBytes = 16 << 10

// Stream copies a body to a response and flushes each piece. It returns the error of the
// body, and nil at its end or when the receiver has gone.
func Stream(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return nil
			}
			if err := control.Flush(); err != nil {
				return nil
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
