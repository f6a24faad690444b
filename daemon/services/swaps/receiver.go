package swaps

import (
	"maps"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// rpcName is the receiver's name in net/rpc.
	rpcName = "Swaps"
	// tellWithin bounds a call that tells another daemon of an engine.
	tellWithin = time.Second
)

// Receiver takes the leader's news.
type Receiver struct{ service *service }

// Learned takes in what the leader learned of an engine. The entries of the
// store's list say the same some seconds later.
func (r *Receiver) Learned(news contract.EngineWeights, _ *struct{}) error {
	return r.service.news.Post(news)
}

// Asked takes in what a step of a model asks for.
func (r *Receiver) Asked(demand contract.ModelDemand, _ *struct{}) error {
	return r.service.demands.Post(demand)
}

// RecordDemand implements contract.WeightSwaps. Every daemon is told, since each may lead
// next.
func (s *service) RecordDemand(demand contract.ModelDemand) {
	s.demand.Observe(demand.Model, demand.Size)
	s.others.Notify(rpcName+".Asked", demand)
}

// OnEngineWeights implements contract.WeightSwaps.
func (s *service) OnEngineWeights(call func(contract.EngineWeights)) {
	s.listeners = append(s.listeners, call)
}

// learned hands news to the listeners on the control goroutine.
func (s *service) learned(news contract.EngineWeights) {
	for _, call := range s.listeners {
		call(news)
	}
}

// tell tells all daemons which weights an engine runs.
func (s *service) tell(server structs.HostName, known *engine) {
	news := contract.EngineWeights{Server: server, Started: known.started, Versions: maps.Clone(known.versions)}
	s.learned(news)
	s.others.Notify(rpcName+".Learned", news)
}
