package jobs

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

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
	// lookAgain is the pause between two looks while jobs without a live owner
	// are left.
	lookAgain = 2 * time.Second
	// handOverWithin bounds the hand-over at a planned stop.
	handOverWithin = 1500 * time.Millisecond
	// keptFactor is how many times the time that results must be readable they
	// are kept.
	keptFactor = 2
)

// heirs looks for jobs whose owner is gone. It belongs to the control
// goroutine.
type heirs struct {
	service *service
	// live are the daemons seen at the last tick, and missing those that went.
	live    map[string]bool
	missing map[string]time.Time
	// look is when to look for jobs next; zero is never.
	look    time.Time
	looking bool
	// began is set once the jobs of this host's earlier runs were looked for,
	// and settled once that look has ended.
	began   bool
	settled bool
	orphans *kernel.Mailbox[kernel.Reply[int]]
}

func (h *heirs) prepare(s *service) {
	h.service = s
	h.live, h.missing = make(map[string]bool), make(map[string]time.Time)
	h.orphans = kernel.NewMailbox(s.loop, 1, h.looked)
	h.look = s.loop.Now()
}

// tick notices daemons that went and looks for their jobs.
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
		if now.Sub(since) >= missingFor {
			delete(h.missing, name)
			h.look = now
			h.service.log.WithField("daemon", name).Info("A daemon is gone; its batch jobs are looked for.")
		}
	}
	isSettled := !view.Settled.IsZero() && now.After(view.Settled)
	_, isSelfLive := view.Live[view.Self.Name]
	if !isSelfLive || h.looking || h.service.stopping {
		return
	}
	if !h.began {
		// Earlier runs of this host's daemon are gone for sure.
		h.began = true
		h.inherit(view, func(owner string) bool { return h.service.session.Succeeds(owner) })
		return
	}
	if h.look.IsZero() || now.Before(h.look) || !isSettled {
		return
	}
	h.inherit(view, func(owner string) bool {
		_, isLive := view.Live[owner]
		return !isLive
	})
}

// inherit looks for jobs whose owner is gone.
func (h *heirs) inherit(view *contract.SessionView, isGone func(owner string) bool) {
	h.looking = true
	live := slices.Collect(maps.Keys(view.Live))
	kernel.Async(h.service.workers, 0, h.orphans, func(ctx context.Context) (int, error) {
		return h.service.inherit(ctx, live, view.Self.Name, isGone)
	})
}

func (h *heirs) looked(reply kernel.Reply[int]) {
	h.looking = false
	if h.look = (time.Time{}); reply.Err != nil || reply.Value > 0 || !h.settled {
		h.look = h.service.loop.Now().Add(lookAgain)
	}
	h.settled = true
}

// inherit takes over the jobs that fall to this daemon, and returns how many
// have no live owner.
func (s *service) inherit(ctx context.Context, live []string, self string, isGone func(owner string) bool) (int, error) {
	listing, err := s.ledger.Scan(ctx, ownPrefix)
	if err != nil {
		return 0, err
	}
	orphans := 0
	for _, record := range listing.Records {
		var own ownRecord
		if err := decode(record, &own.Ownership); err != nil {
			s.log.WithError(err).Error("An ownership record cannot be read.")
			continue
		}
		id := strings.TrimPrefix(record.Key, ownPrefix)
		if own.Ended || !isGone(own.Owner) {
			if own.Owner == self && !own.Ended {
				s.reclaim(ctx, id, self)
			}
			continue
		}
		orphans++
		if batch.Heir(id, live) == self || s.session.Succeeds(own.Owner) {
			own.revision = record.Revision
			s.takeOver(ctx, id, own, self)
		}
	}
	return orphans, nil
}

// takeOver makes this daemon the owner of a job whose owner is gone.
func (s *service) takeOver(ctx context.Context, id string, old ownRecord, self string) {
	next := old.Ownership
	next.Owner, next.Epoch = self, old.Epoch+1
	_, err := s.keeper.swapOwner(ctx, id, old, next)
	log := s.log.WithFields(logrus.Fields{"job": id, "from": old.Owner, "epoch": next.Epoch})
	if err != nil {
		log.WithError(err).Info("A batch job was not taken over.")
		return
	}
	log.Info("A batch job is taken over.")
	s.take(ctx, id, self, nil)
}

// take adopts a job that the store gives to this daemon.
func (s *service) take(ctx context.Context, id, self string, texts map[batch.ItemID]*contract.Text) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	pause := newPause()
	for ctx.Err() == nil {
		all, err := s.keeper.whole(ctx, id)
		if errors.Is(err, errGone) || err == nil && all.own.Owner != self {
			return
		}
		if err == nil && texts == nil {
			texts, err = s.keeper.texts(ctx, id)
		}
		if err == nil && s.adoptions.Post(adoption{kept: all, texts: texts}) == nil {
			return
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// leaving is a job that is handed over.
type leaving struct {
	id    string
	own   ownRecord
	texts map[batch.ItemID]*contract.Text
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
	live := slices.DeleteFunc(slices.Collect(maps.Keys(view.Live)), func(name string) bool { return name == view.Self.Name })
	for _, j := range jobs {
		s.give(ctx, j, batch.Heir(j.id, live))
	}
	return nil
}

// leave stops the work on all jobs and returns the open ones.
func (s *service) leave() []leaving {
	s.stopping = true
	var jobs []leaving
	for _, j := range s.owned {
		if j.open() && !j.own.Ended {
			given := leaving{id: j.ID, own: j.own, texts: make(map[batch.ItemID]*contract.Text)}
			for _, it := range j.items {
				if held := it.text.Snapshot(); held.Last > 0 && it.phase != phaseFinished {
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
	if j.committing || now.Sub(j.submitted) < keptFactor*s.config.Fleet.ResultsKept || j.open() {
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
