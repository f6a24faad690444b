// Package httpclient holds the clients of the platform over HTTP and JSON.
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

// DialFunc opens connections; tests put a cut network in its place.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerHost     = 64
	maxErrorBody       = 4 << 10
	contentTypeJSON    = "application/json"
	headerContentType  = "Content-Type"
	headerIdempotency  = "Idempotency-Key"
	maxAnswer          = 8 << 20
	maxStoreAnswer     = 64 << 20
	maxChunkTokens     = 1 << 20
	trailingWatchGrace = 2 * time.Second
)

// NewTransport returns an HTTP transport that opens connections with dial; nil
// means the network.
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

// exchange posts a JSON message and decodes the JSON answer. It returns the
// status, and an error when no whole answer came.
func exchange(ctx context.Context, client *http.Client, url string, message, answer any) (int, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "request")
	}
	request.Header.Set(headerContentType, contentTypeJSON)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
		return response.StatusCode, err
	}
	if answer == nil {
		_, err := io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStoreAnswer)).Decode(answer)
	return response.StatusCode, err
}
