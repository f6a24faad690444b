package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/platform"
)

const (
	// modelOwnerTimeout bounds a submission to other daemons, and
	// modelOwnerTimeShare is the share of the caller's remaining time that it
	// may take. After that this daemon accepts the job itself.
	modelOwnerTimeout   = time.Second
	modelOwnerTimeShare = 0.4
	// modelOwnerReplyMargin is added to the timeout of the call for a round
	// trip in the zone.
	modelOwnerReplyMargin = 150 * time.Millisecond
	// maxModelOwners bounds the daemons that a submission is forwarded to.
	maxModelOwners = 3
)

// avoidedHosts are the hosts that accept no job at present.
type avoidedHosts struct {
	hosts []string
	// lastStart is the latest start of a daemon that is stopping, in nanoseconds;
	// zero if none is. Daemons that started after it have been restarted in the
	// same rolling restart.
	lastStart int64
}

func (a *avoidedHosts) add(daemon string, isStopping bool) {
	a.hosts = append(a.hosts, membership.HostOf(daemon))
	if isStopping {
		a.lastStart = max(a.lastStart, membership.StartOf(daemon))
	}
}

// addReleasesBeforeWorkspaces adds the hosts of releases that would accept a job without its
// workspace, and whoever submits one that exists. They take no reports on runs either.
func (a *avoidedHosts) addReleasesBeforeWorkspaces(view *contract.SessionView) {
	for _, member := range view.Live {
		if !member.SharesRuns && member.Name != view.Self.Name {
			a.add(member.Name, false)
		}
	}
}

// modelOwnerOf returns the daemon of this zone that owns the jobs of a model,
// chosen by rendezvous hashing among the strongest hosts. With a single owner,
// one daemon has the connections to the model's engines, tracks their load and
// holds the texts of earlier steps. During a rolling restart the hosts that have
// been restarted are preferred. A daemon without a session chooses itself, as does
// one whose zone has no other host left.
func modelOwnerOf(model string, view *contract.SessionView, avoided avoidedHosts) membership.Member {
	if _, isLive := view.Live[view.Self.Name]; !isLive {
		return view.Self
	}
	isCandidate := func(member membership.Member) bool {
		return member.Zone == view.Self.Zone && !slices.Contains(avoided.hosts, membership.HostOf(member.Name))
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
	if avoided.lastStart > 0 {
		isRestarted := func(host string) bool { return startedAfter(byHost[host].Name, avoided.lastStart) }
		if restarted := filter(hosts, isRestarted); len(restarted) > 0 {
			hosts = restarted
		}
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
	// Workspace submitted the job. Earlier releases drop it.
	Workspace structs.WorkspaceName
	// Within is the time that the model owner has to accept the job.
	Within time.Duration
}

// SubmitReply is the reply to Submit. Code is zero when the job is accepted.
type SubmitReply struct {
	Code   result.Code
	Detail string
	// NotWritten is set if the job was certainly not written and will not be. Earlier
	// releases do not set it, and may refuse a job that they have written.
	NotWritten bool
}

// Submit accepts a job that was submitted to another daemon.
func (r *Receiver) Submit(request SubmitRPC, reply *SubmitReply) error {
	job, err := platform.DecodeJob(request.ID, request.Host, request.Path, request.Source)
	if err == nil {
		job.Workspace = request.Workspace
	}
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
		reply.NotWritten = result.OutcomeOf(err) == result.NotRun
	}
	return nil
}

// submitToModelOwner forwards a submission to the model owner, and to the next
// daemon in line if that one cannot be reached or is stopping: the work of a
// job that a stopping daemon accepts is interrupted by the handover. If accepted
// is false this daemon must accept the job itself; isOutcomeUnknown is then set
// if another daemon may still have accepted it.
func (s *service) submitToModelOwner(ctx context.Context, job *batch.Job, source []byte) (accepted, isOutcomeUnknown bool) {
	timeout := modelOwnerTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Duration(modelOwnerTimeShare*float64(time.Until(deadline))))
	}
	ends := time.Now().Add(timeout)
	view := s.session.View().Load()
	avoided := s.avoidedAtStart(view, job.Workspace)
	for range maxModelOwners {
		owner := modelOwnerOf(string(job.Model), view, avoided)
		remaining := time.Until(ends)
		if owner.Name == view.Self.Name || remaining <= 0 {
			return false, false
		}
		err := s.submitTo(ctx, owner, job, source, remaining)
		log := s.log.WithFields(logrus.Fields{"job": job.ID, "model": job.Model, "home": owner.Name})
		if err == nil {
			log.Info("The model owner accepted a batch job.")
			return true, false
		}
		code := result.CodeOf(err)
		log.WithError(err).WithField("code", code).Info("The model owner did not accept a batch job.")
		if code != result.PeerUnreachable && code != result.Stopping {
			return false, result.OutcomeOf(err) == result.MayHaveRun
		}
		avoided.add(owner.Name, code == result.Stopping)
	}
	return false, false
}

// avoidedAtStart returns the hosts that a submission avoids before any has refused it: this
// one if it stops, and for a job of a workspace those of releases that do not know any.
func (s *service) avoidedAtStart(view *contract.SessionView, workspace structs.WorkspaceName) avoidedHosts {
	var avoided avoidedHosts
	if s.isQuiesced.Load() {
		avoided.add(view.Self.Name, true)
	}
	if workspace != "" {
		avoided.addReleasesBeforeWorkspaces(view)
	}
	return avoided
}

// submitTo submits a job to another daemon, which gets the given time to accept
// it.
func (s *service) submitTo(ctx context.Context, owner membership.Member, job *batch.Job, source []byte, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within+modelOwnerReplyMargin)
	defer cancel()
	var reply SubmitReply
	call := SubmitRPC{ID: job.ID, Host: job.Host, Path: job.Path, Source: source, Workspace: job.Workspace, Within: within}
	if err := s.peers.Call(ctx, owner.RPCAddress, rpcName+".Submit", call, &reply); err != nil {
		return err
	}
	if reply.Code == result.StoreUnavailable && !reply.NotWritten {
		return result.New(result.OutcomeUnknown, "%s", reply.Detail)
	}
	if reply.Code != 0 {
		return result.New(reply.Code, "%s", reply.Detail)
	}
	return nil
}
