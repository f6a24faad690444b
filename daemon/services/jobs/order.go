package jobs

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// waitingStep is an open job with its items that wait for an engine. Each item has the
// index that it has in the step's Waiting.
type waitingStep struct {
	job   *job
	items []waitingItem
}

// pick returns some of the items by their indices.
func (w *waitingStep) pick(indices []int) []waitingItem {
	items := make([]waitingItem, len(indices))
	for i, index := range indices {
		items[i] = w.items[index]
	}
	return items
}

// recordHeldGroups logs and counts once for each job that engines are crowded, and groups
// that its trainer does not wait for go last.
func (s *service) recordHeldGroups(j *job, items int) {
	if j.holdsSpareGroups {
		return
	}
	j.holdsSpareGroups = true
	s.metrics.Count("jobs.crowded_steps", 1)
	s.log.WithFields(logrus.Fields{
		"job": j.ID, "model": j.Model, "step": j.Step, "items": items, "wanted_groups": j.WantedGroups, "until_due_ms": j.deadline().Sub(s.loop.Now()).Milliseconds(),
	}).Info("Engines are crowded; groups that the trainer does not wait for go last.")
}

// admit returns the open jobs with items that may start now, and the portions of their
// items in the order in which they get engines.
func (s *service) admit(now time.Time) ([]waitingStep, []batch.Portion) {
	var waiting []waitingStep
	var steps []batch.Step
	paces := make(map[structs.ServiceName]time.Duration)
	for _, j := range s.ownedJobs {
		if !j.isOpen() {
			continue
		}
		step := waitingStep{job: j}
		if j.hasWaiting() && s.mayStartItems(j) {
			step.items = s.readyItems(j, now)
		}
		waiting = append(waiting, step)
		if _, isKnown := paces[j.route.service]; !isKnown && len(step.items) > 0 {
			paces[j.route.service] = s.meanPace(j.route.service)
		}
		steps = append(steps, s.describeStep(j, step.items, paces[j.route.service], now))
	}
	return waiting, batch.Admit(steps)
}

// describeStep returns a job for the decision, with its waiting items if an engine may take
// one of them. The pace is the time that an event takes.
func (s *service) describeStep(j *job, waiting []waitingItem, pace time.Duration, now time.Time) batch.Step {
	step := batch.Step{Standing: j.standing(), Service: j.route.service, Period: j.route.resultDeadline}
	if len(waiting) == 0 {
		return step
	}
	slots, hasRoom := s.usableSlots(j, now)
	if !hasRoom {
		return step
	}
	step.Slots = slots
	begun := make(map[string]bool)
	for _, it := range j.items {
		begun[it.Group] = begun[it.Group] || it.phase != phaseWaiting || it.text.Last > 0
	}
	if j.WantedGroups > 0 {
		step.SpareGroups = max(0, len(begun)-j.WantedGroups)
	}
	for _, w := range waiting {
		step.Waiting = append(step.Waiting, batch.WaitingItem{
			Group: w.item.Group, Needed: time.Duration(w.eventsLeft) * pace, HasBegun: begun[w.item.Group],
		})
	}
	return step
}

// usableSlots returns the slots of the engines that may run a job's items, and whether one of
// them may take an item now.
func (s *service) usableSlots(j *job, now time.Time) (slots int, hasRoom bool) {
	for _, server := range s.servers.Entries().Load().ByService[j.route.service] {
		state := s.engineStateOf(server)
		if max(server.Versions[j.Model], state.versions[j.Model]) < j.MinVersion {
			continue
		}
		slots += server.Slots
		isBlocked := now.Before(state.blockedUntil[j.Model]) || now.Before(state.unreachableUntil)
		hasRoom = hasRoom || state.localItems < server.Slots && !isBlocked
	}
	return slots, hasRoom
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
