// Package jobs is the service "traffic.jobs": it accepts batch jobs, runs their
// items on model engines, has the texts judged and lists the results.
//
// All that must last lies in the platform's store: what was submitted, who owns
// the job, and a log of results that only grows. The control goroutine owns the
// state of the jobs that this daemon runs; streams, calls to the store and
// callers' requests have goroutines of their own.
package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/broadcast"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameJobs, func() kernel.Service {
		return &service{
			owned: make(map[string]*job), engines: make(map[structs.HostName]*engine), owners: make(map[string]ownerEntry),
			endedEarly: make(map[string]ownRecord),
		}
	})
}

// mailboxCapacity bounds the messages of each kind that wait for the loop.
const mailboxCapacity = 4096

type service struct {
	kernel.Base
	config  config.Daemon
	ledger  contract.TransactionalStore
	session contract.Session
	catalog contract.Catalog
	servers contract.Servers
	runner  contract.Engines
	sender  contract.Dispatch
	peers   contract.Peers
	swaps   contract.WeightSwaps
	paces   contract.EnginePaces
	metrics contract.Metrics
	log     *logrus.Entry
	loop    *kernel.Loop
	workers *kernel.Workers
	calls   *kernel.LoopExecutor
	keeper  *keeper
	// salt tells the daemons apart where they would all choose alike.
	salt   uint64
	others broadcast.Broadcaster

	adoptions   *kernel.Mailbox[adoption]
	runs        *kernel.Mailbox[runEnded]
	judged      *kernel.Mailbox[judgement]
	committed   *kernel.Mailbox[commitEnded]
	verdicts    *kernel.Mailbox[verdict]
	checkpoints *kernel.Mailbox[checkpointed]
	carries     *kernel.Mailbox[carried]

	// What follows belongs to the control goroutine.
	owned     map[string]*job
	engines   map[structs.HostName]*engine
	scheduled bool
	stopping  bool
	heirs     heirs
	// endedEarly holds ends that came before their jobs were adopted here.
	endedEarly map[string]ownRecord

	// quiesced is set at a planned stop, before the requests in flight end.
	quiesced atomic.Bool
	// views gives traffic goroutines the logs of the owned jobs.
	views sync.Map
	// owners remembers where other daemons' jobs are.
	ownersMu sync.Mutex
	owners   map[string]ownerEntry
}

var _ contract.Jobs = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.ledger, contract.NameTransactionalStore),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.runner, contract.NameEngines),
		kernel.Bind(&s.sender, contract.NameDispatch),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.swaps, contract.NameWeightSwaps),
		kernel.Bind(&s.paces, contract.NameEnginePaces),
		kernel.Bind(&s.metrics, contract.NameMetrics),
	)
	if err != nil {
		return err
	}
	s.swaps.OnEngineWeights(s.engineNews)
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.log, s.loop, s.workers, s.calls = ctx.Log(), ctx.Loop(), ctx.Workers(), kernel.NewLoopExecutor(ctx.Loop())
	s.keeper = newKeeper(s.ledger)
	s.others = broadcast.Broadcaster{Session: s.session, Peers: s.peers, Workers: s.workers, Log: s.log, Timeout: carryWithin}
	s.salt = xxhash.Sum64String(s.session.View().Load().Self.Name)
	s.adoptions = kernel.NewMailbox(s.loop, mailboxCapacity, s.adopt)
	s.runs = kernel.NewMailbox(s.loop, mailboxCapacity, s.runEnded)
	s.judged = kernel.NewMailbox(s.loop, mailboxCapacity, s.judgementCame)
	s.committed = kernel.NewMailbox(s.loop, mailboxCapacity, s.commitCame)
	s.verdicts = kernel.NewMailbox(s.loop, mailboxCapacity, s.verdictCame)
	s.checkpoints = kernel.NewMailbox(s.loop, mailboxCapacity, s.checkpointCame)
	s.carries = kernel.NewMailbox(s.loop, mailboxCapacity, s.carry)
	s.heirs.prepare(s)
	s.loop.AfterFunc(0, s.heirs.begin)
	s.loop.AfterFunc(tickEvery, s.tick)
	return rpc.Register(rpcName, &Receiver{service: s})
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.catalog.Current(), s.catalogChanged)
	kernel.Subscribe(s.loop, s.workers, s.servers.Entries(), s.serversChanged)
	return nil
}

func (s *service) catalogChanged(*contract.CatalogView) {
	for _, j := range s.owned {
		s.setTerms(j)
	}
	s.wake()
}

// job is a batch job that this daemon owns.
type job struct {
	batch.Job
	terms     terms
	submitted time.Time
	own       ownRecord
	log       logRecord
	items     []*item
	// pending results are finished and not yet in the log.
	pending      []batch.Result
	pendingSince time.Time
	committing   bool
	// verified is when the store last said that the job is owned here and not
	// ended, and verifying is set while it is asked.
	verified  time.Duration
	verifying bool
	// checkpointed is when the texts were kept last, checkpointing is set while
	// they are, and checkpoints counts those of this epoch.
	checkpointed  time.Time
	checkpointing bool
	checkpoints   int
	// endedAt is when the job was ended, while its texts are kept for others.
	endedAt time.Time
	view    *kernel.Snapshot[jobView]
	ctx     context.Context
	cancel  context.CancelFunc
}

// jobView is the immutable snapshot of a job's log.
type jobView struct {
	total   int
	results []batch.Result
	ended   bool
	// verified is when the store last said that the log is no longer than this,
	// by the clock that goes on in suspension.
	verified time.Duration
	// lost is set when another daemon has taken the job over.
	lost bool
}

// open reports whether the job still has work.
func (j *job) open() bool { return !j.own.Ended && j.log.ResultCount()+len(j.pending) < len(j.items) }

// phase is how far an item has come.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseJudging
	phaseFinished
)

// adoption hands a job to the control goroutine.
type adoption struct {
	kept
	// texts are what an earlier owner held of unfinished items.
	texts map[batch.ItemID]*contract.GeneratedText
}

// adopt begins to run a job.
func (s *service) adopt(a adoption) {
	if _, known := s.owned[a.job.ID]; known {
		return
	}
	if own, ok := s.endedEarly[a.job.ID]; ok && own.Epoch >= a.own.Epoch {
		a.own = own
	}
	delete(s.endedEarly, a.job.ID)
	j := &job{
		Job: *a.job, own: a.own, log: a.log,
		submitted: time.UnixMilli(a.own.Submitted), verified: a.read, checkpointed: s.loop.Now(),
	}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	s.setTerms(j)
	listed := make(map[batch.ItemID]bool, len(a.results))
	for _, result := range a.results {
		listed[result.ID] = true
	}
	for _, index := range batch.LongestFirst(j.Items) {
		it := &item{Item: &j.Items[index], text: &contract.GeneratedText{}}
		if held := a.texts[it.ID]; held != nil && (held.Last == 0 || j.AcceptsVersions(held.Versions, j.terms.single)) {
			it.text, it.held = held, len(held.Events)
		}
		if listed[it.ID] {
			it.phase, it.listed = phaseFinished, true
		}
		j.items = append(j.items, it)
	}
	j.view = kernel.NewSnapshot(&jobView{total: len(j.items), results: a.results, ended: a.own.Ended, verified: j.verified})
	s.swaps.RecordDemand(contract.ModelDemand{Model: j.Model, Size: sizeOf(&j.Job)})
	s.owned[j.ID] = j
	if a.texts == nil && len(a.results) == 0 {
		s.askCarried(j)
	} else {
		s.others.Notify(rpcName+".Owned", ownedOf(j.ID, j.own))
	}
	s.views.Store(j.ID, j.view)
	s.log.WithFields(logrus.Fields{
		"job": j.ID, "epoch": j.own.Epoch, "model": j.Model, "step": j.Step, "min_version": j.MinVersion,
		"items": len(j.items), "listed": len(a.results), "texts": len(a.texts),
	}).Info("A batch job is owned here.")
	s.wake()
}

// sizeOf is what a job asks for, in tokens.
func sizeOf(job *batch.Job) float64 {
	size := 0
	for i := range job.Items {
		size += max(1, job.Items[i].LengthHint)
	}
	return float64(size)
}

// drop forgets a job that another daemon owns now.
func (s *service) drop(j *job, why string) {
	s.log.WithFields(logrus.Fields{"job": j.ID, "epoch": j.own.Epoch, "why": why}).Info("A batch job is no longer owned here.")
	j.cancel()
	delete(s.owned, j.ID)
	s.views.Delete(j.ID)
	last := *j.view.Load()
	last.lost = true
	j.view.Publish(&last)
}

// ended takes in that a job was ended.
func (s *service) ended(j *job, own ownRecord) {
	j.own, j.endedAt = own, s.loop.Now()
	j.cancel()
	j.pending = nil
	next := *j.view.Load()
	next.ended = true
	j.view.Publish(&next)
	s.log.WithField("job", j.ID).WithField("listed", len(next.results)).Info("A batch job was ended.")
}

// Stop implements kernel.Service: it hands the jobs over.
func (s *service) Stop(ctx context.Context) error { return s.handOver(ctx) }
