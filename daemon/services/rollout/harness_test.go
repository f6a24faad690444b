package rollout

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/group"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/engine"
	plain "github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

const (
	model     structs.ServiceName   = "assessor"
	judgeName structs.ServiceName   = "claims-judge"
	workspace structs.WorkspaceName = "subsidy-assessor"
	groupSize                       = 4

	fastTokensPerSecond, slowTokensPerSecond = 1000, 8

	prompt = "Is this fertiliser claim eligible?"
)

// harness runs the service over real connections to emulated engines and an emulated
// judge. It implements the other daemon services that the service uses.
type harness struct {
	kernel.Base
	t        *testing.T
	engines  []*engine.Engine
	servers  []*httptest.Server
	judge    *plain.Service
	backends map[structs.ServiceName][]structs.BackendServer
	rollout  contract.Rollouts
	// onChunk is called for each chunk before the service sees it.
	onChunk func(address string, chunk outside.Chunk)
	// newestVersion is the newest published weight version.
	newestVersion structs.WeightVersion

	// firstIndex returns the index of the engine that is tried first for the pick
	// with a number, counted from 0. If it is nil, that is the first one listed.
	firstIndex func(pick int) int

	mu          sync.Mutex
	enginePicks int
	// counters are the values of the metrics, by name.
	counters map[string]int64
	// addedSamples are the samples added to the steps.
	addedSamples   []structs.Sample
	serverRequests []serverRequest
	// badRequests is the number of requests recorded as failed or late.
	badRequests int
	// addErrors are the codes with which the first calls of Add fail.
	addErrors []result.Code
}

// serverRequest is a request on a backend server and the outcome that was reported to
// the balancer.
type serverRequest struct {
	request contract.PickRequest
	outcome contract.TicketOutcome
}

func newHarness(t *testing.T, engines int, limits group.Limits) *harness {
	h := &harness{
		t:        t,
		backends: map[structs.ServiceName][]structs.BackendServer{},
		judge:    plain.New("judge-1"),
		counters: map[string]int64{},
	}
	for range engines {
		h.addEngine(fastTokensPerSecond)
	}
	h.addServer(judgeName, "judge-1", httptest.NewServer(h.judge.Handler()))
	h.startService(limits)
	return h
}

// addEngine starts an engine with a token rate. The n-th engine has weight version n.
func (h *harness) addEngine(tokensPerSecond float64) {
	options := engine.DefaultOptions()
	options.TokensPerSecond, options.Version = tokensPerSecond, structs.WeightVersion(len(h.engines)+1)
	added := engine.New(options)
	host := fmt.Sprint("engine-", len(h.engines))
	h.engines = append(h.engines, added)
	h.servers = append(h.servers, h.addServer(model, host, httptest.NewServer(added.Handler())))
}

func (h *harness) addServer(name structs.ServiceName, host string, server *httptest.Server) *httptest.Server {
	h.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	h.backends[name] = append(h.backends[name], structs.BackendServer{
		Name: structs.HostName(host), Service: name, Address: server.Listener.Addr().String(),
	})
	return server
}

func (h *harness) startService(limits group.Limits) {
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NameSettings, contract.NameBalance,
		contract.NameZone, contract.NameMetrics, contract.NameWeights, contract.NameSteps} {
		registry.Register(name, func() kernel.Service { return h })
	}
	loaded := &service{limits: limits}
	registry.Register(contract.NameRollout, func() kernel.Service { return loaded })
	k := kernel.New(kernel.Options{Registry: registry, Services: []kernel.Name{contract.NameRollout}})
	must.NoError(h.t, k.Start(h.t.Context()))
	h.t.Cleanup(func() { must.NoError(h.t, k.Stop(context.Background())) })
	h.rollout = loaded
}

// Platform implements contract.Clients.
func (h *harness) Platform() outside.Clients {
	backend := httpclient.NewBackend(nil)
	return outside.Clients{Plain: backend, Engine: observedClient{EngineClient: backend, harness: h}}
}

// observedClient is an engine client that calls the harness's onChunk for each chunk.
type observedClient struct {
	outside.EngineClient
	harness *harness
}

func (c observedClient) Generate(ctx context.Context, address string, generation outside.GenerateRequest, onChunk func(outside.Chunk) error) error {
	return c.EngineClient.Generate(ctx, address, generation, func(chunk outside.Chunk) error {
		if c.harness.onChunk != nil {
			c.harness.onChunk(address, chunk)
		}
		return onChunk(chunk)
	})
}

// View implements contract.Settings.
func (h *harness) View() *kernel.Snapshot[contract.SettingsView] { return nil }

// DecidedParameters implements contract.Settings.
func (h *harness) DecidedParameters(context.Context, structs.WorkspaceName) (settings.ResolvedParameters, error) {
	resolved := settings.ResolvedParameters{Model: model, Judge: judgeName, GroupSize: groupSize, StalenessVersions: 1, StalenessAge: time.Hour}
	resolved.Timeouts[structs.ClassRollout], resolved.Timeouts[structs.ClassDraft] = time.Minute, time.Minute
	return resolved, nil
}

// LastKnownParameters implements contract.Settings.
func (h *harness) LastKnownParameters(name structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return h.DecidedParameters(context.Background(), name)
}

// Pick implements contract.Balancer. It returns the first server that is not in Avoid.
func (h *harness) Pick(_ context.Context, request contract.PickRequest) (contract.Ticket, error) {
	servers := h.backends[request.Service]
	if h.firstIndex != nil && request.Service == model {
		h.mu.Lock()
		at := h.firstIndex(h.enginePicks)
		h.enginePicks++
		h.mu.Unlock()
		servers = slices.Concat(servers[at:], servers[:at])
	}
	for _, server := range servers {
		if !slices.Contains(request.Avoid, server.Name) {
			return contract.Ticket{Server: server, Finish: func(outcome contract.TicketOutcome) { h.finish(request, outcome) }}, nil
		}
	}
	return contract.Ticket{}, result.New(result.NoBackend, "")
}

func (h *harness) finish(request contract.PickRequest, outcome contract.TicketOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serverRequests = append(h.serverRequests, serverRequest{request: request, outcome: outcome})
}

// ZoneView implements contract.Zone.
func (h *harness) ZoneView() *kernel.Snapshot[contract.ZoneView] {
	return kernel.NewSnapshot(&contract.ZoneView{Self: structs.Incarnation{Host: "entry-1", Start: 1}})
}

// Count implements contract.Metrics.
func (h *harness) Count(name string, delta int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counters[name] += delta
}

// Gauge implements contract.Metrics.
func (h *harness) Gauge(string, int64) {}

// Time implements contract.Metrics.
func (h *harness) Time(string, time.Duration) {}

// RecordRequest implements contract.Metrics.
func (h *harness) RecordRequest(_ structs.WorkspaceName, _ structs.Class, good bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !good {
		h.badRequests++
	}
}

// Newest implements contract.Weights.
func (h *harness) Newest(structs.ServiceName) structs.WeightVersion { return h.newestVersion }

// Add implements contract.Steps.
func (h *harness) Add(_ context.Context, samples []structs.Sample) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.addErrors) > 0 {
		code := h.addErrors[0]
		h.addErrors = h.addErrors[1:]
		return result.New(code, "")
	}
	h.addedSamples = append(h.addedSamples, samples...)
	return nil
}

// Step implements contract.Steps.
func (h *harness) Step(context.Context, contract.StepRequest) (contract.StepReply, error) {
	return contract.StepReply{}, result.New(result.StepNotReady, "")
}
