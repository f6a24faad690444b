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

// decide sets the time at which this collector writes the decision on the
// undecided round, or writes it at once when that time has come.
func (s *service) decide() {
	ld := s.lead
	if ld.writing || s.document == nil {
		return
	}
	if ld.head.UndecidedRound() == 0 {
		s.foldIfLong()
		return
	}
	delay := s.turnDelay()
	if len(s.missing()) > 0 {
		delay += s.timeLeft()
	}
	s.decideAfter(delay)
}

func (s *service) decideAfter(delay time.Duration) {
	ld := s.lead
	s.loop.CancelTimer(ld.timer)
	ld.timer = nil
	if delay <= 0 {
		s.writeDecision()
		return
	}
	ld.timer = s.loop.AfterFunc(delay, func() {
		ld.timer = nil
		if s.lead == ld {
			s.writeDecision()
		}
	})
}

// writeDecision activates the undecided round when every zone has acknowledged
// it, and withdraws it when its time is up. It goes by the head of this
// moment, because that may have changed since the decision was put off.
func (s *service) writeDecision() {
	ld := s.lead
	if ld.writing || s.document == nil || ld.head.UndecidedRound() == 0 {
		return
	}
	missing := s.missing()
	switch {
	case len(missing) == 0:
		s.writeHead("activate", ld.head.Activate())
	case s.timeLeft() <= 0:
		s.log.Warnf("Round %d is withdrawn: no acknowledgement from %v.", ld.head.Round, missing)
		s.writeHead("withdraw", ld.head.Withdraw(missing))
	default:
		s.decide()
	}
}

// missing lists the zones whose acknowledgement of the round is awaited.
func (s *service) missing() []structs.ZoneName {
	return s.lead.head.MissingZones(s.document, s.lead.acknowledgements())
}

// timeLeft is how long the undecided round may still wait.
func (s *service) timeLeft() time.Duration {
	deadline := s.lead.stagedSeen.Add(time.Duration(s.config.Lease.Decide))
	return deadline.Sub(s.clock.Now())
}

// turnDelay gives each zone a turn to write a decision: the one that
// acknowledged last first, the others only if it does not.
func (s *service) turnDelay() time.Duration {
	if s.lead.ackAt == s.lead.lastAckAt {
		return 0
	}
	for i, place := range s.document.Zones {
		if place.Zone == s.config.Place.Zone {
			return decideSpread * time.Duration(i+1)
		}
	}
	return decideSpread
}

func (l *lead) acknowledgements() []change.Acknowledgement {
	list := make([]change.Acknowledgement, 0, len(l.acks))
	for _, ack := range l.acks {
		list = append(list, ack)
	}
	return list
}

// writeHead replaces the head. Whatever becomes of the write, the watch shows
// the head that is then in force.
func (s *service) writeHead(what string, next change.State) {
	expected := s.lead.headAt
	s.write(what, func(ctx context.Context, store outside.Store) error {
		value, err := json.Marshal(next)
		if err != nil {
			return err
		}
		_, err = store.CompareAndSwap(ctx, keyHead, expected, value, 0)
		return err
	})
}

// foldIfLong writes the document out whole when the head has grown long.
func (s *service) foldIfLong() {
	ld := s.lead
	if len(ld.head.AcceptedRounds) < change.CompactAfterRounds {
		return
	}
	document, expected, next := s.document, ld.headAt, ld.head.Compact()
	s.write("fold", func(ctx context.Context, store outside.Store) error {
		return writeFolded(ctx, store, document, expected, next)
	})
}

func writeFolded(ctx context.Context, store outside.Store, document *settings.Document, expected outside.Revision, next change.State) error {
	whole, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, documentKey(next.Base), 0, whole, 0)
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

// write makes one write at a time on a worker.
func (s *service) write(what string, act func(context.Context, outside.Store) error) {
	ld, store := s.lead, s.clients.Platform().Store
	ld.writing = true
	kernel.RunAsync(s.workers, outside.CallTimeout, s.written, func(ctx context.Context) (written, error) {
		return written{term: ld.term, what: what}, act(ctx, store)
	})
}

func (s *service) onWritten(reply kernel.AsyncResult[written]) {
	ld := s.lead
	if ld == nil || ld.term != reply.Value.term {
		return
	}
	ld.writing = false
	if reply.Err == nil {
		// The watch may have shown the outcome before this reply came.
		s.decide()
		s.onNews()
		return
	}
	s.log.WithError(reply.Err).Debugf("The write to %s did not succeed.", reply.Value.what)
	ld.acked = min(ld.acked, ld.acks[s.config.Place.Zone].Round)
	s.loop.AfterFunc(retryDelay, func() {
		if s.lead == ld {
			s.decide()
			s.onNews()
		}
	})
}

// Acknowledge implements contract.SettingsControl.
func (s *service) Acknowledge(round change.Round) {
	ld := s.lead
	if ld == nil || ld.writing || ld.acked >= round || ld.acks[s.config.Place.Zone].Round >= round {
		return
	}
	ld.acked = round
	ack := change.Acknowledgement{Zone: s.config.Place.Zone, Term: ld.term, Round: round}
	expected := ld.ackAt
	s.write("acknowledge", func(ctx context.Context, store outside.Store) error {
		value, err := json.Marshal(ack)
		if err != nil {
			return err
		}
		_, err = store.CompareAndSwap(ctx, prefixAcks+string(ack.Zone), expected, value, 0)
		return err
	})
}
