package jobs

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// absenceTimeout is how long a daemon must be absent from the live daemons
	// before its jobs are looked for. A live daemon whose keys were deleted by
	// mistake writes them again sooner.
	absenceTimeout = 700 * time.Millisecond
	// scanRetryDelay is the delay before a failed scan is retried.
	scanRetryDelay = 2 * time.Second
	// sweepInterval is how often one daemon scans for jobs that were not taken
	// over because their successor failed as well.
	sweepInterval = 20 * time.Second
	// sweeperElection is the rendezvous hashing key that selects this daemon.
	sweeperElection = "orphaned jobs"
	// startSkew is the maximum difference in start time of daemons that count
	// as started together.
	startSkew = 500 * time.Millisecond
	// retentionFactor is multiplied with the required retention of results to
	// get the actual one.
	retentionFactor = 2
)

// takeoverMonitor scans for jobs whose owner is not live. A daemon takes back the
// jobs of earlier runs on its host. The jobs of a host that does not come back
// go to a successor that all daemons choose by the same rendezvous hashing.
// Unless noted otherwise, it belongs to the control goroutine.
type takeoverMonitor struct {
	service *service
	// lastLive holds the live daemons at the last tick, and missingSince those
	// that have disappeared since.
	lastLive     map[string]bool
	missingSince map[string]time.Time
	// nextScan is the time of the next scan; zero if none is due.
	nextScan    time.Time
	nextSweep   time.Time
	isScanning  bool
	scanResults *kernel.Mailbox[kernel.AsyncResult[int]]
}

func (m *takeoverMonitor) prepare(s *service) {
	m.service = s
	m.lastLive, m.missingSince = make(map[string]bool), make(map[string]time.Time)
	m.scanResults = kernel.NewMailbox(s.loop, 1, m.handleScan)
}

// reclaimOwnJobs takes over the jobs of earlier runs on this host, which have
// certainly ended.
func (m *takeoverMonitor) reclaimOwnJobs() {
	s := m.service
	m.isScanning = true
	kernel.RunAsync(s.workers, 0, m.scanResults, func(ctx context.Context) (int, error) {
		return s.takeOverOrphans(ctx, false, s.session.IsSuccessorOf)
	})
}

// handleScan applies the result of a scan.
func (m *takeoverMonitor) handleScan(reply kernel.AsyncResult[int]) {
	m.isScanning = false
	if m.nextScan = (time.Time{}); reply.Err != nil || reply.Value > 0 {
		m.nextScan = m.service.loop.Now().Add(scanRetryDelay)
	}
}

// tick detects absent daemons and starts scans for the jobs that go to this
// daemon.
func (m *takeoverMonitor) tick(now time.Time) {
	view := m.service.session.View().Load()
	for name := range m.lastLive {
		if _, ok := view.Live[name]; !ok {
			m.missingSince[name] = now
			delete(m.lastLive, name)
		}
	}
	for name := range view.Live {
		m.lastLive[name] = true
		delete(m.missingSince, name)
	}
	for name, since := range m.missingSince {
		if now.Sub(since) < absenceTimeout {
			continue
		}
		delete(m.missingSince, name)
		if m.isJobSuccessorOf(name, view) {
			m.nextScan = now
			m.service.log.WithField("daemon", name).Info("Daemon is gone; scanning for its batch jobs.")
		}
	}
	if m.isSweeper(view) && now.After(m.nextSweep) {
		m.nextScan, m.nextSweep = now, now.Add(sweepInterval)
	}
	isReliable := !view.AbsenceReliableFrom.IsZero() && now.After(view.AbsenceReliableFrom)
	if m.isScanning || m.service.isStopping || m.nextScan.IsZero() || now.Before(m.nextScan) || !isReliable {
		return
	}
	m.isScanning = true
	isSweep := m.isSweeper(view)
	kernel.RunAsync(m.service.workers, 0, m.scanResults, func(ctx context.Context) (int, error) {
		return m.service.takeOverOrphans(ctx, isSweep, func(owner string) bool {
			_, isLive := view.Live[owner]
			return !isLive && (isSweep || m.isJobSuccessorOf(owner, view)) || m.service.session.IsSuccessorOf(owner)
		})
	})
}

// isJobSuccessorOf reports whether this daemon takes over the jobs of a daemon
// that is gone. If another run is live on the same host, that run is the
// successor. It may be called from any goroutine.
func (m *takeoverMonitor) isJobSuccessorOf(name string, view *contract.SessionView) bool {
	if _, isLive := view.Live[view.Self.Name]; !isLive {
		return false
	}
	for other := range view.Live {
		if membership.SameHost(other, name) {
			return other == view.Self.Name
		}
	}
	return batch.RendezvousPick(name, jobHostNames(view)) == view.Self.Name
}

// jobHostNames returns the names of the live daemons that may own jobs, without those that
// are stopping unless all are.
func jobHostNames(view *contract.SessionView) []string {
	hosts := slices.Collect(maps.Keys(membership.JobHosts(view.Live)))
	if staying := filter(hosts, func(name string) bool { return !view.Live[name].IsStopping }); len(staying) > 0 {
		return staying
	}
	return hosts
}

// isSweeper reports whether this daemon scans for jobs that no successor has
// taken over.
func (m *takeoverMonitor) isSweeper(view *contract.SessionView) bool {
	_, isLive := view.Live[view.Self.Name]
	return isLive && batch.RendezvousPick(sweeperElection, jobHostNames(view)) == view.Self.Name
}

// takeOverOrphans takes over the open jobs whose owners are gone, and returns
// the number of takeovers that failed. If remindOwners is set, live owners are
// notified of their open jobs.
func (s *service) takeOverOrphans(ctx context.Context, remindOwners bool, isOwnerGone func(owner string) bool) (int, error) {
	listing, err := s.store.List(ctx, ownerPrefix)
	if err != nil {
		return 0, err
	}
	self := s.session.View().Load().Self.Name
	var group conc.WaitGroup
	var failed atomic.Int64
	for _, record := range listing.Records {
		var ownership ownershipRecord
		if err := decode(record, &ownership.Ownership); err != nil {
			s.log.WithError(err).Error("Could not decode an ownership record.")
			continue
		}
		ownership.revision = record.Revision
		id := strings.TrimPrefix(record.Key, ownerPrefix)
		switch {
		case ownership.Ended:
		case ownership.Owner == self:
			group.Go(func() { s.adoptOwnJob(ctx, id, self) })
		case isOwnerGone(ownership.Owner):
			group.Go(func() {
				if !s.takeOverJob(ctx, id, ownership, self) {
					failed.Add(1)
				}
			})
		case remindOwners:
			group.Go(func() { s.remindOwner(ctx, id, ownership) })
		}
	}
	group.Wait()
	return int(failed.Load()), nil
}

// takeOverJob makes this daemon the owner of a job whose owner is not live, and
// reports whether it succeeded.
func (s *service) takeOverJob(ctx context.Context, id string, old ownershipRecord, self string) bool {
	next := old.Ownership
	next.Owner, next.Epoch = self, old.Epoch+1
	var conditions []outside.Condition
	if !s.session.IsSuccessorOf(old.Owner) {
		// The list of live daemons may be outdated, and a daemon with a session
		// serves its jobs without asking the store.
		conditions = append(conditions, outside.Condition{Key: s.session.KeyOf(old.Owner)})
	}
	_, err := s.jobStore.swapOwnership(ctx, id, old, next, conditions...)
	log := s.log.WithFields(logrus.Fields{"job": id, "from": old.Owner, "epoch": next.Epoch})
	if err != nil {
		log.WithError(err).Info("Could not take over a batch job.")
		return false
	}
	log.Info("Batch job taken over.")
	s.adoptFromStore(ctx, id, self, nil)
	return true
}

// adoptFromStore adopts a job for which the store names this daemon as the
// owner. If texts is nil the earlier owner did not hand them over, and its
// checkpoints are read.
func (s *service) adoptFromStore(ctx context.Context, id, self string, texts map[batch.ItemID]*contract.Text) {
	ctx, cancel := context.WithTimeout(ctx, resolutionTimeout)
	defer cancel()
	retryBackoff := newRetryBackoff()
	for ctx.Err() == nil {
		stored, err := s.readForAdoption(ctx, id, texts)
		if errors.Is(err, errNotFound) || err == nil && stored.ownership.Owner != self {
			return
		}
		if err == nil {
			s.deliverAdoption(stored)
			return
		}
		select {
		case <-time.After(retryBackoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// readForAdoption reads the stored state of a job, and its checkpoints if texts
// is nil.
func (s *service) readForAdoption(ctx context.Context, id string, texts map[batch.ItemID]*contract.Text) (adoption, error) {
	a := adoption{texts: texts}
	group := pool.New().WithErrors().WithFirstError()
	group.Go(func() (err error) {
		a.storedJob, err = s.jobStore.readStoredJob(ctx, id)
		return err
	})
	if texts == nil {
		group.Go(func() (err error) {
			a.texts, err = s.jobStore.readTexts(ctx, id)
			return err
		})
	}
	return a, group.Wait()
}

// handover is a job that is handed over at a planned stop.
type handover struct {
	id        string
	ownership ownershipRecord
	texts     map[batch.ItemID]*contract.Text
}

// HandOver implements contract.Jobs.
func (s *service) HandOver(ctx context.Context) error {
	var handovers []handover
	if err := s.loopExecutor.Do(ctx, func() { handovers = s.prepareHandover() }); err != nil {
		return err
	}
	view := s.session.View().Load()
	successors := handoverCandidates(view)
	if len(handovers) > 0 && len(successors) == 0 {
		s.log.WithField("jobs", len(handovers)).Info("No other daemon is live; batch jobs remain with this host.")
		return nil
	}
	var group conc.WaitGroup
	for _, h := range handovers {
		group.Go(func() { s.handOverJob(ctx, h, batch.RendezvousPick(h.id, successors)) })
	}
	group.Wait()
	return nil
}

// handoverCandidates returns the daemons that may receive a job: those that may
// own jobs if there are others than this one, and of these the ones that started
// after this one, because a rolling restart has passed them. Daemons that are
// stopping as well are left out.
func handoverCandidates(view *contract.SessionView) []string {
	isOther := func(name string) bool { return name != view.Self.Name && !view.Live[name].IsStopping }
	isNewer := func(name string) bool { return startedAfter(name, membership.StartOf(view.Self.Name)) }
	candidates := filter(jobHostNames(view), isOther)
	if len(candidates) == 0 {
		candidates = filter(slices.Collect(maps.Keys(view.Live)), isOther)
	}
	if newer := filter(candidates, isNewer); len(newer) > 0 {
		return newer
	}
	return candidates
}

// startedAfter reports whether a daemon started clearly later than a time in
// nanoseconds.
func startedAfter(name string, start int64) bool {
	return membership.StartOf(name) > start+startSkew.Nanoseconds()
}

func filter(names []string, keep func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !keep(name) })
}

// prepareHandover stops the work on all jobs. It returns the jobs that are not
// ended and have incomplete logs, with all texts that no listed result holds.
func (s *service) prepareHandover() []handover {
	s.isStopping = true
	var handovers []handover
	for _, j := range s.ownedJobs {
		if !j.ownership.Ended && j.log.ResultCount() < len(j.items) {
			h := handover{id: j.ID, ownership: j.ownership, texts: make(map[batch.ItemID]*contract.Text)}
			for _, it := range j.items {
				if text := it.text.Clone(); text.Last > 0 && !it.isListed {
					h.texts[it.ID] = text
				}
			}
			handovers = append(handovers, h)
		}
		j.cancel(contract.CutStopping)
	}
	return handovers
}

func (s *service) handOverJob(ctx context.Context, h handover, successor string) {
	next := h.ownership.Ownership
	next.Owner, next.Epoch = successor, h.ownership.Epoch+1
	ownership, err := s.jobStore.swapOwnership(ctx, h.id, h.ownership, next)
	if err != nil {
		ownership, err = s.retryHandover(ctx, h, next)
	}
	log := s.log.WithFields(logrus.Fields{"job": h.id, "to": successor, "epoch": next.Epoch})
	if err != nil {
		log.WithError(err).Warn("Could not hand over a batch job.")
		return
	}
	log.Info("Batch job handed over.")
	s.rememberOwner(h.id, ownership)
	if err := s.loopExecutor.Do(ctx, func() { s.dropHandedOver(h) }); err != nil {
		log.WithError(err).Info("Could not drop a batch job that was handed over.")
	}
	if address := s.addressOf(successor); address != "" {
		var reply struct{}
		if err := s.callPeer(ctx, address, "Adopt", AdoptRPC{ID: h.id, Texts: h.texts}, &reply, 0); err != nil {
			log.WithError(err).Info("Could not notify the successor of a batch job.")
		}
	}
}

// dropHandedOver drops a job that another daemon owns now, so that reads of its results
// which wait here are passed on. It runs on the control goroutine.
func (s *service) dropHandedOver(h handover) {
	if j := s.ownedJobs[h.id]; j != nil && j.ownership.Epoch == h.ownership.Epoch {
		s.dropJob(j, "it was handed over")
	}
}

// errNotHandedOver is returned when a job at a planned stop has another owner or
// was ended.
var errNotHandedOver = errors.New("jobs: job was ended or has another owner")

// retryHandover hands a job over after the first write failed: a result was listed
// or the job was ended since the ownership record was read, or the reply of the
// store was lost.
func (s *service) retryHandover(ctx context.Context, h handover, next batch.Ownership) (ownershipRecord, error) {
	ownership, err := s.jobStore.readOwnership(ctx, h.id)
	switch {
	case err != nil:
		return ownership, err
	case ownership.Ownership == next:
		return ownership, nil
	case ownership.Owner != h.ownership.Owner || ownership.Ended:
		return ownership, errNotHandedOver
	}
	return s.jobStore.swapOwnership(ctx, h.id, ownership, next)
}

// removeExpired deletes a job whose results need no longer be kept.
func (s *service) removeExpired(j *job, now time.Time) {
	if j.isCommitting || now.Sub(j.submittedAt) < retentionFactor*s.config.Platform.ResultsKept || j.isOpen() {
		return
	}
	s.dropJob(j, "its results need no longer be kept")
	id, ownership, log := j.ID, j.ownership, j.log.Log
	s.workers.Go(func(ctx context.Context) {
		if err := s.jobStore.remove(ctx, id, ownership, log); err != nil {
			s.log.WithError(err).WithField("job", id).Warn("Could not remove an expired batch job.")
		}
	})
}
