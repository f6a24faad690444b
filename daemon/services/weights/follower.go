package weights

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// ModelVersion is the newest known version of a model.
type ModelVersion struct {
	Model   structs.ServiceName
	Version structs.WeightVersion
}

// WatchArgs are the arguments of Weights.Watch.
type WatchArgs struct {
	// Known are the newest versions known to the follower.
	Known []ModelVersion
}

// WatchReply is the reply of Weights.Watch.
type WatchReply struct {
	// Newer are the versions newer than Known; empty when the call timed out.
	Newer []ModelVersion
}

// Receiver serves the calls of other daemons. It is registered for net/rpc as
// Weights.
type Receiver struct{ service *service }

// Watch waits up to longPollTimeout for a version that is newer than those known
// to the caller. It runs on a traffic goroutine and only reads the snapshot.
func (r *Receiver) Watch(args *WatchArgs, reply *WatchReply) error {
	s := r.service
	timer := s.clock.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		view, replaced := s.view.Watch()
		if reply.Newer = view.newerThan(args.Known); len(reply.Newer) > 0 {
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

// newerThan lists the versions that are newer than the known ones.
func (v versions) newerThan(known []ModelVersion) []ModelVersion {
	callerVersions := make(versions, len(known))
	for _, entry := range known {
		callerVersions[entry.Model] = entry.Version
	}
	var newer []ModelVersion
	for model, version := range v {
		if version > callerVersions[model] {
			newer = append(newer, ModelVersion{Model: model, Version: version})
		}
	}
	return newer
}

// collectorReply is the reply of a collector to the call with a number.
type collectorReply struct {
	callNumber uint64
	newer      []ModelVersion
}

// watchCollector waits on a worker for newer versions from the collector. It
// supersedes an earlier call, whose reply starts no further one, and makes none
// when there is no other collector.
func (s *service) watchCollector() {
	s.callNumber++
	if s.planner != nil || s.zoneView.Address == "" || s.zoneView.Collector == s.config.Host {
		return
	}
	callNumber, address := s.callNumber, s.zoneView.Address
	args := WatchArgs{Known: s.view.Load().newerThan(nil)}
	kernel.RunAsync(s.workers, watchCallTimeout, s.collectorReplies, func(ctx context.Context) (collectorReply, error) {
		var reply WatchReply
		err := s.peers.Call(ctx, address, rpcName+".Watch", &args, &reply)
		return collectorReply{callNumber: callNumber, newer: reply.Newer}, err
	})
}

func (s *service) onCollectorReply(reply kernel.AsyncResult[collectorReply]) {
	for _, entry := range reply.Value.newer {
		s.recordVersion(entry.Model, entry.Version)
	}
	if reply.Value.callNumber != s.callNumber {
		return
	}
	if reply.Err == nil && len(reply.Value.newer) > 0 {
		s.watchCollector()
		return
	}
	callNumber := s.callNumber
	s.loop.AfterFunc(jitter(retryDelay), func() {
		if s.callNumber == callNumber {
			s.watchCollector()
		}
	})
}
