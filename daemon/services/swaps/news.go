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
func (r *Receiver) Learned(news contract.EngineNews, _ *struct{}) error {
	return r.service.news.Post(news)
}

// Asked takes in what a step of a model asks for.
func (r *Receiver) Asked(demand contract.ModelDemand, _ *struct{}) error {
	return r.service.demands.Post(demand)
}

// Asked implements contract.Swaps. Every daemon is told, since each may lead
// next.
func (s *service) Asked(demand contract.ModelDemand) {
	s.demand.Add(demand.Model, demand.Size)
	s.others.Each(rpcName+".Asked", demand)
}

// OnNews implements contract.Swaps.
func (s *service) OnNews(call func(contract.EngineNews)) { s.listeners = append(s.listeners, call) }

// learned hands news to the listeners on the control goroutine.
func (s *service) learned(news contract.EngineNews) {
	for _, call := range s.listeners {
		call(news)
	}
}

// tell tells all daemons which weights an engine runs.
func (s *service) tell(server structs.HostName, known *engine) {
	news := contract.EngineNews{Server: server, Started: known.started, Versions: maps.Clone(known.versions)}
	s.learned(news)
	s.others.Each(rpcName+".Learned", news)
}
