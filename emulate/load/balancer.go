package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

const (
	// avoidDuration is how long the balancer avoids a daemon after it failed to
	// open a connection to it.
	avoidDuration        = time.Second
	requestTimeout       = 30 * time.Second
	headerIdempotencyKey = "Idempotency-Key"
	headerCode           = "Flamingobeam-Code"
	headerOutcome        = "Flamingobeam-Outcome"
)

// balancer emulates the platform's load balancer in front of the daemons. It
// retries a request at another daemon only if no connection could be opened.
type balancer struct {
	client *http.Client

	mu         sync.Mutex
	random     *rand.Rand
	daemons    []string
	avoidUntil map[string]time.Time
}

func newBalancer(daemons []string, seed uint64) *balancer {
	return &balancer{
		client:     &http.Client{Transport: httpclient.NewTransport(nil), Timeout: requestTimeout},
		random:     rand.New(rand.NewPCG(seed, 1)),
		daemons:    daemons,
		avoidUntil: make(map[string]time.Time),
	}
}

// response is a daemon's response, or an error if none arrived.
type response struct {
	status  int
	code    result.Code
	outcome result.Outcome
	body    []byte
	daemon  string
	err     error
}

// request is a caller's request, to be sent to any daemon.
type request struct {
	method string
	path   string
	key    string
	body   []byte
}

func (b *balancer) send(ctx context.Context, r request) response {
	for {
		daemon := b.chooseDaemon()
		resp, connected := b.sendTo(ctx, daemon, r)
		if connected || ctx.Err() != nil {
			return resp
		}
		if !b.avoid(daemon) {
			return resp
		}
	}
}

// chooseDaemon picks a daemon at random, if possible one that is not avoided.
func (b *balancer) chooseDaemon() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	first := b.random.IntN(len(b.daemons))
	for i := range b.daemons {
		daemon := b.daemons[(first+i)%len(b.daemons)]
		if now.After(b.avoidUntil[daemon]) {
			return daemon
		}
	}
	return b.daemons[first]
}

// avoid excludes a daemon for avoidDuration and reports whether another daemon is
// available.
func (b *balancer) avoid(daemon string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.avoidUntil[daemon] = now.Add(avoidDuration)
	for _, other := range b.daemons {
		if now.After(b.avoidUntil[other]) {
			return true
		}
	}
	return false
}

// sendTo sends a request to a daemon and reports whether a connection was opened.
// A response with the code result.Stopping counts as no connection, since a load
// balancer that checks readiness would not have chosen that daemon.
func (b *balancer) sendTo(ctx context.Context, daemon string, r request) (response, bool) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+daemon+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{err: err}, true
	}
	// Without GetBody the transport does not resend the request.
	httpRequest.GetBody = nil
	if r.key != "" {
		httpRequest.Header[headerIdempotencyKey] = []string{r.key}
	}
	httpResponse, err := b.client.Do(httpRequest)
	if err != nil {
		return response{err: err, daemon: daemon}, connected
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return response{err: err, daemon: daemon}, true
	}
	code, _ := strconv.Atoi(httpResponse.Header.Get(headerCode))
	if result.Code(code) == result.Stopping {
		return response{err: result.New(result.Stopping, "%s", daemon), daemon: daemon}, false
	}
	return response{
		status:  httpResponse.StatusCode,
		code:    result.Code(code),
		outcome: result.Outcome(httpResponse.Header.Get(headerOutcome)),
		body:    body,
		daemon:  daemon,
	}, true
}
