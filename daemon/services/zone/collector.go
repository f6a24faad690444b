package zone

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/zone"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// collects is the state of the collector's role. It belongs to the control
// goroutine.
type collects struct {
	decide   *zone.Collector
	lease    outside.LeaseID
	rosterAt outside.Revision
	held     []*heldAsk
	// carries holds the settings that were encoded since the last news, by
	// the revision of the followers that lack them.
	carries map[settings.Revision][]byte
	joining zone.Roster
	lapse   *kernel.Timer
	// began is when the term began here.
	began zone.Instant
}

// taken is what a daemon has once it took the role.
type taken struct {
	lease  outside.LeaseID
	record record
	// until is when the lease ends, counted from when it was asked for.
	until    zone.Instant
	roster   zone.Roster
	rosterAt outside.Revision
}

// takeRole makes this daemon the collector in the store. The roster is written
// again with the new term, so that a late write of a former collector fails.
func (s *service) takeRole(ctx context.Context, store outside.Store) (*taken, error) {
	asked := s.now()
	lease, err := store.Grant(ctx, s.ttl)
	if err != nil {
		return nil, err
	}
	role := &taken{lease: lease, until: asked + s.ttl}
	role.record = record{Host: s.self.Host, Start: s.self.Start, Address: s.config.Listen.Peers}
	value, err := json.Marshal(role.record)
	if err != nil {
		return nil, err
	}
	revision, err := store.CompareAndSwap(ctx, s.collectorKey(), 0, value, lease)
	if err != nil {
		// After a lost answer the entry may exist; it ends with its lease.
		return nil, err
	}
	role.record.term = structs.Term(revision)
	return role, s.claimRoster(ctx, store, role)
}

func (s *service) claimRoster(ctx context.Context, store outside.Store, role *taken) error {
	entry, err := store.Get(ctx, s.rosterKey())
	if err != nil && !errors.Is(err, outside.ErrNotFound) {
		return err
	}
	var kept rosterRecord
	if err == nil {
		if err := json.Unmarshal(entry.Value, &kept); err != nil {
			return err
		}
	}
	role.roster = kept.Roster
	role.rosterAt, err = writeRoster(ctx, store, s.rosterKey(), entry.Revision, rosterRecord{Term: role.record.term, Roster: kept.Roster})
	return err
}

// begin takes up the role on the control goroutine.
func (s *service) begin(role *taken) {
	if role.record.term <= s.follower.Term() {
		// This daemon counts as a follower of a later collector.
		s.loop.AfterFunc(jitter(retryDelay), s.find)
		return
	}
	s.known = role.record
	s.collects = &collects{
		decide:   zone.NewCollector(s.self, role.record.term, s.span, role.roster),
		lease:    role.lease,
		carries:  make(map[settings.Revision][]byte),
		rosterAt: role.rosterAt,
		began:    s.now(),
	}
	s.collects.decide.SetStoreLease(role.until)
	s.log.Infof("Collecting for %s in term %d.", s.config.Place.Zone, role.record.term)
	s.settings.StartLeading(role.record.term)
	s.publish()
	s.tellRole(true)
	s.loop.AfterFunc(s.ttl/keepAliveShare, func() { s.keepAlive(role.record.term) })
	s.askSelf()
}

// stepDown gives the role up; the other daemons find the next collector.
func (s *service) stepDown() {
	if s.collects == nil {
		return
	}
	held := s.collects.held
	s.loop.CancelTimer(s.collects.lapse)
	s.collects = nil
	s.settings.StopLeading()
	s.log.Info("No longer collecting.")
	s.publish()
	s.tellRole(false)
	for _, waiting := range held {
		s.loop.CancelTimer(waiting.timer)
		waiting.call.answer <- AskReply{}
	}
	s.loop.AfterFunc(jitter(retryDelay), s.find)
}

// renewal is the outcome of a keep-alive.
type renewal struct {
	term  structs.Term
	until zone.Instant
}

func (s *service) keepAlive(term structs.Term) {
	if s.collects == nil || s.collects.decide.Term() != term {
		return
	}
	store, lease, asked := s.clients.Platform().Store, s.collects.lease, s.now()
	kernel.RunAsync(s.workers, 0, s.renewed, func(ctx context.Context) (renewal, error) {
		return renewal{term: term, until: asked + s.ttl}, store.KeepAlive(ctx, lease)
	})
}

func (s *service) onRenewed(reply kernel.AsyncResult[renewal]) {
	if s.collects == nil || s.collects.decide.Term() != reply.Value.term {
		return
	}
	if errors.Is(reply.Err, outside.ErrLeaseLost) {
		s.log.Warn("The lease in the store has lapsed.")
		s.stepDown()
		return
	}
	if reply.Err == nil {
		s.collects.decide.SetStoreLease(reply.Value.until)
		s.tend()
	}
	s.loop.AfterFunc(s.ttl/keepAliveShare, func() { s.keepAlive(reply.Value.term) })
}

// askSelf lets the collector be its own follower.
func (s *service) askSelf() {
	if s.collects == nil {
		return
	}
	term := s.collects.decide.Term()
	s.learn()
	s.renewSelf()
	if !s.collects.decide.Roster().Has(s.self) {
		s.join(s.self)
	}
	s.tend()
	s.loop.AfterFunc(s.part(holdParts), func() {
		if s.collects != nil && s.collects.decide.Term() == term {
			s.askSelf()
		}
	})
}

// renewSelf asks twice: once for what is new, and once to tell the rules that
// it is staged here.
func (s *service) renewSelf() {
	asked := s.now()
	s.accept(asked, s.collects.decide.HandleRequest(asked, s.follower.NewRequest()))
	s.accept(asked, s.collects.decide.HandleRequest(asked, s.follower.NewRequest()))
}

// learn tells the rules what the settings are.
func (s *service) learn() {
	if news, ok := s.settings.GrantState(); ok {
		s.collects.decide.SetGrantState(news)
	} else {
		s.collects.decide.SuspendGrants()
	}
}

// onNews runs when the settings known have changed.
func (s *service) onNews() {
	if s.collects == nil {
		return
	}
	clear(s.collects.carries)
	s.learn()
	s.renewSelf()
	s.releaseAll()
	s.tend()
}

// tend acknowledges the undecided round and changes the roster when the rules
// allow it.
func (s *service) tend() {
	cs := s.collects
	if cs == nil {
		return
	}
	if news, ok := s.settings.GrantState(); ok && news.Undecided {
		s.tryAcknowledge(news.Round)
	}
	s.tryRoster()
}

func (s *service) tryAcknowledge(round change.Round) {
	cs, now := s.collects, s.now()
	if cs.decide.MayAcknowledge(now, round) {
		s.settings.Acknowledge(round)
		return
	}
	s.loop.CancelTimer(cs.lapse)
	cs.lapse = nil
	if lapse := cs.decide.LastBlockingGrantEnd(now, round); lapse > now {
		cs.lapse = s.loop.AfterFunc(lapse-now+time.Millisecond, func() { s.tend() })
	}
}
