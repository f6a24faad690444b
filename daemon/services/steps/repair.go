package steps

import (
	"context"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// mendBatch is the count of samples copied in a call.
const mendBatch = 64

// mend copies the samples of a workspace whose other holder is gone, or not
// known to have them, to another daemon. They are then offered with their new
// holders.
func (s *service) mend(ctx context.Context, workspace structs.WorkspaceName) {
	view := s.hosts.View().Load()
	if !view.Loaded {
		return
	}
	listed := make(map[structs.HostName]bool, len(view.Daemons))
	for _, daemon := range view.Daemons {
		listed[daemon.Name] = true
	}
	ids := s.holdings.alone(workspace, listed)
	for begin := 0; begin < len(ids); begin += mendBatch {
		batch := s.holdings.samples(ids[begin:min(begin+mendBatch, len(ids))])
		holders, _, err := s.copyOut(ctx, batch, s.config.Host)
		if err != nil {
			s.log.WithError(err).Debug("Samples could not be copied to a second host.")
			return
		}
		s.holdings.confirm(batch, holders)
		s.metrics.Count("steps.mended", int64(len(batch)))
	}
}

// copyOut puts samples that a keeper has on another daemon as well and returns
// both holders. When it fails, definite says that no daemon can have taken
// them.
func (s *service) copyOut(ctx context.Context, samples []structs.Sample, keeper structs.HostName) (holders [step.HolderCount]structs.HostName, definite bool, err error) {
	definite, err = true, result.New(result.PeerUnreachable, "no other daemon is known")
	for _, mate := range s.mates(keeper) {
		args := &KeepArgs{Samples: samples, Holders: [step.HolderCount]structs.HostName{keeper, mate.Name}}
		var reply KeepReply
		reply, err = callWithin[KeepReply](ctx, s, callLimit, mate.Address, "Keep", args)
		if err == nil {
			err = reply.Failure.err()
		}
		if err == nil {
			return args.Holders, false, nil
		}
		definite = definite && result.OutcomeOf(err) == result.NotRun && ctx.Err() == nil
		if ctx.Err() != nil {
			break
		}
	}
	return holders, definite, err
}
