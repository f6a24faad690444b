package journal

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// gate controls the input and output of one daemon. Calls wait while it is
// frozen and fail after it was killed.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
	once   sync.Once
	killed chan struct{}
}

func newGate() *gate { return &gate{killed: make(chan struct{})} }

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = make(chan struct{})
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.frozen)
	g.frozen = nil
}

func (g *gate) kill() { g.once.Do(func() { close(g.killed) }) }

func (g *gate) isKilled() bool {
	select {
	case <-g.killed:
		return true
	default:
		return false
	}
}

// pass waits while the daemon is frozen. It returns false once the daemon was
// killed.
func (g *gate) pass() bool {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-g.killed:
		}
	}
	return !g.isKilled()
}

// gatedStore is the store behind a daemon's gate. The hooks are called around
// each compare-and-swap: an error of before prevents it, and an error of after
// replaces its reply.
type gatedStore struct {
	outside.Store
	gate   *gate
	mu     sync.Mutex
	before func(key string) error
	after  func(key string) error
}

func (g *gatedStore) currentHooks() (func(string) error, func(string) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.before, g.after
}

func (g *gatedStore) setHooks(before, after func(string) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.before, g.after = before, after
}

func (g *gatedStore) Get(ctx context.Context, key string) (outside.Entry, error) {
	if !g.gate.pass() {
		return outside.Entry{}, outside.ErrUnavailable
	}
	return g.Store.Get(ctx, key)
}

func (g *gatedStore) CompareAndSwap(ctx context.Context, key string, expected outside.Revision, value []byte, lease outside.LeaseID) (outside.Revision, error) {
	before, after := g.currentHooks()
	if before != nil {
		if err := before(key); err != nil {
			return 0, err
		}
	}
	if !g.gate.pass() {
		return 0, outside.ErrUnavailable
	}
	revision, err := g.Store.CompareAndSwap(ctx, key, expected, value, lease)
	if after != nil && err == nil {
		err = after(key)
	}
	return revision, err
}

// gatedPlain is the client of backend servers behind a daemon's gate.
type gatedPlain struct {
	outside.PlainServiceClient
	gate   *gate
	mu     sync.Mutex
	before func()
	after  func()
}

func (g *gatedPlain) setHooks(before, after func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.before, g.after = before, after
}

func (g *gatedPlain) Do(ctx context.Context, address string, request outside.ServiceRequest) (outside.ServiceResponse, error) {
	g.mu.Lock()
	before, after := g.before, g.after
	g.mu.Unlock()
	if before != nil {
		before()
	}
	if !g.gate.pass() {
		return outside.ServiceResponse{}, result.New(result.NoBackend, "killed")
	}
	response, err := g.PlainServiceClient.Do(ctx, address, request)
	if after != nil {
		after()
	}
	if !g.gate.pass() {
		return outside.ServiceResponse{}, result.New(result.BackendBroke, "killed")
	}
	return response, err
}

// network carries net/rpc calls between daemons over pipes.
type network struct {
	mu      sync.Mutex
	servers map[string]*rpc.Server
	gates   map[string]*gate
	// repliesToLose is the count of replies still to be lost for each address.
	repliesToLose map[string]int
}

func newNetwork() *network {
	return &network{servers: map[string]*rpc.Server{}, gates: map[string]*gate{}, repliesToLose: map[string]int{}}
}

// loseReplies makes the replies of the next submissions to an address get lost.
func (n *network) loseReplies(address string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repliesToLose[address] = count
}

// dropsReply reports whether the reply of a call is to be lost, and counts it.
func (n *network) dropsReply(address, method string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if method != rpcName+".Submit" || n.repliesToLose[address] == 0 {
		return false
	}
	n.repliesToLose[address]--
	return true
}

func (n *network) call(ctx context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	server, remote := n.servers[address], n.gates[address]
	n.mu.Unlock()
	if server == nil || remote.isKilled() {
		return result.New(result.PeerUnreachable, "%s", address)
	}
	clientConn, serverConn := net.Pipe()
	go func() {
		if remote.pass() {
			server.ServeConn(serverConn)
		}
	}()
	client := rpc.NewClient(clientConn)
	defer client.Close()
	done := make(chan error, 1)
	go func() { done <- client.Call(method, args, reply) }()
	select {
	case err := <-done:
		if err != nil || n.dropsReply(address, method) {
			return result.New(result.OutcomeUnknown, "the connection broke")
		}
		return nil
	case <-remote.killed:
		return result.New(result.OutcomeUnknown, "the connection broke")
	case <-ctx.Done():
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
}

// fakePeers calls other daemons through the network and the daemon's gate.
type fakePeers struct {
	kernel.Base
	network *network
	gate    *gate
}

func (f *fakePeers) Call(ctx context.Context, address, method string, args, reply any) error {
	if !f.gate.pass() {
		return result.New(result.PeerUnreachable, "killed")
	}
	return f.network.call(ctx, address, method, args, reply)
}

// fakeRPC registers receivers with the network.
type fakeRPC struct {
	kernel.Base
	network *network
	address string
	gate    *gate
}

func (f *fakeRPC) Register(name string, receiver any) error {
	server := rpc.NewServer()
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.servers[f.address], f.network.gates[f.address] = server, f.gate
	return server.RegisterName(name, receiver)
}

type fakeClients struct {
	kernel.Base
	clients outside.Clients
}

func (f *fakeClients) Platform() outside.Clients { return f.clients }

// fakeSettings returns the same parameters for every workspace.
type fakeSettings struct {
	kernel.Base
	keyWindow, timeout time.Duration
}

func (f *fakeSettings) View() *kernel.Snapshot[contract.SettingsView] { return nil }

func (f *fakeSettings) DecidedParameters(_ context.Context, workspace structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return f.LastKnownParameters(workspace)
}

func (f *fakeSettings) LastKnownParameters(structs.WorkspaceName) (settings.ResolvedParameters, error) {
	resolved := settings.ResolvedParameters{Service: "portal", KeyWindow: f.keyWindow}
	resolved.Timeouts[structs.ClassSubmission] = f.timeout
	return resolved, nil
}

// fakeBalancer always picks the same backend server.
type fakeBalancer struct {
	kernel.Base
	address string

	mu sync.Mutex
	// quarantined is the fingerprint that is refused as quarantined.
	quarantined quarantine.Fingerprint
	picks       []contract.PickRequest
	outcomes    []contract.TicketOutcome
}

func (f *fakeBalancer) Pick(_ context.Context, request contract.PickRequest) (contract.Ticket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picks = append(f.picks, request)
	server := structs.BackendServer{Name: "portal-1", Address: f.address}
	return contract.Ticket{Server: server, Finish: f.finish}, nil
}

func (f *fakeBalancer) finish(outcome contract.TicketOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome)
}

// AwaitVerdict implements contract.Quarantine.
func (f *fakeBalancer) AwaitVerdict(_ context.Context, fingerprint quarantine.Fingerprint) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fingerprint == f.quarantined {
		return result.New(result.Quarantined, "")
	}
	return nil
}

type fakeMetrics struct{ kernel.Base }

func (fakeMetrics) Count(string, int64)                                      {}
func (fakeMetrics) Gauge(string, int64)                                      {}
func (fakeMetrics) Time(string, time.Duration)                               {}
func (fakeMetrics) RecordRequest(structs.WorkspaceName, structs.Class, bool) {}
