package usage

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
)

const (
	// handoverTimeout bounds the hand-over to one daemon, within the time that a planned
	// stop has left.
	handoverTimeout = 400 * time.Millisecond
	// maxHandoverTries bounds the daemons that are tried.
	maxHandoverTries = 3
)

// Stop implements kernel.Service. When it is called no request runs any more. The counts
// go to another daemon, first one of this zone.
func (s *service) Stop(ctx context.Context) error {
	if !s.isEnabled {
		return nil
	}
	s.mu.Lock()
	now := boottime.Now()
	request := HandoverRequest{Daemon: s.session.View().Load().Self.Name}
	for _, start := range s.meter.TakeAll() {
		request.Starts = append(request.Starts, HandedStart{Age: int64(now - start.At), Workspace: start.Workspace, Count: start.Count})
	}
	s.mu.Unlock()
	if len(request.Starts) == 0 {
		return nil
	}
	for _, heir := range s.heirs() {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := s.peers.Call(callCtx, heir.RPCAddress, rpcName+".Adopt", request, &struct{}{})
		cancel()
		if err == nil {
			s.log.WithField("daemon", heir.Name).WithField("entries", len(request.Starts)).Info("Handed the usage over.")
			return nil
		}
		s.log.WithError(err).WithField("daemon", heir.Name).Warn("Could not hand the usage over.")
		if result.CodeOf(err) != result.PeerUnreachable {
			// The daemon may have taken the counts. They are not counted twice.
			return nil
		}
	}
	return nil
}

// heirs returns the daemons that may take the counts over, those of this zone first.
func (s *service) heirs() []membership.Member {
	view := s.session.View().Load()
	var near, far []membership.Member
	for name, member := range view.Live {
		switch {
		case membership.SameHost(name, view.Self.Name) || member.IsStopping:
		case member.Zone == view.Self.Zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	heirs := append(near, far...)
	return heirs[:min(len(heirs), maxHandoverTries)]
}
