package steps

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// copyBatchSize is the maximum number of samples copied in a call.
const copyBatchSize = 64

// repairReplicas copies the under-replicated samples of a workspace to another
// daemon and queues them to be offered with their new holders. It does nothing
// until the host list is loaded.
func (s *service) repairReplicas(ctx context.Context, workspace structs.WorkspaceName) {
	view := s.hosts.View().Load()
	if !view.Loaded {
		return
	}
	listed := make(map[structs.HostName]bool, len(view.Daemons))
	for _, daemon := range view.Daemons {
		listed[daemon.Name] = true
	}
	ids := s.sampleStore.underReplicated(workspace, listed)
	for start := 0; start < len(ids); start += copyBatchSize {
		batch := s.sampleStore.load(ids[start:min(start+copyBatchSize, len(ids))])
		holders, _, err := s.copyToPeer(ctx, batch, s.config.Host)
		if err != nil {
			s.log.WithError(err).Debug("Failed to copy samples to a second host.")
			return
		}
		s.sampleStore.confirmReplicas(batch, holders)
		s.metrics.Count("steps.mended", int64(len(batch)))
	}
}

// copyToPeer copies samples, of which holder has a copy, to one more daemon and
// returns both holders. When it fails, notStored reports that certainly no daemon
// stored them.
func (s *service) copyToPeer(ctx context.Context, samples []structs.Sample, holder structs.HostName) (holders [step.HolderCount]structs.HostName, notStored bool, err error) {
	notStored, err = true, result.New(result.PeerUnreachable, "no other daemon is known")
	for _, candidate := range s.replicaCandidates(holder) {
		args := &KeepArgs{Samples: samples, Holders: [step.HolderCount]structs.HostName{holder, candidate.Name}}
		var reply KeepReply
		reply, err = callPeer[KeepReply](ctx, s, callTimeout, candidate.Address, "Keep", args)
		if err == nil {
			err = reply.Failure.err()
		}
		if err == nil {
			return args.Holders, false, nil
		}
		notStored = notStored && result.OutcomeOf(err) == result.NotRun && ctx.Err() == nil
		if ctx.Err() != nil {
			break
		}
	}
	return holders, notStored, err
}
