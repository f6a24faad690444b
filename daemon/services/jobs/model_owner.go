package jobs

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/platform"
)

const (
	// homeWithin bounds a submission at its home, and homePart is the part of the
	// caller's patience that it may take: this daemon tries itself after it.
	homeWithin = time.Second
	homePart   = 0.4
	// homeAnswer is how much longer the answer of the home may take: a round trip
	// in the zone.
	homeAnswer = 150 * time.Millisecond
	// strongPart is the part of the strongest host's strength from which a host
	// counts as strong.
	strongPart = 0.8
)

// homeOf is the daemon of this zone that owns the jobs of a model: one daemon has
// the connections to the model's engines, knows their load and holds the texts of
// its earlier steps. Only the strongest hosts count. It is this daemon itself when
// it has no session, and another one when this one is stopping.
func homeOf(model string, view *contract.SessionView, isStopping bool) contract.Member {
	if _, isLive := view.Live[view.Self.Name]; !isLive {
		return view.Self
	}
	isCandidate := func(member contract.Member) bool {
		return member.Zone == view.Self.Zone && !(isStopping && member.Name == view.Self.Name)
	}
	strongest := 0.0
	for _, member := range view.Live {
		if isCandidate(member) {
			strongest = max(strongest, member.Strength)
		}
	}
	// Hosts are chosen by their names, which outlast restarts.
	byHost := make(map[string]contract.Member)
	var hosts []string
	for _, member := range view.Live {
		if isCandidate(member) && member.Strength >= strongPart*strongest {
			host := contract.HostOf(member.Name)
			if known, ok := byHost[host]; ok && contract.StartOf(known.Name) > contract.StartOf(member.Name) {
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
func (s *service) Quiesce() { s.quiesced.Store(true) }

// SubmitRPC hands a submission to the home of its model.
type SubmitRPC struct {
	ID     string
	Host   string
	Path   string
	Source []byte
	// Within is how long the home may try.
	Within time.Duration
}

// SubmitReply says what came of it; Code is zero when the job is accepted.
type SubmitReply struct {
	Code   result.Code
	Detail string
}

// Submit accepts a job that another daemon was given.
func (r *Receiver) Submit(request SubmitRPC, reply *SubmitReply) error {
	job, err := platform.DecodeJob(request.ID, request.Host, request.Path, request.Source)
	if r.service.quiesced.Load() {
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

// submitAtHome hands a submission to the home of its model. Accepted is false when
// this daemon is to accept it, and unknown says that the home may yet have done so.
func (s *service) submitAtHome(ctx context.Context, job *batch.Job, source []byte) (accepted, unknown bool) {
	view := s.session.View().Load()
	home := homeOf(string(job.Model), view, s.quiesced.Load())
	if home.Name == view.Self.Name {
		return false, false
	}
	within := homeWithin
	if due, ok := ctx.Deadline(); ok {
		within = min(within, time.Duration(homePart*float64(time.Until(due))))
	}
	ctx, cancel := context.WithTimeout(ctx, within+homeAnswer)
	defer cancel()
	var reply SubmitReply
	call := SubmitRPC{ID: job.ID, Host: job.Host, Path: job.Path, Source: source, Within: within}
	err := s.peers.Call(ctx, home.RPCAddress, rpcName+".Submit", call, &reply)
	log := s.log.WithFields(logrus.Fields{"job": job.ID, "model": job.Model, "home": home.Name})
	switch {
	case err != nil:
		log.WithError(err).Info("The home of a batch job does not answer.")
		return false, result.CodeOf(err) != result.PeerUnreachable
	case reply.Code != 0:
		log.WithField("code", reply.Code).WithField("why", reply.Detail).Info("The home of a batch job did not accept it.")
		return false, reply.Code == result.OutcomeUnknown
	}
	log.Info("A batch job is accepted by its home.")
	return true, false
}
