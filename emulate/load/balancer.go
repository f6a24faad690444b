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
	// restSpan is how long the balancer leaves a daemon alone to which no
	// connection could be opened.
	restSpan       = time.Second
	requestTimeout = 30 * time.Second
	headerKey      = "Idempotency-Key"
	headerCode     = "Flamingobeam-Code"
	headerOutcome  = "Flamingobeam-Outcome"
)

// balancer stands in for the platform's balancer before the daemons. It tries
// another daemon only when no connection could be opened.
type balancer struct {
	client *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	daemons []string
	resting map[string]time.Time
}

func newBalancer(daemons []string, seed uint64) *balancer {
	return &balancer{
		client:  &http.Client{Transport: httpclient.NewTransport(nil), Timeout: requestTimeout},
		random:  rand.New(rand.NewPCG(seed, 1)),
		daemons: daemons,
		resting: make(map[string]time.Time),
	}
}

// response is a daemon's answer, or an error when none came.
type response struct {
	status  int
	code    result.Code
	outcome result.Outcome
	body    []byte
	daemon  string
	err     error
}

// request is what a caller sends.
type request struct {
	method string
	path   string
	key    string
	body   []byte
}

func (b *balancer) send(ctx context.Context, r request) response {
	for {
		daemon := b.choose()
		got, connected := b.sendTo(ctx, daemon, r)
		if connected || ctx.Err() != nil {
			return got
		}
		if !b.rest(daemon) {
			return got
		}
	}
}

// choose picks a daemon at random, one that is not resting when there is one.
func (b *balancer) choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	first := b.random.IntN(len(b.daemons))
	for i := range b.daemons {
		daemon := b.daemons[(first+i)%len(b.daemons)]
		if now.After(b.resting[daemon]) {
			return daemon
		}
	}
	return b.daemons[first]
}

// rest leaves a daemon alone for a while and reports whether another is left.
func (b *balancer) rest(daemon string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.resting[daemon] = now.Add(restSpan)
	for _, other := range b.daemons {
		if now.After(b.resting[other]) {
			return true
		}
	}
	return false
}

// sendTo reports whether a connection was had. A daemon that says that it is
// stopping counts as none, as it would to a balancer that checks readiness.
func (b *balancer) sendTo(ctx context.Context, daemon string, r request) (response, bool) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+daemon+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{err: err}, true
	}
	// Without GetBody the transport does not send a request twice.
	httpRequest.GetBody = nil
	if r.key != "" {
		httpRequest.Header[headerKey] = []string{r.key}
	}
	got, err := b.client.Do(httpRequest)
	if err != nil {
		return response{err: err, daemon: daemon}, connected
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	if err != nil {
		return response{err: err, daemon: daemon}, true
	}
	code, _ := strconv.Atoi(got.Header.Get(headerCode))
	if result.Code(code) == result.Stopping {
		return response{err: result.New(result.Stopping, "%s", daemon), daemon: daemon}, false
	}
	return response{
		status:  got.StatusCode,
		code:    result.Code(code),
		outcome: result.Outcome(got.Header.Get(headerOutcome)),
		body:    body,
		daemon:  daemon,
	}, true
}
