package jobs

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const (
	// carryWithin bounds the question to the other daemons: a round trip
	// between regions and their turn.
	carryWithin = 400 * time.Millisecond
	// carryFor is how long the texts of an ended job are kept for a later job
	// with the same items: a trainer asks for them in its next steps.
	carryFor = 25 * time.Second
)

// CarryRPC asks for texts of items that come again in a later job.
type CarryRPC struct {
	// Job is the later job, whose own texts do not count.
	Job   string
	Items []batch.ItemID
	// Own says who asks: the owner of the job.
	Own OwnedRPC
}

// CarryReply holds the longest texts that a daemon has of them.
type CarryReply struct {
	Texts map[batch.ItemID]*contract.GeneratedText
}

// Carry gives the texts that this daemon holds of items of earlier jobs.
func (r *Receiver) Carry(request CarryRPC, reply *CarryReply) error {
	r.service.rememberOwner(request.Own.ID, request.Own.record())
	return r.service.calls.Do(context.Background(), func() { reply.Texts = r.service.held(request) })
}

// held looks for texts of items in the jobs that were owned here, on the control
// goroutine.
func (s *service) held(request CarryRPC) map[batch.ItemID]*contract.GeneratedText {
	wanted := make(map[batch.ItemID]bool, len(request.Items))
	for _, id := range request.Items {
		wanted[id] = true
	}
	texts := make(map[batch.ItemID]*contract.GeneratedText)
	for _, j := range s.owned {
		if j.ID == request.Job || !j.own.Ended {
			continue
		}
		for _, it := range j.items {
			if wanted[it.ID] && it.text.Last > 0 && it.phase != phaseRunning && longer(it.text, texts[it.ID]) {
				texts[it.ID] = it.text.Clone()
			}
		}
	}
	return texts
}

func longer(text, than *contract.GeneratedText) bool { return than == nil || text.Last > than.Last }

// askCarried asks the other daemons for texts of a new job's items.
func (s *service) askCarried(j *job) {
	request := CarryRPC{Job: j.ID, Own: ownedOf(j.ID, j.own)}
	for _, it := range j.items {
		if it.phase != phaseFinished && it.text.Last == 0 {
			request.Items = append(request.Items, it.ID)
		}
	}
	s.carry(carried{id: j.ID, epoch: j.own.Epoch, texts: s.held(request)})
	id, epoch := j.ID, j.own.Epoch
	s.others.ForEach(func(ctx context.Context, member contract.Member) error {
		var reply CarryReply
		if err := s.peers.Call(ctx, member.RPCAddress, rpcName+".Carry", request, &reply); err != nil {
			return err
		}
		return s.carries.Post(carried{id: id, epoch: epoch, texts: reply.Texts})
	})
}

// carried are texts of an earlier job for the items of a new one.
type carried struct {
	id    string
	epoch uint64
	texts map[batch.ItemID]*contract.GeneratedText
}

// carry lets items go on after the texts of an earlier job, where their versions
// fit. A run that has made less is stopped.
func (s *service) carry(came carried) {
	j := s.owned[came.id]
	if j == nil || j.own.Epoch != came.epoch || j.own.Ended {
		return
	}
	used := 0
	for _, it := range j.items {
		text := came.texts[it.ID]
		if text == nil || !j.AcceptsVersions(text.Versions, j.terms.single) || j.terms.single && !text.Whole {
			continue
		}
		switch {
		case it.phase == phaseWaiting && text.Last > it.text.Last:
			it.text, it.held, it.kept = text, len(text.Events), 0
		case it.phase == phaseRunning && it.kept == 0 && int(text.Last) > it.held+it.progress.EventCount():
			it.carried = text
			it.stop()
		default:
			continue
		}
		used++
	}
	if used > 0 {
		s.log.WithField("job", j.ID).WithField("texts", used).Info("Texts of an earlier job are used.")
		s.wake()
	}
}

// forget drops the texts of a job that ended long ago.
func (j *job) forget(now time.Time) {
	if j.endedAt.IsZero() || now.Sub(j.endedAt) < carryFor {
		return
	}
	j.endedAt = time.Time{}
	for _, it := range j.items {
		it.text = &text{}
	}
}
