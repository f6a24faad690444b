package settings

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// clients gives a test's store.
type clients struct{ store outside.Store }

func (c clients) Platform() outside.Clients { return outside.Clients{Store: c.store} }

// leading returns a service that leads the first of two zones, on a clock that
// stands still and a loop that does not run yet.
func leading(clock *clockwork.FakeClock, s outside.Store) *service {
	daemon := config.Default()
	daemon.Place = structs.Place{Zone: "one", Region: "r"}
	log := logrus.New()
	log.SetOutput(io.Discard)
	made := &service{
		config: daemon, clock: clock, loop: kernel.NewLoop(clock), workers: kernel.NewWorkers(4),
		log: logrus.NewEntry(log), clients: clients{store: s}, onNews: func() {},
	}
	made.written = kernel.NewMailbox(made.loop, replyCapacity, made.onWritten)
	made.document = &settings.Document{Zones: []structs.Place{{Zone: "one"}, {Zone: "two"}}}
	made.lead = &lead{term: 1, headAt: 1, stagedSeen: clock.Now(), acks: map[structs.ZoneName]change.Acknowledgement{}}
	return made
}

func staged(round change.Round) change.State {
	return change.State{Revision: 1, Base: 1, Round: round, StagedChanges: []settings.Change{{ID: "a"}}}
}

// TestDecide_GoesByTheHeadOfThatMoment: a decision that was put off must not
// be written on a round that came since and that no zone has acknowledged.
func TestDecide_GoesByTheHeadOfThatMoment(t *testing.T) {
	clock := clockwork.NewFakeClock()
	kv := store.New(store.DefaultLimits(), 1)
	s := leading(clock, kv)
	s.lead.head = staged(7)
	s.lead.acks["one"] = change.Acknowledgement{Zone: "one", Round: 7}
	s.lead.acks["two"] = change.Acknowledgement{Zone: "two", Round: 7}
	s.lead.lastAckAt = 9 // the other zone acknowledged last and decides first
	s.decide()
	s.onWritten(kernel.AsyncResult[written]{Value: written{term: 1, what: "acknowledge"}, Err: outside.ErrConflict})
	s.lead.head, s.lead.headAt = staged(8), 2

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.loop.Run(ctx)
	calls := kernel.NewLoopExecutor(s.loop)
	for range 4 {
		clock.Advance(time.Second)
		must.NoError(t, calls.Do(ctx, func() {}))
	}
	s.workers.Stop()
	must.Eq(t, 0, kv.Counts().Writes)
}
