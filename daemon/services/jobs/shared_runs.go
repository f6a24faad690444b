package jobs

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/placement"
)

const (
	// knownOwnerTTL is how long a daemon that reported runs gets each report. The others
	// that may own jobs get one at each announceInterval.
	knownOwnerTTL    = 10 * time.Second
	announceInterval = time.Second
)

// RunsRPC reports the runs of an owner on the engines. It replaces the last one.
type RunsRPC struct {
	Owner string
	Runs  []placement.EngineRuns
}

// Runs records the runs of another owner.
func (r *Receiver) Runs(report RunsRPC, _ *struct{}) error {
	return r.service.runReports.Post(report)
}

// runSharing is what the control goroutine knows for sharing runs with other owners.
type runSharing struct {
	// owners holds when other daemons last reported runs.
	owners      map[string]time.Time
	reported    []placement.EngineRuns
	reportedAt  time.Time
	announcedAt time.Time
	isScheduled bool
}

// handleRunsReport applies the report of another owner. Items may have waited for the slots that
// are free now.
func (s *service) handleRunsReport(report RunsRPC) {
	now := s.loop.Now()
	if s.sharing.owners == nil {
		s.sharing.owners = make(map[string]time.Time)
	}
	s.sharing.owners[report.Owner] = now
	s.sharedRuns.Report(report.Owner, report.Runs, now)
	s.schedulePlacement()
}

// runsChanged schedules a report of this daemon's runs to the other owners.
func (s *service) runsChanged() {
	if s.sharing.isScheduled {
		return
	}
	s.sharing.isScheduled = true
	next := s.sharing.reportedAt.Add(placement.RunsInterval(len(s.sharing.reported)))
	s.loop.AfterFunc(max(0, next.Sub(s.loop.Now())), s.reportRuns)
}

// refreshRuns reports unchanged runs again, so that the other owners do not forget them.
func (s *service) refreshRuns(now time.Time) {
	if len(s.sharing.reported) > 0 && now.Sub(s.sharing.reportedAt) >= placement.RunsRefreshInterval {
		s.runsChanged()
	}
}

// reportRuns sends the runs of this daemon to the other owners. A lost report is made up
// for by the next one.
func (s *service) reportRuns() {
	s.sharing.isScheduled = false
	var runs []placement.EngineRuns
	for id, state := range s.engines {
		runs = append(runs, placement.EngineRuns{Server: id, Runs: state.localItems})
	}
	now := s.loop.Now()
	reported := placement.ReportedRuns(runs)
	if slices.Equal(reported, s.sharing.reported) && now.Sub(s.sharing.reportedAt) < placement.RunsRefreshInterval {
		return
	}
	s.sharing.reported, s.sharing.reportedAt = reported, now
	isAnnounced := now.Sub(s.sharing.announcedAt) >= announceInterval
	if isAnnounced {
		s.sharing.announcedAt = now
	}
	report := RunsRPC{Owner: s.session.View().Load().Self.Name, Runs: reported}
	notify := s.broadcaster.Notification(rpcName+".Runs", report)
	known := s.knownOwners(now)
	s.broadcaster.EachJobHostIf(func(member membership.Member) bool {
		return member.SharesRuns && (isAnnounced || known[member.Name])
	}, notify)
}

// knownOwners returns the daemons that reported runs lately.
func (s *service) knownOwners(now time.Time) map[string]bool {
	known := make(map[string]bool, len(s.sharing.owners))
	for name, at := range s.sharing.owners {
		if now.Sub(at) > knownOwnerTTL {
			delete(s.sharing.owners, name)
			continue
		}
		known[name] = true
	}
	return known
}
