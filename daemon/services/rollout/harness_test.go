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
	// fastTokens and slowTokens are the token rates of engines, a second.
	fastTokens, slowTokens = 1000, 8

	prompt = "Is this fertiliser claim eligible?"
)

// bench runs the service on real connections to stand-ins; what it needs of
// the daemon are doubles.
type bench struct {
	kernel.Base
	t       *testing.T
	engines []*engine.Engine
	servers []*httptest.Server
	judge   *plain.Service
	hosts   map[structs.ServiceName][]structs.BackendServer
	rollout contract.Rollouts
	// onChunk is called for each chunk before the service sees it.
	onChunk func(address string, chunk outside.Chunk)
	// newest is the newest published version.
	newest structs.WeightVersion

	// first is the server that a numbered pick of an engine tries first; nil
	// means always the first one listed.
	first func(pick int) int

	mu    sync.Mutex
	picks int
	// counts are the metrics that were counted.
	counts   map[string]int64
	added    []structs.Sample
	attempts []attempt
	bad      int
	// refusals are what the steps answer before they take samples.
	refusals []result.Code
}

// attempt is what the balancer was told of a request on a server.
type attempt struct {
	request contract.PickRequest
	outcome contract.TicketOutcome
}

func newBench(t *testing.T, engines int, limits group.Limits) *bench {
	b := &bench{
		t:      t,
		hosts:  map[structs.ServiceName][]structs.BackendServer{},
		judge:  plain.New("judge-1"),
		counts: map[string]int64{},
	}
	for range engines {
		b.addEngine(fastTokens)
	}
	b.listen(judgeName, "judge-1", httptest.NewServer(b.judge.Handler()))
	b.load(limits)
	return b
}

// addEngine lists an engine with a token rate. The n-th runs version n.
func (b *bench) addEngine(tokensPerSecond float64) {
	options := engine.DefaultOptions()
	options.TokensPerSecond, options.Version = tokensPerSecond, structs.WeightVersion(len(b.engines)+1)
	added := engine.New(options)
	host := fmt.Sprint("engine-", len(b.engines))
	b.engines = append(b.engines, added)
	b.servers = append(b.servers, b.listen(model, host, httptest.NewServer(added.Handler())))
}

func (b *bench) listen(name structs.ServiceName, host string, server *httptest.Server) *httptest.Server {
	b.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	b.hosts[name] = append(b.hosts[name], structs.BackendServer{
		Name: structs.HostName(host), Service: name, Address: server.Listener.Addr().String(),
	})
	return server
}

func (b *bench) load(limits group.Limits) {
	registry := kernel.NewRegistry()
	for _, name := range []kernel.Name{contract.NameClients, contract.NameSettings, contract.NameBalance,
		contract.NameZone, contract.NameMetrics, contract.NameWeights, contract.NameSteps} {
		registry.Register(name, func() kernel.Service { return b })
	}
	made := &service{limits: limits}
	registry.Register(contract.NameRollout, func() kernel.Service { return made })
	k := kernel.New(kernel.Options{Registry: registry, Services: []kernel.Name{contract.NameRollout}})
	must.NoError(b.t, k.Start(b.t.Context()))
	b.t.Cleanup(func() { must.NoError(b.t, k.Stop(context.Background())) })
	b.rollout = made
}

// Platform implements contract.Clients.
func (b *bench) Platform() outside.Clients {
	backend := httpclient.NewBackend(nil)
	return outside.Clients{Plain: backend, Engine: watched{EngineClient: backend, bench: b}}
}

// watched is an engine client whose chunks the bench sees.
type watched struct {
	outside.EngineClient
	bench *bench
}

func (w watched) Generate(ctx context.Context, address string, generation outside.GenerateRequest, each func(outside.Chunk) error) error {
	return w.EngineClient.Generate(ctx, address, generation, func(chunk outside.Chunk) error {
		if w.bench.onChunk != nil {
			w.bench.onChunk(address, chunk)
		}
		return each(chunk)
	})
}

// View implements contract.Settings.
func (b *bench) View() *kernel.Snapshot[contract.SettingsView] { return nil }

// DecidedParameters implements contract.Settings.
func (b *bench) DecidedParameters(context.Context, structs.WorkspaceName) (settings.ResolvedParameters, error) {
	resolved := settings.ResolvedParameters{Model: model, Judge: judgeName, GroupSize: groupSize, StalenessVersions: 1, StalenessAge: time.Hour}
	resolved.Timeouts[structs.ClassRollout], resolved.Timeouts[structs.ClassDraft] = time.Minute, time.Minute
	return resolved, nil
}

// LastKnownParameters implements contract.Settings.
func (b *bench) LastKnownParameters(name structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return b.DecidedParameters(context.Background(), name)
}

// Pick implements contract.Balancer: the first server that is not to be
// avoided.
func (b *bench) Pick(_ context.Context, request contract.PickRequest) (contract.Ticket, error) {
	servers := b.hosts[request.Service]
	if b.first != nil && request.Service == model {
		b.mu.Lock()
		at := b.first(b.picks)
		b.picks++
		b.mu.Unlock()
		servers = slices.Concat(servers[at:], servers[:at])
	}
	for _, server := range servers {
		if !slices.Contains(request.Avoid, server.Name) {
			return contract.Ticket{Server: server, Finish: func(outcome contract.TicketOutcome) { b.finish(request, outcome) }}, nil
		}
	}
	return contract.Ticket{}, result.New(result.NoBackend, "")
}

func (b *bench) finish(request contract.PickRequest, outcome contract.TicketOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, attempt{request: request, outcome: outcome})
}

// ZoneView implements contract.Zone.
func (b *bench) ZoneView() *kernel.Snapshot[contract.ZoneView] {
	return kernel.NewSnapshot(&contract.ZoneView{Self: structs.Incarnation{Host: "entry-1", Start: 1}})
}

// Count implements contract.Metrics.
func (b *bench) Count(name string, delta int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[name] += delta
}

// Gauge implements contract.Metrics.
func (b *bench) Gauge(string, int64) {}

// Time implements contract.Metrics.
func (b *bench) Time(string, time.Duration) {}

// RecordRequest implements contract.Metrics.
func (b *bench) RecordRequest(_ structs.WorkspaceName, _ structs.Class, good bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !good {
		b.bad++
	}
}

// Newest implements contract.Weights.
func (b *bench) Newest(structs.ServiceName) structs.WeightVersion { return b.newest }

// Add implements contract.Steps.
func (b *bench) Add(_ context.Context, samples []structs.Sample) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.refusals) > 0 {
		code := b.refusals[0]
		b.refusals = b.refusals[1:]
		return result.New(code, "")
	}
	b.added = append(b.added, samples...)
	return nil
}

// Step implements contract.Steps.
func (b *bench) Step(context.Context, contract.StepRequest) (contract.StepReply, error) {
	return contract.StepReply{}, result.New(result.StepNotReady, "")
}
