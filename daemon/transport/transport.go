// Package transport makes the HTTP transports of a daemon on a managed platform.
package transport

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// probeIdle, probeEvery and probeCount find a connection that fell silent
	// within two seconds, half of the time after which bounds hold again.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// headerBytes bounds the headers of an answer.
	headerBytes = 64 << 10
)

// Options says how connections are made and kept.
type Options struct {
	// DialTimeout bounds a new connection, and IdleTimeout how long one is kept unused.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// MaxIdlePerHost bounds the unused connections to one address.
	MaxIdlePerHost int
	// MaxPerHost bounds all connections to one address; zero is no bound.
	MaxPerHost int
}

// New returns a transport that asks for no compression, so that bodies are passed
// on as they are.
func New(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	}}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: headerBytes,
		IdleConnTimeout: options.IdleTimeout, MaxIdleConnsPerHost: options.MaxIdlePerHost, MaxConnsPerHost: options.MaxPerHost,
	}
}

// IsDialFailure reports whether a request failed because no connection was had,
// so that nothing of it left.
func IsDialFailure(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
