package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// sharedRunsTTL is how long the runs that another owner reported count: two lost
	// reports do not hide them, and those of an owner that is gone do not stay.
	sharedRunsTTL = 1500 * time.Millisecond
	// RunsRefreshInterval is the interval at which an owner reports unchanged runs.
	RunsRefreshInterval = 500 * time.Millisecond
	// minRunsInterval is the shortest interval between two reports.
	minRunsInterval = 20 * time.Millisecond
	// runsEntryTime is the additional interval for each engine in a report of about 16
	// bytes an engine, which bounds what an owner sends to each other one to 10 KB a
	// second.
	runsEntryTime = 1600 * time.Microsecond
	// maxReportedEngines bounds the engines in a report. Those with the most runs are
	// reported.
	maxReportedEngines = 256
)

// EngineRuns is the number of runs of an owner on an engine. It crosses net/rpc under the
// names of its fields.
type EngineRuns struct {
	Server structs.HostName
	Runs   int
}

// ReportedRuns returns what an owner reports of its runs: the engines with the most runs.
func ReportedRuns(runs []EngineRuns) []EngineRuns {
	reported := slices.DeleteFunc(slices.Clone(runs), func(r EngineRuns) bool { return r.Runs <= 0 })
	slices.SortFunc(reported, func(a, b EngineRuns) int {
		return cmp.Or(cmp.Compare(b.Runs, a.Runs), cmp.Compare(a.Server, b.Server))
	})
	return reported[:min(len(reported), maxReportedEngines)]
}

// RunsInterval returns the interval from a report on a number of engines to the next one.
func RunsInterval(engines int) time.Duration {
	return minRunsInterval + time.Duration(engines)*runsEntryTime
}

// SharedRuns holds the runs of the other owners of batch jobs on the engines, as they
// reported them. It answers the load of trainers whose steps are asked at the same time
// and run on the same engines: without it each owner fills all slots of the fastest ones.
// An owner that does not report counts as one without runs. The zero value is ready for
// use.
type SharedRuns struct {
	owners map[string]ownerRuns
}

type ownerRuns struct {
	runs       map[structs.HostName]int
	reportedAt time.Time
}

// Report replaces the runs of another owner.
func (s *SharedRuns) Report(owner string, runs []EngineRuns, now time.Time) {
	if s.owners == nil {
		s.owners = make(map[string]ownerRuns)
	}
	byServer := make(map[structs.HostName]int, len(runs))
	for _, r := range runs {
		byServer[r.Server] = r.Runs
	}
	s.owners[owner] = ownerRuns{runs: byServer, reportedAt: now}
	for name, known := range s.owners {
		if now.Sub(known.reportedAt) > sharedRunsTTL {
			delete(s.owners, name)
		}
	}
}

// Others returns the runs of the other owners on an engine.
func (s *SharedRuns) Others(server structs.HostName, now time.Time) int {
	sum := 0
	for _, known := range s.owners {
		if now.Sub(known.reportedAt) <= sharedRunsTTL {
			sum += known.runs[server]
		}
	}
	return sum
}

// HomeModel returns the model whose items a shared engine takes first, among the models of
// which it runs usable weights: the owners choose the same one without asking each other,
// so that steps that are asked at the same moment begin on unlike engines. It returns ""
// if there are none.
func HomeModel(server structs.HostName, models []structs.ServiceName) structs.ServiceName {
	var home structs.ServiceName
	var highest uint64
	for _, model := range models {
		if hash := rendezvousHash(server, model); home == "" || hash > highest {
			home, highest = model, hash
		}
	}
	return home
}
