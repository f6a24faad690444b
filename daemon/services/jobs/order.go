package jobs

import "github.com/flamingobeam/flamingobeam/coord/batch"

// openJobsInOrder returns the open jobs in the order in which they get engines.
func (s *service) openJobsInOrder() []*job {
	standings := make([]batch.Standing, 0, len(s.ownedJobs))
	for _, j := range s.ownedJobs {
		if j.isOpen() {
			standings = append(standings, j.standing())
		}
	}
	batch.Order(standings)
	jobs := make([]*job, len(standings))
	for i, standing := range standings {
		jobs[i] = s.ownedJobs[standing.ID]
	}
	return jobs
}

func (j *job) standing() batch.Standing {
	standing := batch.Standing{ID: j.ID, Workspace: j.Workspace, Priority: j.route.priority, Deadline: j.deadline()}
	for _, it := range j.items {
		work := max(1, it.LengthHint)
		switch it.phase {
		case phaseRunning:
			standing.Running += work
		case phaseWaiting:
			standing.Waiting += work
		}
	}
	return standing
}
