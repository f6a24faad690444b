package weights

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// ModelVersion names the newest version of a model.
type ModelVersion struct {
	Model   structs.ServiceName
	Version structs.WeightVersion
}

// WatchArgs are the arguments of Weights.Watch.
type WatchArgs struct {
	// Known are the newest versions that the follower knows.
	Known []ModelVersion
}

// WatchReply is the reply of Weights.Watch.
type WatchReply struct {
	// Newer are versions that the follower lacks; none when the wait is over.
	Newer []ModelVersion
}

// Receiver takes the calls of other daemons under the name Weights.
type Receiver struct{ service *service }

// Watch waits until this daemon knows a newer version than the caller. It runs
// on a traffic goroutine and reads the snapshot only.
func (r *Receiver) Watch(args *WatchArgs, reply *WatchReply) error {
	s := r.service
	timer := s.clock.NewTimer(watchWait)
	defer timer.Stop()
	for {
		view, replaced := s.view.Watch()
		if reply.Newer = view.since(args.Known); len(reply.Newer) > 0 {
			return nil
		}
		select {
		case <-replaced:
		case <-timer.Chan():
			return nil
		case <-s.stopping:
			return nil
		}
	}
}

// since lists the versions that are newer than those known to another daemon.
func (v versions) since(known []ModelVersion) []ModelVersion {
	theirs := make(versions, len(known))
	for _, each := range known {
		theirs[each.Model] = each.Version
	}
	var newer []ModelVersion
	for model, version := range v {
		if version > theirs[model] {
			newer = append(newer, ModelVersion{Model: model, Version: version})
		}
	}
	return newer
}

// told is what a collector answered to the call of a number.
type told struct {
	call  uint64
	newer []ModelVersion
}

// ask waits on the collector for newer versions.
func (s *service) ask() {
	s.call++
	if s.plan != nil || s.standing.Address == "" || s.standing.Collector == s.config.Host {
		return
	}
	call, address := s.call, s.standing.Address
	args := WatchArgs{Known: s.view.Load().since(nil)}
	kernel.RunAsync(s.workers, watchLimit, s.told, func(ctx context.Context) (told, error) {
		var reply WatchReply
		err := s.peers.Call(ctx, address, rpcName+".Watch", &args, &reply)
		return told{call: call, newer: reply.Newer}, err
	})
}

func (s *service) onTold(reply kernel.AsyncResult[told]) {
	for _, each := range reply.Value.newer {
		s.learn(each.Model, each.Version)
	}
	if reply.Value.call != s.call {
		return
	}
	if reply.Err == nil && len(reply.Value.newer) > 0 {
		s.ask()
		return
	}
	call := s.call
	s.loop.AfterFunc(jitter(retryDelay), func() {
		if s.call == call {
			s.ask()
		}
	})
}
