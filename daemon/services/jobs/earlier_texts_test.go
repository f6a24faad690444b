package jobs

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// newTextJob returns a job with one running item that has a text of some events.
func newTextJob(id string, events int) *job {
	text := &contract.Text{}
	for event := range events {
		text.Add(uint64(event+1), "event", 1, resume.Origin{Service: "models", Software: "v1"})
	}
	j := &job{Job: batch.Job{ID: id, Model: "model"}, view: kernel.NewSnapshot(&jobView{itemCount: 1})}
	j.route.service = "models"
	j.ctx, j.cancel = context.WithCancelCause(context.Background())
	j.items = []*item{{Item: &batch.Item{ID: "item"}, text: text, phase: phaseRunning, progress: &contract.Progress{}, cancel: func(error) {}}}
	return j
}

// serverList is a list of servers that does not change.
type serverList struct{ contract.Servers }

func (serverList) Entries() *kernel.Snapshot[contract.ServersView] {
	server := catalog.Server{ID: "server-1", Service: "models", Software: "v1"}
	return kernel.NewSnapshot(&contract.ServersView{ByService: map[structs.ServiceName][]catalog.Server{"models": {server}}})
}

func newTextService(jobs ...*job) *service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{ownedJobs: make(map[string]*job), log: logrus.NewEntry(log), servers: serverList{}, loop: kernel.NewLoop(clock{})}
	for _, j := range jobs {
		s.ownedJobs[j.ID] = j
	}
	return s
}

// TestTextsFromEndedJobs_RunStillEnding asks for the text of an item whose job has
// ended while the end of its run is still on its way.
func TestTextsFromEndedJobs_RunStillEnding(t *testing.T) {
	ended := newTextJob("job-1", 31)
	ended.ownership.Ended = true
	s := newTextService(ended)
	texts := s.textsFromEndedJobs(CarryRPC{Job: "job-2", Items: []batch.ItemID{"item"}})
	must.Eq(t, 31, int(texts["item"].Last))
}

// TestMarkEnded_OffersTexts ends a job after the next one with the same item has
// been adopted and has started to run it. The run must stop for the longer text.
func TestMarkEnded_OffersTexts(t *testing.T) {
	first, second := newTextJob("job-1", 31), newTextJob("job-2", 0)
	stopped := false
	second.items[0].cancel = func(error) { stopped = true }
	s := newTextService(first, second)
	s.isPlacementScheduled = true
	s.markEnded(first, ownershipRecord{Ownership: batch.Ownership{Ended: true}})
	must.True(t, stopped)
	must.Eq(t, 31, int(second.items[0].replacement.Last))
}

// TestAdopt_TextsOfLateHandover guards against losing the texts that an earlier owner hands
// over after this daemon has adopted the job by itself. Those of another epoch are ignored.
func TestAdopt_TextsOfLateHandover(t *testing.T) {
	handedOver := newTextJob("job-1", 31).items[0].text
	for _, epoch := range []uint64{1, 2} {
		owned := newTextJob("job-1", 0)
		owned.ownership.Epoch = 2
		stopped := false
		owned.items[0].cancel = func(error) { stopped = true }
		s := newTextService(owned)
		s.adopt(adoption{
			storedJob: storedJob{job: &owned.Job, ownership: ownershipRecord{Ownership: batch.Ownership{Epoch: epoch}}},
			texts:     map[batch.ItemID]*contract.Text{"item": handedOver},
		})
		must.Eq(t, epoch == 2, stopped)
	}
}

// clock is a clock that stands still.
type clock struct{ clockwork.Clock }

func (clock) Now() time.Time { return time.Unix(1_800_000_000, 0) }
