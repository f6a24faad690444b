package jobs

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// recordingPeers records the addresses that are called.
type recordingPeers struct {
	contract.Peers
	called chan string
}

func (p recordingPeers) Call(_ context.Context, address, _ string, _, _ any) error {
	p.called <- address
	return nil
}

// mustReportTo checks which addresses get a report of the service's runs.
func (p recordingPeers) mustReportTo(t *testing.T, s *service, expected ...string) {
	t.Helper()
	s.reportRuns()
	var called []string
	for range expected {
		select {
		case address := <-p.called:
			called = append(called, address)
		case <-time.After(10 * time.Second):
			must.Unreachable(t, must.Sprint("missing calls, got", called))
		}
	}
	s.workers.Stop()
	slices.Sort(called)
	must.Eq(t, expected, called)
	must.Zero(t, len(p.called))
}

// TestReportRuns_EarlierRelease runs beside a daemon of an earlier release, which must get no
// call that it does not know. An owner that reported runs gets each report.
func TestReportRuns_EarlierRelease(t *testing.T) {
	live := make(map[string]membership.Member)
	for _, member := range []membership.Member{
		{Name: "self", SharesRuns: true}, {Name: "owner", RPCAddress: "owner", SharesRuns: true},
		{Name: "idle", RPCAddress: "idle", SharesRuns: true}, {Name: "earlier", RPCAddress: "earlier"},
	} {
		live[member.Name] = member
	}
	newReporter := func() (*service, recordingPeers) {
		s, peers := newService(), recordingPeers{called: make(chan string, len(live))}
		s.session.(*fakeServices).session.Publish(&contract.SessionView{Self: live["self"], Live: live})
		s.broadcaster.Peers, s.broadcaster.Timeout = peers, time.Second
		s.engines["engine"] = &engineState{localItems: 2}
		return s, peers
	}
	s, peers := newReporter()
	peers.mustReportTo(t, s, "idle", "owner")

	s, peers = newReporter()
	s.sharing.announcedAt = s.loop.Now()
	s.handleRunsReport(RunsRPC{Owner: "owner", Runs: []placement.EngineRuns{{Server: "engine", Runs: 3}}})
	must.Eq(t, 3, s.sharedRuns.Others("engine", s.loop.Now()))
	peers.mustReportTo(t, s, "owner")
}
