// Package httpclient implements the interfaces of package outside over HTTP and
// JSON.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// DialFunc opens a network connection. Tests substitute one that simulates a
// network partition.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerHost     = 64
	maxErrorBodyBytes  = 4 << 10
	contentTypeJSON    = "application/json"
	headerContentType  = "Content-Type"
	headerIdempotency  = "Idempotency-Key"
	maxResponseBytes   = 8 << 20
	maxReplyBytes      = 64 << 20
	maxChunkTokens     = 1 << 20
	watchTimeoutMargin = 2 * time.Second
)

// NewTransport returns an HTTP transport that opens connections with dial. If
// dial is nil, the transport uses a net.Dialer with a timeout of one second.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// postJSON posts a JSON message and decodes the JSON reply of a response with
// status 200, unless reply is nil. It returns the HTTP status, which is zero if
// there was no response, and an error if no complete response arrived.
func postJSON(ctx context.Context, client *http.Client, url string, message, reply any) (int, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, errors.Wrap(err, "encode message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "create request")
	}
	request.Header.Set(headerContentType, contentTypeJSON)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBodyBytes))
		return response.StatusCode, err
	}
	if reply == nil {
		_, err := io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply)
	return response.StatusCode, err
}
