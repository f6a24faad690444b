package jobs

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// missingFor is how long a daemon must be missing from the live ones before
	// its jobs are looked for; one whose keys were taken away by mistake writes
	// them again sooner.
	missingFor = 700 * time.Millisecond
	// lookAgain is the pause before a failed look is repeated.
	lookAgain = 2 * time.Second
	// sweepEvery is how often one of the daemons looks for jobs that nobody has
	// taken over, because whoever was to do it failed as well.
	sweepEvery = 20 * time.Second
	// sweepName picks the daemon that does so.
	sweepName = "orphaned jobs"
	// handOverWithin bounds the hand-over at a planned stop.
	handOverWithin = 1500 * time.Millisecond
	// togetherWithin is the span within which daemons count as started together.
	togetherWithin = 500 * time.Millisecond
	// keptFactor is how many times the time that results must be readable they
	// are kept.
	keptFactor = 2
)

// heirs looks for jobs whose owner is gone. A daemon takes back the jobs of its
// host's earlier runs; those of a host that does not come back fall to the daemon
// that all others pick as well. It belongs to the control goroutine.
type heirs struct {
	service *service
	// live are the daemons seen at the last tick, and missing those that went.
	live    map[string]bool
	missing map[string]time.Time
	// look is when to look for jobs next; zero is never.
	look    time.Time
	sweep   time.Time
	looking bool
	orphans *kernel.Mailbox[kernel.AsyncResult[int]]
}

func (h *heirs) prepare(s *service) {
	h.service = s
	h.live, h.missing = make(map[string]bool), make(map[string]time.Time)
	h.orphans = kernel.NewMailbox(s.loop, 1, h.looked)
}

// begin takes back the jobs of this host's earlier runs, which are gone for sure.
func (h *heirs) begin() {
	s := h.service
	h.looking = true
	kernel.RunAsync(s.workers, 0, h.orphans, func(ctx context.Context) (int, error) {
		return s.inherit(ctx, s.session.IsSuccessorOf)
	})
}

// looked takes in the end of a look.
func (h *heirs) looked(reply kernel.AsyncResult[int]) {
	h.looking = false
	if h.look = (time.Time{}); reply.Err != nil || reply.Value > 0 {
		h.look = h.service.loop.Now().Add(lookAgain)
	}
}

// tick notices daemons that went and looks for the jobs that fall to this one.
func (h *heirs) tick(now time.Time) {
	view := h.service.session.View().Load()
	for name := range h.live {
		if _, ok := view.Live[name]; !ok {
			h.missing[name] = now
			delete(h.live, name)
		}
	}
	for name := range view.Live {
		h.live[name] = true
		delete(h.missing, name)
	}
	for name, since := range h.missing {
		if now.Sub(since) < missingFor {
			continue
		}
		delete(h.missing, name)
		if h.isHeirOf(name, view) {
			h.look = now
			h.service.log.WithField("daemon", name).Info("A daemon is gone; its batch jobs are looked for.")
		}
	}
	if h.isSweeper(view) && now.After(h.sweep) {
		h.look, h.sweep = now, now.Add(sweepEvery)
	}
	isSettled := !view.AbsenceReliableFrom.IsZero() && now.After(view.AbsenceReliableFrom)
	if h.looking || h.service.stopping || h.look.IsZero() || now.Before(h.look) || !isSettled {
		return
	}
	h.looking = true
	isSweep := h.isSweeper(view)
	kernel.RunAsync(h.service.workers, 0, h.orphans, func(ctx context.Context) (int, error) {
		return h.service.inherit(ctx, func(owner string) bool {
			_, isLive := view.Live[owner]
			return !isLive && (isSweep || h.isHeirOf(owner, view)) || h.service.session.IsSuccessorOf(owner)
		})
	})
}

// isHeirOf reports whether the jobs of a daemon that is gone fall to this one.
// Another run on its host takes them back itself. It may be called from any
// goroutine.
func (h *heirs) isHeirOf(name string, view *contract.SessionView) bool {
	if _, isLive := view.Live[view.Self.Name]; !isLive {
		return false
	}
	for other := range view.Live {
		if contract.SameHost(other, name) {
			return other == view.Self.Name
		}
	}
	return batch.RendezvousPick(name, slices.Collect(maps.Keys(view.Live))) == view.Self.Name
}

// isSweeper reports whether this daemon looks for what others left.
func (h *heirs) isSweeper(view *contract.SessionView) bool {
	_, isLive := view.Live[view.Self.Name]
	return isLive && batch.RendezvousPick(sweepName, slices.Collect(maps.Keys(view.Live))) == view.Self.Name
}

// inherit takes over the open jobs whose owners are gone, and returns how many it
// did not get.
func (s *service) inherit(ctx context.Context, isGone func(owner string) bool) (int, error) {
	listing, err := s.ledger.List(ctx, ownPrefix)
	if err != nil {
		return 0, err
	}
	self := s.session.View().Load().Self.Name
	var group conc.WaitGroup
	var left atomic.Int64
	for _, record := range listing.Records {
		var own ownRecord
		if err := decode(record, &own.Ownership); err != nil {
			s.log.WithError(err).Error("An ownership record cannot be read.")
			continue
		}
		own.revision = record.Revision
		id := strings.TrimPrefix(record.Key, ownPrefix)
		switch {
		case own.Ended:
		case own.Owner == self:
			group.Go(func() { s.reclaim(ctx, id, self) })
		case isGone(own.Owner):
			group.Go(func() {
				if !s.takeOver(ctx, id, own, self) {
					left.Add(1)
				}
			})
		}
	}
	group.Wait()
	return int(left.Load()), nil
}

// takeOver makes this daemon the owner of a job whose owner is gone, and reports
// whether it is.
func (s *service) takeOver(ctx context.Context, id string, old ownRecord, self string) bool {
	next := old.Ownership
	next.Owner, next.Epoch = self, old.Epoch+1
	var further []outside.Condition
	if !s.session.IsSuccessorOf(old.Owner) {
		// The list of live daemons may be old: one that has a session answers for
		// its jobs without asking the store.
		further = append(further, outside.Condition{Key: s.session.KeyOf(old.Owner)})
	}
	_, err := s.keeper.swapOwner(ctx, id, old, next, further...)
	log := s.log.WithFields(logrus.Fields{"job": id, "from": old.Owner, "epoch": next.Epoch})
	if err != nil {
		log.WithError(err).Info("A batch job was not taken over.")
		return false
	}
	log.Info("A batch job is taken over.")
	s.take(ctx, id, self, nil)
	return true
}

// take adopts a job that the store gives to this daemon. Texts are nil when the
// earlier owner did not hand them over: then its checkpoints are read.
func (s *service) take(ctx context.Context, id, self string, texts map[batch.ItemID]*contract.GeneratedText) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	pause := newPause()
	for ctx.Err() == nil {
		taken, err := s.readAll(ctx, id, texts)
		if errors.Is(err, errGone) || err == nil && taken.own.Owner != self {
			return
		}
		if err == nil && s.adoptions.Post(taken) == nil {
			return
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// readAll reads what the store holds of a job, and the checkpoints of its texts
// when there are none yet.
func (s *service) readAll(ctx context.Context, id string, texts map[batch.ItemID]*contract.GeneratedText) (adoption, error) {
	read := adoption{texts: texts}
	group := pool.New().WithErrors().WithFirstError()
	group.Go(func() (err error) {
		read.kept, err = s.keeper.whole(ctx, id)
		return err
	})
	if texts == nil {
		group.Go(func() (err error) {
			read.texts, err = s.keeper.texts(ctx, id)
			return err
		})
	}
	return read, group.Wait()
}

// leaving is a job that is handed over.
type leaving struct {
	id    string
	own   ownRecord
	texts map[batch.ItemID]*contract.GeneratedText
}

// handOver gives the open jobs to other daemons at a planned stop.
func (s *service) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverWithin)
	defer cancel()
	var jobs []leaving
	if err := s.calls.Do(ctx, func() { jobs = s.leave() }); err != nil {
		return err
	}
	view := s.session.View().Load()
	successors := successorsOf(view)
	var group conc.WaitGroup
	for _, j := range jobs {
		group.Go(func() { s.give(ctx, j, batch.RendezvousPick(j.id, successors)) })
	}
	group.Wait()
	return nil
}

// successorsOf are the daemons that a job may be handed to: those that started
// after this one if there are any, because a rolling restart has passed them.
func successorsOf(view *contract.SessionView) []string {
	var younger, all []string
	for name := range view.Live {
		if name == view.Self.Name {
			continue
		}
		all = append(all, name)
		if contract.StartOf(name) > contract.StartOf(view.Self.Name)+togetherWithin.Nanoseconds() {
			younger = append(younger, name)
		}
	}
	if len(younger) > 0 {
		return younger
	}
	return all
}

// leave stops the work on all jobs and returns those whose log is not whole, with
// all texts that no result holds yet.
func (s *service) leave() []leaving {
	s.stopping = true
	var jobs []leaving
	for _, j := range s.owned {
		if !j.own.Ended && j.log.ResultCount() < len(j.items) {
			given := leaving{id: j.ID, own: j.own, texts: make(map[batch.ItemID]*contract.GeneratedText)}
			for _, it := range j.items {
				if held := it.text.Clone(); held.Last > 0 && !it.listed {
					given.texts[it.ID] = held
				}
			}
			jobs = append(jobs, given)
		}
		j.cancel()
	}
	return jobs
}

func (s *service) give(ctx context.Context, j leaving, heir string) {
	next := j.own.Ownership
	next.Owner, next.Epoch = heir, j.own.Epoch+1
	own, err := s.keeper.swapOwner(ctx, j.id, j.own, next)
	if errors.Is(err, outside.ErrConflict) {
		// A result was listed meanwhile, or the job was ended.
		if own, err = s.keeper.owner(ctx, j.id); err == nil && own.Owner == j.own.Owner && !own.Ended {
			own, err = s.keeper.swapOwner(ctx, j.id, own, next)
		}
	}
	log := s.log.WithFields(logrus.Fields{"job": j.id, "to": heir, "epoch": next.Epoch})
	if err != nil {
		log.WithError(err).Warn("A batch job was not handed over.")
		return
	}
	log.Info("A batch job is handed over.")
	s.rememberOwner(j.id, own)
	s.views.Delete(j.id)
	if address := s.addressOf(heir); address != "" {
		var reply struct{}
		if err := s.call(ctx, address, "Adopt", AdoptRPC{ID: j.id, Texts: j.texts}, &reply, 0); err != nil {
			log.WithError(err).Info("The heir was not told; it finds the batch job by itself.")
		}
	}
}

// sweep forgets jobs whose results need no longer be kept.
func (s *service) sweep(j *job, now time.Time) {
	if j.committing || now.Sub(j.submitted) < keptFactor*s.config.Platform.ResultsKept || j.open() {
		return
	}
	s.drop(j, "its results need no longer be kept")
	id, own, log := j.ID, j.own, j.log.Log
	s.workers.Go(func(ctx context.Context) {
		if err := s.keeper.remove(ctx, id, own, log); err != nil {
			s.log.WithError(err).WithField("job", id).Warn("An old batch job was not removed.")
		}
	})
}
