// Package jobs implements the service "traffic.jobs": it accepts batch jobs,
// runs their items on model engines, has the generated texts scored and lists
// the results.
//
// All durable state is in the platform's store: the submitted job, its
// ownership record and an append-only log of results. The control goroutine
// owns the state of the jobs that this daemon runs. Streams, calls to the store
// and callers' requests run in goroutines of their own.
package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/coord/scaling"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/broadcast"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameJobs, func() kernel.Service {
		return &service{
			ownedJobs: make(map[string]*job), engines: make(map[structs.HostName]*engineState), ownerCache: make(map[string]ownerEntry),
			earlyEnds: make(map[string]ownershipRecord), departures: make(map[structs.HostName]scaling.Departure),
		}
	})
}

// mailboxCapacity bounds the queued messages of each kind.
const mailboxCapacity = 4096

type service struct {
	kernel.Base
	config       config.Daemon
	store        contract.TransactionalStore
	session      contract.Session
	catalog      contract.Catalog
	servers      contract.Servers
	engineRunner contract.Engines
	dispatch     contract.Dispatch
	peers        contract.Peers
	swaps        contract.WeightSwaps
	paces        contract.EnginePaces
	fleet        contract.FleetSize
	limits       contract.ServerLimits
	shutdown     contract.Shutdown
	metrics      contract.Metrics
	intake       contract.Intake
	log          *logrus.Entry
	loop         *kernel.Loop
	workers      *kernel.Workers
	loopExecutor *kernel.LoopExecutor
	jobStore     *jobStore
	// selectionSalt makes daemons choose differently among equally good
	// engines.
	selectionSalt uint64
	broadcaster   broadcast.Broadcaster

	adoptions          *kernel.Mailbox[adoption]
	runOutcomes        *kernel.Mailbox[runOutcome]
	rewardOutcomes     *kernel.Mailbox[rewardOutcome]
	commitOutcomes     *kernel.Mailbox[commitOutcome]
	ownershipChecks    *kernel.Mailbox[ownershipCheck]
	checkpointOutcomes *kernel.Mailbox[checkpointOutcome]
	earlierTexts       *kernel.Mailbox[earlierTexts]
	runReports         *kernel.Mailbox[RunsRPC]

	// The following fields belong to the control goroutine.
	ownedJobs            map[string]*job
	engines              map[structs.HostName]*engineState
	isPlacementScheduled bool
	isStopping           bool
	takeover             takeoverMonitor
	// departures holds the servers that said when they leave.
	departures map[structs.HostName]scaling.Departure
	// sharedRuns holds the runs of other owners, and sharing what they know of the runs
	// of this daemon.
	sharedRuns placement.SharedRuns
	sharing    runSharing
	// earlyEnds holds the ownership records of jobs whose end was reported
	// before they were adopted here.
	earlyEnds map[string]ownershipRecord

	// isQuiesced is set at a planned stop, before the requests in flight have
	// ended.
	isQuiesced atomic.Bool
	// jobViews gives other goroutines the logs of the owned jobs, as
	// *kernel.Snapshot[jobView] by job ID.
	jobViews sync.Map
	// reconciling holds the IDs of the jobs whose ownership is being checked because
	// another daemon considers this one the owner.
	reconciling sync.Map
	// ownerCache holds the last known ownership records of jobs.
	ownerCacheMu sync.Mutex
	ownerCache   map[string]ownerEntry
}

var _ contract.Jobs = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.store, contract.NameTransactionalStore),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.engineRunner, contract.NameEngines),
		kernel.Bind(&s.dispatch, contract.NameDispatch),
		kernel.Bind(&s.peers, contract.NamePeers),
		kernel.Bind(&s.swaps, contract.NameWeightSwaps),
		kernel.Bind(&s.paces, contract.NameEnginePaces),
		kernel.Bind(&s.fleet, contract.NameFleetSize),
		kernel.Bind(&s.limits, contract.NameServerLimits),
		kernel.Bind(&s.shutdown, contract.NameShutdown),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.intake, contract.NameIntake),
	)
	if err != nil {
		return err
	}
	s.swaps.OnEngineWeights(s.handleEngineWeights)
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	s.log, s.loop, s.workers, s.loopExecutor = ctx.Log(), ctx.Loop(), ctx.Workers(), kernel.NewLoopExecutor(ctx.Loop())
	s.jobStore = newJobStore(s.store)
	s.broadcaster = broadcast.Broadcaster{Session: s.session, Peers: s.peers, Workers: s.workers, Log: s.log, Timeout: earlierTextsTimeout}
	s.selectionSalt = xxhash.Sum64String(s.session.View().Load().Self.Name)
	s.adoptions = kernel.NewMailbox(s.loop, mailboxCapacity, s.adopt)
	s.runOutcomes = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleRunOutcome)
	s.rewardOutcomes = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleRewardOutcome)
	s.commitOutcomes = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleCommit)
	s.ownershipChecks = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleOwnershipCheck)
	s.checkpointOutcomes = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleCheckpoint)
	s.earlierTexts = kernel.NewMailbox(s.loop, mailboxCapacity, s.applyEarlierTexts)
	s.runReports = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleRunsReport)
	s.takeover.prepare(s)
	if !s.config.Platform.FirstStart {
		s.loop.AfterFunc(0, s.takeover.reclaimOwnJobs)
	}
	s.loop.AfterFunc(tickInterval, s.tick)
	s.loop.AfterFunc(loadInterval, s.reportLoad)
	return rpc.Register(rpcName, &Receiver{service: s})
}

// Start implements kernel.Service.
func (s *service) Start() error {
	kernel.Subscribe(s.loop, s.workers, s.catalog.Current(), s.catalogChanged)
	kernel.Subscribe(s.loop, s.workers, s.servers.Entries(), s.serversChanged)
	return nil
}

func (s *service) catalogChanged(*contract.CatalogView) {
	for _, j := range s.ownedJobs {
		s.updateRoute(j)
	}
	s.schedulePlacement()
}

// job is a batch job that this daemon owns.
type job struct {
	batch.Job
	route routeSettings
	// routeRemovedAt is when a configuration without the route came into force; zero
	// while there is a route.
	routeRemovedAt time.Time
	submittedAt    time.Time
	ownership      ownershipRecord
	log            logRecord
	items          []*item
	// stepEvents estimates the events of all items; zero until it is needed.
	stepEvents float64
	// pendingResults are finished and not yet in the log.
	pendingResults []batch.Result
	pendingSince   time.Time
	isCommitting   bool
	// verifiedAt is when the store last confirmed that this daemon owns the job
	// and that it is not ended. isCheckingOwnership is set while a check is in
	// progress.
	verifiedAt          time.Duration
	isCheckingOwnership bool
	// lastCheckpointAt is when the last checkpoint began, isCheckpointing is
	// set while one is written, and checkpointCount counts the checkpoints of
	// this epoch.
	lastCheckpointAt time.Time
	isCheckpointing  bool
	checkpointCount  int
	moveBudget       placement.MoveBudget
	// endedAt is when the job was ended; zero while it is open and after its
	// texts were released.
	endedAt time.Time
	view    *kernel.Snapshot[jobView]
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// jobView is an immutable snapshot of a job's log.
type jobView struct {
	itemCount int
	workspace structs.WorkspaceName
	results   []batch.Result
	isEnded   bool
	// verifiedAt is when the store last confirmed that the log is no longer
	// than this, by a clock that includes suspension.
	verifiedAt time.Duration
	// isLost is set when another daemon has taken over the job.
	isLost bool
}

// isOpen reports whether the job has unfinished items and is not ended.
func (j *job) isOpen() bool {
	return !j.ownership.Ended && j.log.ResultCount()+len(j.pendingResults) < len(j.items)
}

// phase is the stage of an item.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseJudging
	phaseFinished
)

// adoption passes a job to the control goroutine.
type adoption struct {
	storedJob
	// texts are the unfinished texts of an earlier owner; nil if they were not
	// read.
	texts map[batch.ItemID]*contract.Text
}

// adopt makes this daemon run a job. If it does already, because it learned of its
// ownership before the earlier owner could hand the texts over, only those are added.
func (s *service) adopt(a adoption) {
	if _, isOwned := s.ownedJobs[a.job.ID]; isOwned {
		s.applyEarlierTexts(earlierTexts{id: a.job.ID, epoch: a.ownership.Epoch, texts: a.texts})
		return
	}
	if ownership, ok := s.earlyEnds[a.job.ID]; ok && ownership.Epoch >= a.ownership.Epoch {
		a.ownership = ownership
	}
	delete(s.earlyEnds, a.job.ID)
	j := &job{
		Job: *a.job, ownership: a.ownership, log: a.log,
		submittedAt: time.UnixMilli(a.ownership.Submitted), verifiedAt: a.readAt, lastCheckpointAt: s.loop.Now(),
	}
	j.ctx, j.cancel = context.WithCancelCause(context.Background())
	s.updateRoute(j)
	listed := make(map[batch.ItemID]bool, len(a.results))
	for _, result := range a.results {
		listed[result.ID] = true
	}
	for _, index := range batch.LongestFirst(j.Items) {
		it := &item{Item: &j.Items[index], text: &contract.Text{}, waitingSince: s.loop.Now()}
		if text := a.texts[it.ID]; text != nil && (text.Last == 0 || j.AcceptsVersions(text.Versions, j.route.singleVersion)) {
			it.text, it.resumeOffset = text, len(text.Events)
		}
		if listed[it.ID] {
			it.phase, it.isListed = phaseFinished, true
		}
		j.items = append(j.items, it)
	}
	j.view = kernel.NewSnapshot(&jobView{itemCount: len(j.items), workspace: j.Workspace, results: a.results, isEnded: a.ownership.Ended, verifiedAt: j.verifiedAt})
	s.swaps.RecordDemand(contract.ModelDemand{Model: j.Model, Size: estimatedTokens(&j.Job)})
	s.ownedJobs[j.ID] = j
	s.intake.HoldWork(workBytes(&j.Job))
	if a.texts == nil && len(a.results) == 0 {
		s.requestEarlierTexts(j)
	}
	s.announceOwner(j)
	s.jobViews.Store(j.ID, j.view)
	s.log.WithFields(logrus.Fields{
		"job": j.ID, "epoch": j.ownership.Epoch, "model": j.Model, "step": j.Step, "min_version": j.MinVersion,
		"items": len(j.items), "listed": len(a.results), "texts": len(a.texts),
	}).Info("Batch job adopted.")
	s.schedulePlacement()
}

// estimatedTokens estimates the length of a job's outputs in tokens.
func estimatedTokens(job *batch.Job) float64 {
	size := 0
	for i := range job.Items {
		size += max(1, job.Items[i].LengthHint)
	}
	return float64(size)
}

// dropJob removes a job that this daemon no longer owns or keeps.
func (s *service) dropJob(j *job, why string) {
	s.log.WithFields(logrus.Fields{"job": j.ID, "epoch": j.ownership.Epoch, "why": why}).Info("Batch job dropped.")
	j.cancel(contract.CutOwnerChanged)
	delete(s.ownedJobs, j.ID)
	s.intake.HoldWork(-workBytes(&j.Job))
	s.jobViews.Delete(j.ID)
	last := *j.view.Load()
	last.isLost = true
	j.view.Publish(&last)
}

// markEnded stops the work on a job that was ended. Its texts are kept for
// later jobs.
func (s *service) markEnded(j *job, ownership ownershipRecord) {
	j.ownership, j.endedAt = ownership, s.loop.Now()
	j.cancel(contract.CutJobEnded)
	j.pendingResults = nil
	next := *j.view.Load()
	next.isEnded = true
	j.view.Publish(&next)
	s.log.WithField("job", j.ID).WithField("listed", len(next.results)).Info("Batch job ended.")
	s.offerTexts(j)
}

// Stop implements kernel.Service. It hands over the open jobs that this daemon still
// owns, if that leaves time for the services that stop later.
func (s *service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, s.shutdown.Schedule().CloseAt)
	defer cancel()
	if ctx.Err() != nil {
		return nil
	}
	return s.HandOver(ctx)
}
