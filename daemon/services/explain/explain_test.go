package explain

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func TestRefusals_ByReason(t *testing.T) {
	all := map[string]map[string]any{
		"gate.refused.overloaded":       {"count": int64(3)},
		"gate.refused.not-found":        {"count": int64(0)},
		"hedging.refused.service-limit": {"count": int64(2)},
		"gate.answered":                 {"count": int64(9)},
		"gate.refused.odd":              {"value": 1.5},
	}
	must.Eq(t, map[string]int64{"overloaded": 3, "hedge: service-limit": 2}, refusals(all))
}

func TestLongestQueues_Bounded(t *testing.T) {
	var queues []contract.QueueStatus
	for i := range 3 * maxShownQueues {
		queues = append(queues, contract.QueueStatus{
			Service: structs.ServiceName(fmt.Sprintf("service-%d", i)), QueueReport: limit.QueueReport{Waiting: i, Running: 1},
		})
	}
	shown := longestQueues(queues)
	must.Len(t, maxShownQueues, shown)
	must.Eq(t, 3*maxShownQueues-1, shown[0].Waiting)
}

// fakeServices stand in for the services that a status needs, and report as duties do.
type fakeServices struct {
	contract.MetricsReader
	contract.Session
	contract.Catalog
	err error
}

func (f fakeServices) All() map[string]map[string]any { return nil }
func (f fakeServices) HoldsLease() bool               { return true }
func (f fakeServices) View() *kernel.Snapshot[contract.SessionView] {
	return kernel.NewSnapshot(&contract.SessionView{})
}
func (f fakeServices) Current() *kernel.Snapshot[contract.CatalogView] {
	return kernel.NewSnapshot(&contract.CatalogView{})
}
func (f fakeServices) ReportStatus(_ context.Context, status *contract.ManagedStatus) error {
	if f.err == nil {
		status.Duties = &contract.DutiesStatus{Holder: "entry-1"}
	}
	return f.err
}

// TestStatus_NamesMissingParts lets a service not report. The others must be shown.
func TestStatus_NamesMissingParts(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fakeServices{}
	s := &service{
		metrics: f, session: f, catalog: f, log: logrus.NewEntry(log), leader: kernel.NewSnapshot(&contract.LeaderStatus{}),
		reporters: []reporter{{contract.NameJobs, fakeServices{err: context.DeadlineExceeded}}, {contract.NameDuties, f}},
	}
	status := s.status(t.Context())
	must.Eq(t, []string{string(contract.NameJobs)}, status.Missing)
	must.Eq(t, "entry-1", status.Duties.Holder)
}
