package swaps

import (
	"maps"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// rpcName is the name under which the receiver is registered with net/rpc.
	rpcName = "Swaps"
	// broadcastTimeout bounds the call to each other daemon.
	broadcastTimeout = time.Second
)

// Receiver serves the calls of other daemons under the name Swaps.
type Receiver struct{ service *service }

// Learned queues the leader's record of an engine's weights. It is ahead of the
// server entries in the store, which show the same versions some seconds later.
func (r *Receiver) Learned(weights contract.EngineNews, _ *struct{}) error {
	return r.service.weightUpdates.Post(weights)
}

// Asked queues the demand of one step of a model, as reported by another
// daemon.
func (r *Receiver) Asked(demand contract.ModelDemand, _ *struct{}) error {
	return r.service.demandUpdates.Post(demand)
}

// RecordDemand implements contract.WeightSwaps. It also sends the demand to the
// other daemons that may become the leader, which are those that may own jobs.
func (s *service) RecordDemand(demand contract.ModelDemand) {
	s.demand.Observe(demand.Model, demand.Size)
	s.broadcaster.NotifyJobHosts(rpcName+".Asked", demand)
}

// OnEngineWeights implements contract.WeightSwaps.
func (s *service) OnEngineWeights(listener func(contract.EngineNews)) {
	s.listeners = append(s.listeners, listener)
}

// notifyListeners calls the listeners. It must be called on the control
// goroutine.
func (s *service) notifyListeners(weights contract.EngineNews) {
	for _, notify := range s.listeners {
		notify(weights)
	}
}

// broadcastWeights passes an engine's weight versions to the local listeners
// and sends them to the other daemons that may own jobs.
func (s *service) broadcastWeights(server structs.HostName, e *engine) {
	weights := contract.EngineNews{Server: server, Started: e.started, Versions: maps.Clone(e.versions)}
	s.notifyListeners(weights)
	s.broadcaster.NotifyJobHosts(rpcName+".Learned", weights)
}
