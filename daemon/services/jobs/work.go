package jobs

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/result"
)

const (
	// itemBytes is the memory of an item of a job besides its texts.
	itemBytes = 512
	// workRetryAfter is when a daemon without room for a job may have some again.
	workRetryAfter = time.Second
)

// workBytes returns the memory of a job while it is owned, in bytes, without the texts that
// engines generate.
func workBytes(job *batch.Job) int64 {
	size := 0
	for i := range job.Items {
		it := &job.Items[i]
		size += itemBytes + len(it.ID) + len(it.Path) + len(it.Body) + len(it.Group)
		for name, value := range it.Headers {
			size += len(name) + len(value)
		}
		if it.Reward != nil {
			size += len(it.Reward.ID) + len(it.Reward.Host) + len(it.Reward.Path) + len(it.Reward.Body)
		}
	}
	return int64(size)
}

// checkRoom refuses a job for which the daemon has no room, unless it owns the job already.
func (s *service) checkRoom(job *batch.Job) error {
	if s.isOwned(job.ID) || s.intake.AdmitsWork(workBytes(job)) {
		return nil
	}
	refused := result.New(result.Overloaded, "no room for the job")
	refused.RetryAfter = workRetryAfter
	return refused
}
