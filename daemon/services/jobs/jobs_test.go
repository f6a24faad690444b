package jobs

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/broadcast"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// TestOwnResults_NothingIsListedOnlyOnAFreshWord gives an owner a log that is
// two results long and an old word of the store: the results may be read, but
// that there are no more must be asked of the store.
func TestOwnResults_NothingIsListedOnlyOnAFreshWord(t *testing.T) {
	view := jobView{total: 5, results: []batch.Result{{ID: "a"}, {ID: "b"}}}
	read := func(verified time.Duration, after int) (contract.ResultsReply, bool) {
		s := newService()
		view.verified = verified
		s.views.Store("job", kernel.NewSnapshot(&view))
		return s.ownResults(context.Background(), contract.ResultsRequest{ID: "job", After: after})
	}
	old, fresh := boottime.Now()-2*trustFor, boottime.Now()
	reply, ok := read(old, 1)
	must.True(t, ok)
	must.Len(t, 1, reply.Results)
	_, ok = read(old, 2)
	must.False(t, ok)
	reply, ok = read(fresh+time.Hour, 2)
	must.True(t, ok)
	must.Len(t, 0, reply.Results)
}

// TestIsTrusted_ByItsSessionAlone holds that no word of the store is needed while
// nobody may take the job over.
func TestIsTrusted_ByItsSessionAlone(t *testing.T) {
	trusted := func(isLive, holds bool) bool {
		s := newService()
		f := s.session.(*fakes)
		f.holds = holds
		if isLive {
			f.session.Publish(viewOf("me.1", "me.1"))
		}
		return s.isTrusted(&jobView{verified: boottime.Now() - 2*trustFor})
	}
	must.True(t, trusted(true, true))
	must.False(t, trusted(true, false))
	must.False(t, trusted(false, true))
}

// fakes stand in for the services that adopting a job needs.
type fakes struct {
	contract.TransactionalStore
	contract.WeightSwaps
	contract.Session
	catalog *kernel.Snapshot[contract.CatalogView]
	session *kernel.Snapshot[contract.SessionView]
	holds   bool
}

func (f *fakes) HoldsLease() bool                                { return f.holds }
func (f *fakes) RecordDemand(contract.ModelDemand)               {}
func (f *fakes) Current() *kernel.Snapshot[contract.CatalogView] { return f.catalog }
func (f *fakes) View() *kernel.Snapshot[contract.SessionView]    { return f.session }
func (f *fakes) ReachedSince() (time.Time, bool)                 { return time.Now(), true }

func newService() *service {
	f := &fakes{
		catalog: kernel.NewSnapshot(&contract.CatalogView{}),
		session: kernel.NewSnapshot(&contract.SessionView{}),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{
		owners: make(map[string]ownerEntry),
		ledger: f, swaps: f, session: f, catalog: f, log: logrus.NewEntry(log), loop: kernel.NewLoop(clockwork.NewFakeClock()),
		workers: kernel.NewWorkers(1), owned: make(map[string]*job), endedEarly: make(map[string]ownRecord),
	}
	s.others = broadcast.Broadcaster{Session: f, Workers: s.workers, Log: s.log}
	return s
}

func taken(epoch uint64) adoption {
	return adoption{kept: kept{
		job: &batch.Job{ID: "job", Items: []batch.Item{{ID: "a"}}}, read: boottime.Now(),
		own: ownRecord{Ownership: batch.Ownership{Owner: "me", Epoch: epoch}},
	}}
}

// TestAdopt_AnEndThatCameFirstCounts tells a daemon of the end of a job while it
// still reads the job: nothing of it may run.
func TestAdopt_AnEndThatCameFirstCounts(t *testing.T) {
	s := newService()
	s.endHere("job", ownRecord{Ownership: batch.Ownership{Owner: "me", Epoch: 2, Ended: true}, revision: 9})
	s.adopt(taken(2))
	must.False(t, s.owned["job"].open())
	s = newService()
	s.endHere("job", ownRecord{Ownership: batch.Ownership{Owner: "other", Epoch: 1, Ended: true}, revision: 3})
	s.adopt(taken(2))
	must.True(t, s.owned["job"].open())
}

// TestMayStart_OnlyOnAFreshWordWhileTheStoreIsReached holds that items wait for
// the store's word that their job goes on.
func TestMayStart_OnlyOnAFreshWordWhileTheStoreIsReached(t *testing.T) {
	s := newService()
	s.adopt(taken(1))
	must.True(t, s.mayStart(s.owned["job"]))
	s.owned["job"].verified -= startWithin
	must.False(t, s.mayStart(s.owned["job"]))
}

func TestCommit_ChunksStayWithinAValueOfTheStore(t *testing.T) {
	big := batch.Result{Output: string(make([]byte, maxChunk-1000))}
	must.Len(t, 1, firstChunk([]batch.Result{big, big}))
	must.Len(t, 1, firstChunk([]batch.Result{{Output: string(make([]byte, 2*maxChunk))}}))
	must.Len(t, 2, firstChunk([]batch.Result{{Output: "a"}, {Output: "b"}}))
}

func TestAddPart_LeavesOutWhatDoesNotFollow(t *testing.T) {
	texts := map[batch.ItemID]*contract.GeneratedText{}
	addPart(texts, textPart{Item: "a", After: 0, Events: []string{"1", "2"}})
	addPart(texts, textPart{Item: "a", After: 3, Events: []string{"4"}})
	must.Eq(t, 2, texts["a"].Last)
	addPart(texts, textPart{Item: "a", After: 2, Events: []string{"3"}, Whole: true})
	must.Eq(t, []string{"1", "2", "3"}, texts["a"].Events)
	must.True(t, texts["a"].Whole)
	addPart(texts, textPart{Item: "a", After: 0, Events: []string{"x"}})
	must.Eq(t, []string{"x"}, texts["a"].Events)
	must.False(t, texts["a"].Whole)
}
