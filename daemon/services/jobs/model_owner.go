package jobs

import (
	"context"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/platform"
)

const (
	// modelOwnerTimeout bounds a submission to the model owner, and
	// modelOwnerTimeShare is the share of the caller's remaining time that it
	// may take. After that this daemon accepts the job itself.
	modelOwnerTimeout   = time.Second
	modelOwnerTimeShare = 0.4
	// modelOwnerReplyMargin is added to the timeout of the call for a round
	// trip in the zone.
	modelOwnerReplyMargin = 150 * time.Millisecond
)

// modelOwnerOf returns the daemon of this zone that owns the jobs of a model,
// chosen by rendezvous hashing among the strongest hosts. With a single owner,
// one daemon has the connections to the model's engines, tracks their load and
// holds the texts of earlier steps. A daemon without a session chooses itself,
// and one that is stopping chooses another if there is one.
func modelOwnerOf(model string, view *contract.SessionView, isStopping bool) membership.Member {
	if _, isLive := view.Live[view.Self.Name]; !isLive {
		return view.Self
	}
	isCandidate := func(member membership.Member) bool {
		return member.Zone == view.Self.Zone && !(isStopping && member.Name == view.Self.Name)
	}
	strongest := 0.0
	for _, member := range view.Live {
		if isCandidate(member) {
			strongest = max(strongest, member.Strength)
		}
	}
	// Hosts are hashed by name, which does not change at a restart.
	byHost := make(map[string]membership.Member)
	var hosts []string
	for _, member := range view.Live {
		if isCandidate(member) && member.Strength >= membership.MinStrengthRatio*strongest {
			host := membership.HostOf(member.Name)
			if other, ok := byHost[host]; ok && membership.StartOf(other.Name) > membership.StartOf(member.Name) {
				continue
			}
			byHost[host] = member
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return view.Self
	}
	return byHost[batch.RendezvousPick(model, hosts)]
}

// Quiesce implements contract.Jobs.
func (s *service) Quiesce() { s.isQuiesced.Store(true) }

// SubmitRPC is the request of Submit: it forwards a submission to the model
// owner.
type SubmitRPC struct {
	ID     string
	Host   string
	Path   string
	Source []byte
	// Within is the time that the model owner has to accept the job.
	Within time.Duration
}

// SubmitReply is the reply to Submit. Code is zero when the job is accepted.
type SubmitReply struct {
	Code   result.Code
	Detail string
}

// Submit accepts a job that was submitted to another daemon.
func (r *Receiver) Submit(request SubmitRPC, reply *SubmitReply) error {
	job, err := platform.DecodeJob(request.ID, request.Host, request.Path, request.Source)
	if r.service.isQuiesced.Load() {
		err = result.New(result.Stopping, "")
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), request.Within)
		defer cancel()
		err = r.service.accept(ctx, job, request.Source, false)
	}
	if err != nil {
		reply.Code, reply.Detail = result.CodeOf(err), err.Error()
	}
	return nil
}

// submitToModelOwner forwards a submission to the model owner. If accepted is
// false this daemon must accept the job itself; isOutcomeUnknown is then set if
// the model owner may still have accepted it.
func (s *service) submitToModelOwner(ctx context.Context, job *batch.Job, source []byte) (accepted, isOutcomeUnknown bool) {
	view := s.session.View().Load()
	owner := modelOwnerOf(string(job.Model), view, s.isQuiesced.Load())
	if owner.Name == view.Self.Name {
		return false, false
	}
	timeout := modelOwnerTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Duration(modelOwnerTimeShare*float64(time.Until(deadline))))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+modelOwnerReplyMargin)
	defer cancel()
	var reply SubmitReply
	call := SubmitRPC{ID: job.ID, Host: job.Host, Path: job.Path, Source: source, Within: timeout}
	err := s.peers.Call(ctx, owner.RPCAddress, rpcName+".Submit", call, &reply)
	log := s.log.WithFields(logrus.Fields{"job": job.ID, "model": job.Model, "home": owner.Name})
	switch {
	case err != nil:
		log.WithError(err).Info("The model owner did not answer a submission.")
		return false, result.CodeOf(err) != result.PeerUnreachable
	case reply.Code != 0:
		log.WithField("code", reply.Code).WithField("why", reply.Detail).Info("The model owner did not accept a batch job.")
		return false, reply.Code == result.OutcomeUnknown
	}
	log.Info("The model owner accepted a batch job.")
	return true, false
}
