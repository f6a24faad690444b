package settings

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

// decide activates the undecided round when every zone has acknowledged it,
// withdraws it when its time is up, and else sets a timer for that.
func (s *service) decide() {
	ld := s.lead
	s.loop.Cancel(ld.timer)
	ld.timer = nil
	if ld.writing || s.document == nil {
		return
	}
	if ld.head.Undecided() == 0 {
		s.foldIfLong()
		return
	}
	missing := ld.head.Missing(s.document, ld.acknowledgements())
	if len(missing) == 0 {
		round := ld.head.Round
		s.decideAfter(s.turnDelay(), func() { s.activate(round) })
		return
	}
	left := ld.stagedSeen.Add(time.Duration(s.config.Lease.Decide)).Sub(s.clock.Now())
	if left > 0 {
		s.decideAfter(left, s.decide)
		return
	}
	round := ld.head.Round
	s.decideAfter(s.turnDelay(), func() { s.withdraw(round) })
}

// activate puts a round in force. The head may have moved on to a later round
// since the decision was planned, and that one is not acknowledged.
func (s *service) activate(round change.Round) {
	head := s.lead.head
	if head.Undecided() != round || len(head.Missing(s.document, s.lead.acknowledgements())) > 0 {
		return
	}
	s.writeHead("activate", head.Activate())
}

// withdraw ends a round whose time is up.
func (s *service) withdraw(round change.Round) {
	head := s.lead.head
	missing := head.Missing(s.document, s.lead.acknowledgements())
	if head.Undecided() != round || len(missing) == 0 {
		return
	}
	s.log.Warnf("Round %d is withdrawn: no acknowledgement from %v.", round, missing)
	s.writeHead("withdraw", head.Withdraw(missing))
}

// decideAfter plans a step towards a decision in place of the one planned
// before.
func (s *service) decideAfter(delay time.Duration, act func()) {
	ld := s.lead
	s.loop.Cancel(ld.timer)
	ld.timer = nil
	if delay <= 0 {
		act()
		return
	}
	ld.timer = s.loop.After(delay, func() {
		ld.timer = nil
		if s.lead == ld && !ld.writing {
			act()
		}
	})
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
func (s *service) writeHead(what string, next change.Head) {
	expected := s.lead.headAt
	s.write(what, func(ctx context.Context, store platform.Store) error {
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
	if len(ld.head.Accepted) < change.FoldAt {
		return
	}
	document, expected, next := s.document, ld.headAt, ld.head.Fold()
	s.write("fold", func(ctx context.Context, store platform.Store) error {
		return writeFolded(ctx, store, document, expected, next)
	})
}

func writeFolded(ctx context.Context, store platform.Store, document *settings.Document, expected platform.Revision, next change.Head) error {
	whole, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, documentKey(next.Base), 0, whole, 0)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
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
func (s *service) write(what string, act func(context.Context, platform.Store) error) {
	ld, store := s.lead, s.clients.Platform().Store
	ld.writing = true
	kernel.Async(s.workers, platform.CallTimeout, s.written, func(ctx context.Context) (written, error) {
		return written{term: ld.term, what: what}, act(ctx, store)
	})
}

func (s *service) onWritten(reply kernel.Reply[written]) {
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
	s.decideAfter(retryDelay, func() {
		s.decide()
		s.onNews()
	})
}
