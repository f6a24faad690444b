package plain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	_ "github.com/flamingobeam/flamingobeam/daemon/services/retries"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

// TestMain checks for leaked goroutines. It ignores the ticker of go-metrics, which
// runs as long as the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// fakeServices implements the daemon services that the service uses. Its balancer
// picks the first server that is not in Avoid.
type fakeServices struct {
	kernel.Base
	contract.Metrics
	plain   outside.PlainServiceClient
	servers []structs.BackendServer

	mu           sync.Mutex
	outcomes     []error
	goodRequests int
}

func (f *fakeServices) Platform() outside.Clients { return outside.Clients{Plain: f.plain} }

func (f *fakeServices) Count(string, int64) {}

func (f *fakeServices) RecordRequest(_ structs.WorkspaceName, _ structs.Class, good bool) {
	if good {
		f.goodRequests++
	}
}

func (f *fakeServices) Pick(_ context.Context, request contract.PickRequest) (contract.Ticket, error) {
	for _, server := range f.servers {
		if !slices.Contains(request.Avoid, server.Name) {
			return contract.Ticket{Server: server, Finish: f.finish}, nil
		}
	}
	return contract.Ticket{}, result.New(result.NoBackend, "none left")
}

func (f *fakeServices) finish(outcome contract.TicketOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome.Err)
}

// fakeSettings returns the same parameters for every workspace.
type fakeSettings struct {
	kernel.Base
	contract.Settings
	timeout time.Duration
}

func (f fakeSettings) LastKnownParameters(structs.WorkspaceName) (settings.ResolvedParameters, error) {
	resolved := settings.ResolvedParameters{Service: "portal"}
	for class := range resolved.Timeouts {
		resolved.Timeouts[class] = f.timeout
	}
	return resolved, nil
}

// startService runs the service with one server for each handler. A server with a nil
// handler is down.
func startService(t *testing.T, timeout time.Duration, handlers ...http.HandlerFunc) (contract.Lookups, *fakeServices) {
	t.Helper()
	transport := httpclient.NewTransport(nil)
	f := &fakeServices{plain: httpclient.NewBackend(transport.DialContext)}
	for i, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		if handler == nil {
			server.Close()
		}
		f.servers = append(f.servers, structs.BackendServer{
			Name:    structs.HostName(rune('a' + i)),
			Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NameBalance, contract.NameMetrics} {
		registry.Register(name, func() kernel.Service { return f })
	}
	retries, err := kernel.DefaultRegistry().New(contract.NameRetries)
	must.NoError(t, err)
	registry.Register(contract.NameRetries, func() kernel.Service { return retries })
	registry.Register(contract.NameSettings, func() kernel.Service { return fakeSettings{timeout: timeout} })
	plain := &service{}
	registry.Register(contract.NameLookups, func() kernel.Service { return plain })
	k := kernel.New(kernel.Options{Registry: registry, Services: []kernel.Name{contract.NameLookups}})
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
	return plain, f
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

// hang sends no response.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// abort closes the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuse responds that the server takes no requests.
func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

var lookupRequest = contract.LookupRequest{Workspace: "assessor", Class: structs.ClassLookup, Path: "/records/7"}

func TestLookup_SkipsFailedServers(t *testing.T) {
	plain, f := startService(t, time.Minute, nil, abort, refuse, respondWith("filed"))
	response, err := plain.Lookup(t.Context(), lookupRequest)
	must.NoError(t, err)
	must.Eq(t, "filed", string(response.Body))
	must.Len(t, 4, f.outcomes)
	must.Eq(t, 1, f.goodRequests)
}

// TestLookup_HedgesHungServer checks that a lookup on a hung server is served by a second
// one and that the balancer counts the first one as too slow.
func TestLookup_HedgesHungServer(t *testing.T) {
	plain, f := startService(t, 300*time.Millisecond, hang, respondWith("filed"))
	response, err := plain.Lookup(t.Context(), lookupRequest)
	must.NoError(t, err)
	must.Eq(t, "filed", string(response.Body))
	must.Len(t, 2, f.outcomes)
	must.ErrorIs(t, f.outcomes[1], context.DeadlineExceeded)
}

// TestLookup_FailureOutcome checks that a failed lookup has the outcome NotRun only if no
// attempt may have run.
func TestLookup_FailureOutcome(t *testing.T) {
	plain, _ := startService(t, time.Minute, abort, nil)
	_, err := plain.Lookup(t.Context(), lookupRequest)
	must.Eq(t, result.BackendBroke, result.CodeOf(err))
	plain, _ = startService(t, time.Minute, nil, nil)
	_, err = plain.Lookup(t.Context(), lookupRequest)
	must.Eq(t, result.NotRun, result.OutcomeOf(err))
}

// TestLookup_RetryBudget checks that the retry budget limits the attempts when all servers
// refuse.
func TestLookup_RetryBudget(t *testing.T) {
	plain, f := startService(t, time.Minute, refuse, refuse, refuse, refuse)
	const requests = 40
	for range requests {
		_, err := plain.Lookup(t.Context(), lookupRequest)
		must.Error(t, err)
	}
	must.Less(t, requests*3/2, len(f.outcomes))
	_, err := plain.Lookup(t.Context(), lookupRequest)
	must.Eq(t, result.BackendRefused, result.CodeOf(err))
	must.Eq(t, result.MayHaveRun, result.OutcomeOf(err))
}
