package batch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// starvedPart is the part of the mean below which a workspace's work is served first.
const starvedPart = 0.25

// Standing is where a job stands among the open jobs of a daemon.
type Standing struct {
	ID        string
	Workspace structs.WorkspaceName
	// Priority is the rank of the job; zero is the highest.
	Priority int
	Deadline time.Time
	// Running and Waiting are the work of the items that run and that wait for an engine,
	// in tokens of output.
	Running, Waiting int
}

// Order sorts jobs into the order in which they get engines that come free: by deadline,
// then by rank. It answers the load of more items than engines have room for, from
// workspaces of which a few are large: a workspace of whose work less than a quarter as
// much runs as of all work comes first, however many jobs of others are due before its own.
func Order(jobs []Standing) {
	var all work
	byWorkspace := make(map[structs.WorkspaceName]work)
	for _, job := range jobs {
		all = all.plus(job)
		byWorkspace[job.Workspace] = byWorkspace[job.Workspace].plus(job)
	}
	starved := make(map[structs.WorkspaceName]int, len(byWorkspace))
	for name, own := range byWorkspace {
		if own.runningPart() < starvedPart*all.runningPart() {
			starved[name] = -1
		}
	}
	slices.SortFunc(jobs, func(a, b Standing) int {
		return cmp.Or(
			cmp.Compare(starved[a.Workspace], starved[b.Workspace]), a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.Priority, b.Priority), strings.Compare(a.ID, b.ID),
		)
	})
}

type work struct{ running, waiting int }

func (w work) plus(job Standing) work { return work{w.running + job.Running, w.waiting + job.Waiting} }

func (w work) runningPart() float64 { return float64(w.running) / float64(max(1, w.running+w.waiting)) }
