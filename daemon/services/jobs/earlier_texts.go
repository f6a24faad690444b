package jobs

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// earlierTextsTimeout bounds the query to the other daemons. The items start
	// meanwhile, and a text that arrives later still replaces a shorter one.
	earlierTextsTimeout = 2 * time.Second
	// endedTextTTL is how long the texts of an ended job are kept for later
	// jobs with the same items. A trainer submits them again in its next steps.
	endedTextTTL = 25 * time.Second
)

// CarryRPC is the request of Carry: it asks for texts of items that a later job
// submits again.
type CarryRPC struct {
	// Job is the ID of the later job, whose own texts are excluded.
	Job   string
	Items []batch.ItemID
	// Workspace is that of the later job, whose texts may come only from jobs of the same
	// workspace.
	Workspace structs.WorkspaceName
}

// CarryReply holds the longest text that the called daemon has for each item.
type CarryReply struct {
	Texts map[batch.ItemID]*contract.Text
	// Workspace repeats that of the request. Earlier releases, which leave it out, may
	// return texts of other workspaces.
	Workspace structs.WorkspaceName
}

// Carry is called by the owner of a new job. It returns the texts that this
// daemon holds for items of ended jobs.
func (r *Receiver) Carry(request CarryRPC, reply *CarryReply) error {
	reply.Workspace = request.Workspace
	return r.service.loopExecutor.Do(context.Background(), func() { reply.Texts = r.service.textsFromEndedJobs(request) })
}

// textsFromEndedJobs returns the longest text for each requested item from the
// ended jobs that this daemon owned. It runs on the control goroutine.
func (s *service) textsFromEndedJobs(request CarryRPC) map[batch.ItemID]*contract.Text {
	wanted := make(map[batch.ItemID]bool, len(request.Items))
	for _, id := range request.Items {
		wanted[id] = true
	}
	texts := make(map[batch.ItemID]*contract.Text)
	for _, j := range s.ownedJobs {
		if j.ID == request.Job || j.Workspace != request.Workspace || !j.ownership.Ended {
			continue
		}
		for _, it := range j.items {
			if !wanted[it.ID] {
				continue
			}
			// The run of an item may end a moment after its job, and until then adds
			// to the text.
			if text := it.text.Clone(); text.Last > 0 && isLonger(text, texts[it.ID]) {
				texts[it.ID] = text
			}
		}
	}
	return texts
}

func isLonger(text, other *contract.Text) bool {
	return other == nil || text.Last > other.Last
}

// requestEarlierTexts asks the other daemons that may own jobs for texts of a
// new job's items.
func (s *service) requestEarlierTexts(j *job) {
	request := j.earlierTextsRequest()
	s.reuseOwnTexts(j, request)
	id, epoch := j.ID, j.ownership.Epoch
	s.broadcaster.EachJobHost(func(ctx context.Context, member membership.Member) error {
		var reply CarryReply
		if err := s.peers.Call(ctx, member.RPCAddress, rpcName+".Carry", request, &reply); err != nil {
			return err
		}
		if reply.Workspace != request.Workspace {
			return nil
		}
		return s.earlierTexts.Post(earlierTexts{id: id, epoch: epoch, texts: reply.Texts})
	})
}

// earlierTextsRequest returns the request for texts of the unfinished items that
// began without one.
func (j *job) earlierTextsRequest() CarryRPC {
	request := CarryRPC{Job: j.ID, Workspace: j.Workspace}
	for _, it := range j.items {
		if it.phase != phaseFinished && it.resumeOffset == 0 {
			request.Items = append(request.Items, it.ID)
		}
	}
	return request
}

// reuseOwnTexts applies the texts that this daemon holds.
func (s *service) reuseOwnTexts(j *job, request CarryRPC) {
	s.applyEarlierTexts(earlierTexts{id: j.ID, epoch: j.ownership.Epoch, texts: s.textsFromEndedJobs(request)})
}

// offerTexts lets the open jobs of a model reuse the texts of one that has just
// ended: the next step may be adopted before the end of the last one is known.
func (s *service) offerTexts(ended *job) {
	for _, j := range s.ownedJobs {
		if j.Model == ended.Model && j.isOpen() {
			s.reuseOwnTexts(j, j.earlierTextsRequest())
		}
	}
}

// earlierTexts holds texts from an ended job for the items of a new one, or from an
// earlier owner of the same job.
type earlierTexts struct {
	id    string
	epoch uint64
	texts map[batch.ItemID]*contract.Text
}

// applyEarlierTexts lets items of a job resume after earlier texts, provided their weight
// versions are accepted. It stops a run that has generated less than the text that
// replaces it.
func (s *service) applyEarlierTexts(found earlierTexts) {
	j := s.ownedJobs[found.id]
	if j == nil || j.ownership.Epoch != found.epoch || j.ownership.Ended {
		return
	}
	used := 0
	for _, it := range j.items {
		text := found.texts[it.ID]
		if text == nil || !text.Whole && !s.hasServerFor(j, text.Position()) || !j.AcceptsVersions(text.Versions, j.route.singleVersion) || j.route.singleVersion && !text.Whole {
			continue
		}
		switch {
		case it.phase == phaseWaiting && text.Last > it.text.Last:
			it.text, it.resumeOffset, it.checkpointOffset = text, len(text.Events), 0
		case it.phase == phaseRunning && it.checkpointOffset == 0 && int(text.Last) > it.resumeOffset+it.progress.EventCount():
			it.replacement = text
			it.cancel(contract.CutReplaced)
		default:
			continue
		}
		used++
	}
	if used > 0 {
		s.log.WithField("job", j.ID).WithField("texts", used).Info("Reusing texts of an ended batch job or an earlier owner.")
		s.schedulePlacement()
	}
}

// expireTexts releases the texts of a job endedTextTTL after its end.
func (j *job) expireTexts(now time.Time) {
	if j.endedAt.IsZero() || now.Sub(j.endedAt) < endedTextTTL {
		return
	}
	j.endedAt = time.Time{}
	for _, it := range j.items {
		it.text = &generatedText{}
	}
}
