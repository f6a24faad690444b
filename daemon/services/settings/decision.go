package settings

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// scheduleDecision schedules this collector's write of the decision on the
// undecided round, or writes it at once when no delay is left. Without an
// undecided round it compacts the head if needed.
func (s *service) scheduleDecision() {
	leader := s.leader
	if leader.writeInFlight || s.document == nil {
		return
	}
	if leader.head.UndecidedRound() == 0 {
		s.compactIfLong()
		return
	}
	delay := s.turnDelay()
	if len(s.missingZones()) > 0 {
		delay += s.remainingTime()
	}
	s.decideAfter(delay)
}

func (s *service) decideAfter(delay time.Duration) {
	leader := s.leader
	s.loop.CancelTimer(leader.decisionTimer)
	leader.decisionTimer = nil
	if delay <= 0 {
		s.writeDecision()
		return
	}
	leader.decisionTimer = s.loop.AfterFunc(delay, func() {
		leader.decisionTimer = nil
		if s.leader == leader {
			s.writeDecision()
		}
	})
}

// writeDecision activates the undecided round when every zone has acknowledged
// it, and withdraws it when its deadline has passed. It uses the current head,
// which may have changed since the decision was scheduled.
func (s *service) writeDecision() {
	leader := s.leader
	if leader.writeInFlight || s.document == nil || leader.head.UndecidedRound() == 0 {
		return
	}
	missingZones := s.missingZones()
	switch {
	case len(missingZones) == 0:
		s.writeHead("activate", leader.head.Activate())
	case s.remainingTime() <= 0:
		s.log.Warnf("Withdrawing round %d: not acknowledged by zones %v.", leader.head.Round, missingZones)
		s.writeHead("withdraw", leader.head.Withdraw(missingZones))
	default:
		s.scheduleDecision()
	}
}

// missingZones lists the zones that have yet to acknowledge the round.
func (s *service) missingZones() []structs.ZoneName {
	return s.leader.head.MissingZones(s.document, s.leader.acknowledgements())
}

// remainingTime returns the time until the undecided round's deadline; it is
// negative after that.
func (s *service) remainingTime() time.Duration {
	deadline := s.leader.roundSeenAt.Add(time.Duration(s.config.Lease.Decide))
	return deadline.Sub(s.clock.Now())
}

// turnDelay returns how long this zone waits before it writes a decision. The
// zone that acknowledged last writes first; the other zones write later, in
// case it fails to.
func (s *service) turnDelay() time.Duration {
	if s.leader.ownAckRevision == s.leader.newestAckRevision {
		return 0
	}
	for i, place := range s.document.Zones {
		if place.Zone == s.config.Place.Zone {
			return decisionStagger * time.Duration(i+1)
		}
	}
	return decisionStagger
}

func (l *leaderState) acknowledgements() []change.Acknowledgement {
	list := make([]change.Acknowledgement, 0, len(l.acks))
	for _, ack := range l.acks {
		list = append(list, ack)
	}
	return list
}

// writeHead replaces the head by compare-and-swap. Whether the write takes
// effect or not, the watch delivers the resulting head.
func (s *service) writeHead(operation string, next change.State) {
	expected := s.leader.headRevision
	s.startWrite(operation, func(ctx context.Context, store outside.Store) error {
		value, err := json.Marshal(next)
		if err != nil {
			return err
		}
		_, err = store.CompareAndSwap(ctx, keyHead, expected, value, 0)
		return err
	})
}

// compactIfLong writes the whole document and shortens the head when the head
// has CompactAfterRounds accepted rounds or more.
func (s *service) compactIfLong() {
	leader := s.leader
	if len(leader.head.AcceptedRounds) < change.CompactAfterRounds {
		return
	}
	document, expected, next := s.document, leader.headRevision, leader.head.Compact()
	s.startWrite("compact", func(ctx context.Context, store outside.Store) error {
		return writeCompacted(ctx, store, document, expected, next)
	})
}

func writeCompacted(ctx context.Context, store outside.Store, document *settings.Document, expected outside.Revision, next change.State) error {
	encoded, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, documentKey(next.Base), 0, encoded, 0)
	if err != nil && !errors.Is(err, outside.ErrConflict) {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, keyHead, expected, value, 0)
	return err
}

// startWrite runs a write on a worker. Only one write may be in flight at a
// time.
func (s *service) startWrite(operation string, write func(context.Context, outside.Store) error) {
	leader, store := s.leader, s.clients.Platform().Store
	leader.writeInFlight = true
	kernel.RunAsync(s.workers, outside.CallTimeout, s.writeResults, func(ctx context.Context) (writeResult, error) {
		return writeResult{term: leader.term, operation: operation}, write(ctx, store)
	})
}

func (s *service) onWriteResult(reply kernel.AsyncResult[writeResult]) {
	leader := s.leader
	if leader == nil || leader.term != reply.Value.term {
		return
	}
	leader.writeInFlight = false
	if reply.Err == nil {
		// The watch may have delivered the new head before this result
		// arrived.
		s.scheduleDecision()
		s.onGrantStateChange()
		return
	}
	s.log.WithError(reply.Err).Debugf("Settings write (%s) failed.", reply.Value.operation)
	leader.attemptedRound = min(leader.attemptedRound, leader.acks[s.config.Place.Zone].Round)
	s.loop.AfterFunc(retryDelay, func() {
		if s.leader == leader {
			s.scheduleDecision()
			s.onGrantStateChange()
		}
	})
}

// Acknowledge implements contract.SettingsControl.
func (s *service) Acknowledge(round change.Round) {
	leader := s.leader
	if leader == nil || leader.writeInFlight || leader.attemptedRound >= round || leader.acks[s.config.Place.Zone].Round >= round {
		return
	}
	leader.attemptedRound = round
	acknowledgement := change.Acknowledgement{Zone: s.config.Place.Zone, Term: leader.term, Round: round}
	expected := leader.ownAckRevision
	s.startWrite("acknowledge", func(ctx context.Context, store outside.Store) error {
		value, err := json.Marshal(acknowledgement)
		if err != nil {
			return err
		}
		_, err = store.CompareAndSwap(ctx, prefixAcks+string(acknowledgement.Zone), expected, value, 0)
		return err
	})
}
