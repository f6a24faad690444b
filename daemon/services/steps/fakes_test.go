package steps

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Call implements contract.Peers over net/rpc on a pipe.
func (n *node) Call(ctx context.Context, address, method string, args, reply any) error {
	var to *node
	for _, other := range n.cluster.hostList() {
		if string(other.host) == address {
			to = other
		}
	}
	if n.killed.Load() || to == nil || to.killed.Load() {
		return result.New(result.PeerUnreachable, "%s", address)
	}
	if err := to.awaitThaw(ctx); err != nil {
		return result.Wrap(result.OutcomeUnknown, err)
	}
	here, there := net.Pipe()
	server := rpc.NewServer()
	_ = server.RegisterName(rpcName, &Receiver{service: to.service})
	go server.ServeConn(there)
	client := rpc.NewClient(here)
	defer client.Close()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return result.Wrap(result.OutcomeUnknown, ctx.Err())
	}
}

// Platform implements contract.Clients.
func (n *node) Platform() outside.Clients {
	return outside.Clients{Store: &nodeStore{Store: n.cluster.store, node: n}}
}

// nodeStore is one daemon's client of the key-value store, with its faults.
type nodeStore struct {
	outside.Store
	node *node
}

func (ns *nodeStore) Get(ctx context.Context, key string) (outside.Entry, error) {
	if ns.node.awaitThaw(ctx) != nil || ns.node.killed.Load() {
		return outside.Entry{}, outside.ErrUnavailable
	}
	return ns.Store.Get(ctx, key)
}

func (ns *nodeStore) CompareAndSwap(ctx context.Context, key string, expected outside.Revision, value []byte, lease outside.LeaseID) (outside.Revision, error) {
	if ns.node.beforeWrite != nil {
		ns.node.beforeWrite(key)
	}
	// A frozen process sends a pending write when it is thawed, even after the
	// deadline of the call.
	if ns.node.awaitThaw(context.WithoutCancel(ctx)) != nil || ns.node.killed.Load() {
		return 0, outside.ErrUnavailable
	}
	revision, err := ns.Store.CompareAndSwap(ctx, key, expected, value, lease)
	if ns.node.afterWrite != nil {
		err = ns.node.afterWrite(key, err)
	}
	return revision, err
}

// View implements contract.Hosts.
func (n *node) View() *kernel.Snapshot[contract.HostView] {
	view := &contract.HostView{Loaded: true}
	for _, other := range n.cluster.hostList() {
		view.Daemons = append(view.Daemons, structs.BackendServer{
			Name: other.host, Address: string(other.host), Place: structs.Place{Zone: "z"},
		})
	}
	return kernel.NewSnapshot(view)
}

// Report implements contract.Hosts.
func (n *node) Report(structs.HostName, contract.Signal) {}

// fakeSettings implements contract.Settings.
type fakeSettings struct {
	contract.Settings
	cluster *cluster
}

func (f *fakeSettings) DecidedParameters(context.Context, structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return f.cluster.parameters, nil
}

func (f *fakeSettings) LastKnownParameters(structs.WorkspaceName) (settings.ResolvedParameters, error) {
	return f.cluster.parameters, nil
}

// nodeZone implements contract.Zone for a node. Only ZoneView is implemented.
type nodeZone struct {
	contract.Zone
	node *node
}

// ZoneView implements contract.Zone.
func (nz nodeZone) ZoneView() *kernel.Snapshot[contract.ZoneView] {
	return kernel.NewSnapshot(&contract.ZoneView{Self: structs.Incarnation{Host: nz.node.host, Start: nz.node.start}})
}

// noMetrics implements contract.Metrics.
type noMetrics struct{}

func (noMetrics) Count(string, int64)                                      {}
func (noMetrics) Gauge(string, int64)                                      {}
func (noMetrics) Time(string, time.Duration)                               {}
func (noMetrics) RecordRequest(structs.WorkspaceName, structs.Class, bool) {}
