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

// TestMain looks for leaked goroutines. The one ticker that go-metrics starts
// for the whole process has no end.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// neighbours are fakes of what the service finds by name. Its balancer hands
// the servers out in their order.
type neighbours struct {
	kernel.Base
	contract.Metrics
	plain   outside.PlainServiceClient
	servers []structs.BackendServer

	mu       sync.Mutex
	outcomes []error
	good     int
}

func (n *neighbours) Platform() outside.Clients { return outside.Clients{Plain: n.plain} }

func (n *neighbours) Count(string, int64) {}

func (n *neighbours) RecordRequest(_ structs.WorkspaceName, _ structs.Class, good bool) {
	if good {
		n.good++
	}
}

func (n *neighbours) Pick(_ context.Context, request contract.PickRequest) (contract.Ticket, error) {
	for _, server := range n.servers {
		if !slices.Contains(request.Avoid, server.Name) {
			return contract.Ticket{Server: server, Finish: n.finish}, nil
		}
	}
	return contract.Ticket{}, result.New(result.NoBackend, "none left")
}

func (n *neighbours) finish(outcome contract.TicketOutcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outcomes = append(n.outcomes, outcome.Err)
}

// peeker gives the parameters of the one workspace.
type peeker struct {
	kernel.Base
	contract.Settings
	due time.Duration
}

func (p peeker) LastKnownParameters(structs.WorkspaceName) (settings.ResolvedParameters, error) {
	resolved := settings.ResolvedParameters{Service: "portal"}
	for class := range resolved.Timeouts {
		resolved.Timeouts[class] = p.due
	}
	return resolved, nil
}

// start runs the service before servers with these handlers; a nil handler is
// a server that is down.
func start(t *testing.T, due time.Duration, handlers ...http.HandlerFunc) (contract.Lookups, *neighbours) {
	t.Helper()
	transport := httpclient.NewTransport(nil)
	n := &neighbours{plain: httpclient.NewBackend(transport.DialContext)}
	for i, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		if handler == nil {
			server.Close()
		}
		n.servers = append(n.servers, structs.BackendServer{
			Name:    structs.HostName(rune('a' + i)),
			Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NameBalance, contract.NameMetrics} {
		registry.Register(name, func() kernel.Service { return n })
	}
	retries, err := kernel.DefaultRegistry().New(contract.NameRetries)
	must.NoError(t, err)
	registry.Register(contract.NameRetries, func() kernel.Service { return retries })
	registry.Register(contract.NameSettings, func() kernel.Service { return peeker{due: due} })
	plain := &service{}
	registry.Register(contract.NameLookups, func() kernel.Service { return plain })
	k := kernel.New(kernel.Options{Registry: registry, Services: []kernel.Name{contract.NameLookups}})
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
	return plain, n
}

func answers(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

// hangs never answers.
func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func cuts(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuses(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

var lookup = contract.LookupRequest{Workspace: "assessor", Class: structs.ClassLookup, Path: "/records/7"}

func TestLookup_PassesFailedServers(t *testing.T) {
	plain, n := start(t, time.Minute, nil, cuts, refuses, answers("filed"))
	answer, err := plain.Lookup(t.Context(), lookup)
	must.NoError(t, err)
	must.Eq(t, "filed", string(answer.Body))
	must.Len(t, 4, n.outcomes)
	must.Eq(t, 1, n.good)
}

func TestLookup_HungServerIsHedgedAndCountedAsSlow(t *testing.T) {
	plain, n := start(t, 300*time.Millisecond, hangs, answers("filed"))
	answer, err := plain.Lookup(t.Context(), lookup)
	must.NoError(t, err)
	must.Eq(t, "filed", string(answer.Body))
	must.Len(t, 2, n.outcomes)
	must.ErrorIs(t, n.outcomes[1], context.DeadlineExceeded)
}

func TestLookup_NotRunIsSaidOnlyWhenNoAttemptMayHaveRun(t *testing.T) {
	plain, _ := start(t, time.Minute, cuts, nil)
	_, err := plain.Lookup(t.Context(), lookup)
	must.Eq(t, result.BackendBroke, result.CodeOf(err))
	plain, _ = start(t, time.Minute, nil, nil)
	_, err = plain.Lookup(t.Context(), lookup)
	must.Eq(t, result.NotRun, result.OutcomeOf(err))
}

func TestLookup_BudgetEndsRetries(t *testing.T) {
	plain, n := start(t, time.Minute, refuses, refuses, refuses, refuses)
	const requests = 40
	for range requests {
		_, err := plain.Lookup(t.Context(), lookup)
		must.Error(t, err)
	}
	must.Less(t, requests*3/2, len(n.outcomes))
	_, err := plain.Lookup(t.Context(), lookup)
	must.Eq(t, result.BackendRefused, result.CodeOf(err))
	must.Eq(t, result.MayHaveRun, result.OutcomeOf(err))
}
