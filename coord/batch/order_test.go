package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func orderOf(jobs ...Standing) string {
	Order(jobs)
	ids := ""
	for _, job := range jobs {
		ids += job.ID
	}
	return ids
}

// TestOrder checks that jobs are served by deadline and rank, and that many jobs of one
// workspace which are due earlier do not starve another one.
func TestOrder(t *testing.T) {
	due := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	must.Eq(t, "cab", orderOf(
		Standing{ID: "a", Deadline: due(2), Waiting: 9}, Standing{ID: "b", Deadline: due(2), Priority: 1, Running: 5}, Standing{ID: "c", Deadline: due(1), Waiting: 9}))
	large := []Standing{
		{ID: "a", Workspace: "large", Deadline: due(1), Running: 40, Waiting: 60}, {ID: "b", Workspace: "large", Deadline: due(2), Running: 40, Waiting: 60},
	}
	must.Eq(t, "sab", orderOf(append(large, Standing{ID: "s", Workspace: "small", Deadline: due(9), Running: 1, Waiting: 19})...))
	must.Eq(t, "abs", orderOf(append(large, Standing{ID: "s", Workspace: "small", Deadline: due(9), Running: 3, Waiting: 17})...))
}
