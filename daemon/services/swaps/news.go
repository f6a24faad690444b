package swaps

import (
	"context"
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
	view := s.session.View().Load()
	for name, member := range view.Live {
		if name == view.Self.Name {
			continue
		}
		s.workers.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, tellWithin)
			defer cancel()
			var reply struct{}
			if err := s.peers.Call(ctx, member.Peers, rpcName+".Learned", news, &reply); err != nil {
				s.log.WithError(err).WithField("daemon", member.Name).Info("A daemon was not told of an engine's weights.")
			}
		})
	}
}
