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

// storeClients is a contract.Clients with only a store.
type storeClients struct{ store outside.Store }

func (c storeClients) Platform() outside.Clients { return outside.Clients{Store: c.store} }

// newLeadingService returns a service that is the collector of the first of
// two zones, on a fake clock and a loop that is not running yet.
func newLeadingService(clock *clockwork.FakeClock, kv outside.Store) *service {
	daemon := config.Default()
	daemon.Place = structs.Place{Zone: "one", Region: "r"}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{
		config: daemon, clock: clock, loop: kernel.NewLoop(clock), workers: kernel.NewWorkers(4),
		log: logrus.NewEntry(log), clients: storeClients{store: kv}, onGrantStateChange: func() {},
	}
	s.writeResults = kernel.NewMailbox(s.loop, replyCapacity, s.onWriteResult)
	s.document = &settings.Document{Zones: []structs.Place{{Zone: "one"}, {Zone: "two"}}}
	s.leader = &leaderState{term: 1, headRevision: 1, roundSeenAt: clock.Now(), acks: map[structs.ZoneName]change.Acknowledgement{}}
	return s
}

func headWithStagedRound(round change.Round) change.State {
	return change.State{Revision: 1, Base: 1, Round: round, StagedChanges: []settings.Change{{ID: "a"}}}
}

// TestService_DecidesOnCurrentHead checks that a decision scheduled for round
// 7 is not written for round 8, which has replaced it in the head and which no
// zone has acknowledged.
func TestService_DecidesOnCurrentHead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	kv := store.New(store.DefaultLimits(), 1)
	s := newLeadingService(clock, kv)
	s.leader.head = headWithStagedRound(7)
	s.leader.acks["one"] = change.Acknowledgement{Zone: "one", Round: 7}
	s.leader.acks["two"] = change.Acknowledgement{Zone: "two", Round: 7}
	s.leader.newestAckRevision = 9 // the other zone acknowledged last and decides first
	s.scheduleDecision()
	s.onWriteResult(kernel.AsyncResult[writeResult]{Value: writeResult{term: 1, operation: "acknowledge"}, Err: outside.ErrConflict})
	s.leader.head, s.leader.headRevision = headWithStagedRound(8), 2

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
