package jobs

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/broadcast"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// noIntake bounds nothing.
type noIntake struct{ contract.Intake }

func (noIntake) AdmitsWork(int64) bool { return true }

func (noIntake) HoldWork(int64) {}

// TestReadOwnResults_StaleVerification gives an owner a log of two results that
// was last verified too long ago. The owner may return these results, but may
// not report the end of the log without asking the store.
func TestReadOwnResults_StaleVerification(t *testing.T) {
	view := jobView{itemCount: 5, results: []batch.Result{{ID: "a"}, {ID: "b"}}}
	read := func(verified time.Duration, after int) (contract.ResultsReply, bool) {
		s := newService()
		view.verifiedAt = verified
		s.jobViews.Store("job", kernel.NewSnapshot(&view))
		return s.readOwnResults(context.Background(), contract.ResultsRequest{ID: "job", After: after})
	}
	stale, fresh := boottime.Now()-2*maxReadAge, boottime.Now()
	reply, ok := read(stale, 1)
	must.True(t, ok)
	must.Len(t, 1, reply.Results)
	_, ok = read(stale, 2)
	must.False(t, ok)
	reply, ok = read(fresh+time.Hour, 2)
	must.True(t, ok)
	must.Len(t, 0, reply.Results)
}

// TestMayReportEnd_SessionOnly checks that a valid session lease suffices
// without a recent read of the store, because no other daemon may take over the
// job meanwhile.
func TestMayReportEnd_SessionOnly(t *testing.T) {
	mayReport := func(isLive, holds bool) bool {
		s := newService()
		f := s.session.(*fakeServices)
		f.holdsLease = holds
		if isLive {
			f.session.Publish(sessionView("me.1", "me.1"))
		}
		return s.mayReportEnd(&jobView{verifiedAt: boottime.Now() - 2*maxReadAge})
	}
	must.True(t, mayReport(true, true))
	must.False(t, mayReport(true, false))
	must.False(t, mayReport(false, true))
}

// fakeServices implements the services that adopting a job needs.
type fakeServices struct {
	contract.TransactionalStore
	contract.WeightSwaps
	contract.Session
	catalog    *kernel.Snapshot[contract.CatalogView]
	session    *kernel.Snapshot[contract.SessionView]
	holdsLease bool
}

func (f *fakeServices) HoldsLease() bool                                { return f.holdsLease }
func (f *fakeServices) RecordDemand(contract.ModelDemand)               {}
func (f *fakeServices) Current() *kernel.Snapshot[contract.CatalogView] { return f.catalog }
func (f *fakeServices) View() *kernel.Snapshot[contract.SessionView]    { return f.session }
func (f *fakeServices) ReachedSince() (time.Time, bool)                 { return time.Now(), true }

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}

func newService() *service {
	f := &fakeServices{
		catalog: kernel.NewSnapshot(&contract.CatalogView{}),
		session: kernel.NewSnapshot(&contract.SessionView{}),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{
		ownerCache: make(map[string]ownerEntry), intake: noIntake{},
		store: f, swaps: f, session: f, catalog: f, log: logrus.NewEntry(log), loop: kernel.NewLoop(clockwork.NewFakeClock()),
		metrics: noMetrics{}, workers: kernel.NewWorkers(1), engines: make(map[structs.HostName]*engineState), ownedJobs: make(map[string]*job), earlyEnds: make(map[string]ownershipRecord),
	}
	s.broadcaster = broadcast.Broadcaster{Session: f, Workers: s.workers, Log: s.log}
	return s
}

func newAdoption(epoch uint64) adoption {
	return adoption{storedJob: storedJob{
		job: &batch.Job{ID: "job", Items: []batch.Item{{ID: "a"}}}, readAt: boottime.Now(),
		ownership: ownershipRecord{Ownership: batch.Ownership{Owner: "me", Epoch: epoch}},
	}}
}

// TestAdopt_EarlyEnd reports the end of a job to a daemon that is still reading
// it. No item of the job may run, unless the end belongs to an earlier epoch.
func TestAdopt_EarlyEnd(t *testing.T) {
	s := newService()
	s.endOwnedJob("job", ownershipRecord{Ownership: batch.Ownership{Owner: "me", Epoch: 2, Ended: true}, revision: 9})
	s.adopt(newAdoption(2))
	must.False(t, s.ownedJobs["job"].isOpen())
	s = newService()
	s.endOwnedJob("job", ownershipRecord{Ownership: batch.Ownership{Owner: "other", Epoch: 1, Ended: true}, revision: 3})
	s.adopt(newAdoption(2))
	must.True(t, s.ownedJobs["job"].isOpen())
}

// TestMayStartItems_StaleOwnership checks that items do not start on an
// outdated ownership check while the store is reachable.
func TestMayStartItems_StaleOwnership(t *testing.T) {
	s := newService()
	s.adopt(newAdoption(1))
	must.True(t, s.mayStartItems(s.ownedJobs["job"]))
	s.ownedJobs["job"].verifiedAt -= maxOwnershipAge
	must.False(t, s.mayStartItems(s.ownedJobs["job"]))
}

func TestFirstChunk_Size(t *testing.T) {
	big := batch.Result{Output: string(make([]byte, maxChunkBytes-1000))}
	must.Len(t, 1, firstChunk([]batch.Result{big, big}))
	must.Len(t, 1, firstChunk([]batch.Result{{Output: string(make([]byte, 2*maxChunkBytes))}}))
	must.Len(t, 2, firstChunk([]batch.Result{{Output: "a"}, {Output: "b"}}))
}

func TestAppendPart_Gap(t *testing.T) {
	texts := map[batch.ItemID]*contract.Text{}
	appendPart(texts, textPart{Item: "a", After: 0, Events: []string{"1", "2"}})
	appendPart(texts, textPart{Item: "a", After: 3, Events: []string{"4"}})
	must.Eq(t, 2, texts["a"].Last)
	appendPart(texts, textPart{Item: "a", After: 2, Events: []string{"3"}, Whole: true})
	must.Eq(t, []string{"1", "2", "3"}, texts["a"].Events)
	must.True(t, texts["a"].Whole)
	appendPart(texts, textPart{Item: "a", After: 0, Events: []string{"x"}})
	must.Eq(t, []string{"x"}, texts["a"].Events)
	must.False(t, texts["a"].Whole)
}

// TestEventsLeft_LongestOutput estimates the rest of texts whose hint exceeds the
// longest output that their request allows, or that have passed their hint.
func TestEventsLeft_LongestOutput(t *testing.T) {
	s := newService()
	j := &job{}
	estimate := func(hint, longest, made int) int {
		it := &item{Item: &batch.Item{LengthHint: hint * defaultTokensPerEvent, MaxOutputTokens: longest * defaultTokensPerEvent}, resumeOffset: made}
		return s.eventsLeft(j, it)
	}
	must.Eq(t, 150, estimate(234, 150, 0))
	must.Eq(t, 6, estimate(100, 186, 180))
	must.Eq(t, 1, estimate(100, 186, 185))
	// The bound does not hold for a text that has passed it.
	must.Eq(t, estimate(100, 0, 190), estimate(100, 186, 190))
	must.Greater(t, 186, estimate(234, 0, 0))
	must.Less(t, 150, estimate(30, 150, 0))
}

// panickingRunner ends the goroutine of each run as a panic does that the workers
// recover from.
type panickingRunner struct{ contract.Engines }

func (panickingRunner) Run(context.Context, contract.RunRequest, *contract.Progress) contract.RunResult {
	runtime.Goexit()
	return contract.RunResult{}
}

// TestStartRun_Panic runs an item on an engine whose response makes the run panic. The
// item must get an outcome, or it would count as running for good.
func TestStartRun_Panic(t *testing.T) {
	s := newService()
	s.engineRunner = panickingRunner{}
	outcomes := make(chan runOutcome, 1)
	s.runOutcomes = kernel.NewMailbox(s.loop, 1, func(outcome runOutcome) { outcomes <- outcome })
	ctx, cancel := context.WithCancel(t.Context())
	go s.loop.Run(ctx)
	defer func() {
		cancel()
		<-s.loop.Done()
		s.workers.Stop()
	}()
	j := &job{ctx: ctx}
	text := &contract.Text{}
	s.startRun(j, &item{Item: &batch.Item{ID: "a"}, text: text}, catalog.Server{ID: "engine"}, 1, time.Millisecond, time.Now())
	select {
	case outcome := <-outcomes:
		must.Eq(t, contract.RunInterrupted, outcome.result.Outcome)
		must.True(t, outcome.result.Text == text)
	case <-time.After(10 * time.Second):
		must.Unreachable(t, must.Sprint("the item has no outcome"))
	}
}

// TestHandleRewardOutcome_NoConfiguration judges an item at a daemon that has taken its
// job over and has not read the configuration. The item must not be given up.
func TestHandleRewardOutcome_NoConfiguration(t *testing.T) {
	s := newService()
	reward := &batch.RewardCall{ID: "reward", Host: "host", Path: "/path"}
	it := &item{Item: &batch.Item{ID: "a", Reward: reward}, phase: phaseJudging}
	j := &job{Job: batch.Job{ID: "job"}, items: []*item{it}, ctx: t.Context()}
	s.ownedJobs["job"] = j
	for range 5 {
		outcome := s.callReward(t.Context(), reward, nil, time.Now().Add(time.Second))
		must.ErrorIs(t, outcome.err, errNoConfiguration)
		outcome.job, outcome.item = "job", it
		s.handleRewardOutcome(outcome)
		must.Eq(t, phaseJudging, it.phase)
	}
	// An error of a server counts, but the limit of the route is not known.
	s.handleRewardOutcome(rewardOutcome{job: "job", item: it, failures: 1, err: errNoConfiguration})
	must.Eq(t, phaseJudging, it.phase)
	j.route.maxAttempts = 2
	s.handleRewardOutcome(rewardOutcome{job: "job", item: it, failures: 1, err: errNoConfiguration})
	must.Eq(t, phaseFinished, it.phase)
}

// TestPlaceItems_DiscardsMixedTexts checks that a whole text of two weight versions is
// not listed once its route allows one: the route was not known when the text began.
func TestPlaceItems_DiscardsMixedTexts(t *testing.T) {
	s := newService()
	now := time.Now()
	text := &contract.Text{Events: []string{"1", "2"}, Last: 2, Versions: []structs.WeightVersion{1, 2}, Version: 2, Whole: true}
	it := &item{Item: &batch.Item{ID: "a"}, text: text}
	// No item is placed while the route is missing.
	j := &job{Job: batch.Job{ID: "job"}, items: []*item{it}, submittedAt: now, routeRemovedAt: now}
	j.route = routeSettings{itemTTL: time.Minute, singleVersion: true}
	s.placeItems(j, now)
	must.Eq(t, phaseWaiting, it.phase)
	must.Eq(t, 0, it.text.Last)
}

// TestPlaceItems_EmptyTail guards against unfinished texts that are continued after events
// without data, which a faulty engine may have sent. Events before them are kept.
func TestPlaceItems_EmptyTail(t *testing.T) {
	const version = structs.WeightVersion(1)
	for name, c := range map[string]struct {
		text *contract.Text
		kept []string
	}{
		"only empty events": {&contract.Text{Events: []string{"", ""}, Last: 2, Versions: []structs.WeightVersion{version}}, nil},
		"after others":      {&contract.Text{Events: []string{"1", "", "3", "", ""}, Last: 5, Versions: []structs.WeightVersion{version}}, []string{"1", "", "3"}},
		"of two versions":   {&contract.Text{Events: []string{"1", ""}, Last: 2, Versions: []structs.WeightVersion{version, 2}}, nil},
		"whole":             {&contract.Text{Events: []string{"1", ""}, Last: 2, Versions: []structs.WeightVersion{version}, Whole: true}, []string{"1", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newService()
			now := time.Now()
			it := &item{Item: &batch.Item{ID: "a"}, text: c.text, resumeOffset: len(c.text.Events), checkpointOffset: len(c.text.Events)}
			// No item is placed while the route is missing.
			j := &job{Job: batch.Job{ID: "job"}, items: []*item{it}, submittedAt: now, routeRemovedAt: now}
			j.route = routeSettings{itemTTL: time.Minute}
			s.placeItems(j, now)
			must.Eq(t, c.kept, it.text.Events)
			must.Eq(t, uint64(len(c.kept)), it.text.Last)
			must.Eq(t, len(c.kept), it.resumeOffset)
			if !c.text.Whole {
				// The next checkpoint replaces the dropped events.
				must.Eq(t, 0, it.checkpointOffset)
			}
		})
	}
}
