package balance

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

func pick(t testing.TB, s *service, request contract.PickRequest) contract.Ticket {
	t.Helper()
	request.Service = "portal"
	ticket, err := s.Pick(context.Background(), request)
	must.NoError(t, err)
	return ticket
}

// finish ends a request with an error of the given code, or successfully for
// code OK.
func finish(ticket contract.Ticket, code result.Code) {
	outcome := contract.TicketOutcome{Latency: time.Millisecond}
	if code != result.OK {
		outcome.Err = result.New(code, "test")
	}
	ticket.Finish(outcome)
}

func TestPick_UnknownService(t *testing.T) {
	s := startBalancer(t, newFakeServices(makeServers(1)), "entry-1", probeTCP)
	_, err := s.Pick(t.Context(), contract.PickRequest{Service: "nobody"})
	must.Eq(t, result.NoBackend, result.CodeOf(err))
}

func TestPick_ClassOrder(t *testing.T) {
	s := startBalancer(t, newFakeServices(makeServers(1)), "entry-1", probeTCP)
	var tickets []contract.Ticket
	for range limit.InitialLimit {
		tickets = append(tickets, pick(t, s, contract.PickRequest{}))
	}
	queue := s.snapshot.Load().services["portal"].admission
	order := make(chan structs.Class, 2)
	for _, class := range []structs.Class{structs.ClassInternal, structs.ClassLookup} {
		go func() {
			ticket, err := s.Pick(context.Background(), contract.PickRequest{Service: "portal", Class: class})
			if err == nil {
				order <- class
				finish(ticket, result.OK)
			}
		}()
		waitFor(t, func() bool {
			queue.mu.Lock()
			defer queue.mu.Unlock()
			return queue.controller.QueueLength(class) == 1
		})
	}
	finish(tickets[0], result.OK)
	must.Eq(t, structs.ClassLookup, <-order)
	for _, ticket := range tickets[1:] {
		finish(ticket, result.OK)
	}
	must.Eq(t, structs.ClassInternal, <-order)
}

// waitFor polls until a condition holds, however long that takes. A condition
// that never holds ends with the test's own timeout.
func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		<-ticker.C
	}
}

func TestPick_DeadlineInQueue(t *testing.T) {
	s := startBalancer(t, newFakeServices(makeServers(1)), "entry-1", probeTCP)
	for range limit.InitialLimit {
		pick(t, s, contract.PickRequest{})
	}
	_, err := s.Pick(t.Context(), contract.PickRequest{Service: "portal", Deadline: time.Now().Add(20 * time.Millisecond)})
	must.Eq(t, result.DueTimePassed, result.CodeOf(err))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Pick(ctx, contract.PickRequest{Service: "portal"})
	must.Eq(t, result.DueTimePassed, result.CodeOf(err))
	view := s.snapshot.Load().services["portal"]
	must.Zero(t, view.admission.controller.QueueLength(structs.ClassLookup))
}

func TestFinish_Twice(t *testing.T) {
	s := startBalancer(t, newFakeServices(makeServers(1)), "entry-1", probeTCP)
	ticket := pick(t, s, contract.PickRequest{})
	finish(ticket, result.OK)
	finish(ticket, result.OK)
	view := s.snapshot.Load().services["portal"]
	must.Zero(t, view.Load(0))
	must.Zero(t, view.admission.controller.Running())
}

// TestPick_ReleasesAllSlots ends requests with different codes while the host
// list changes, and checks that no slot leaks.
func TestPick_ReleasesAllSlots(t *testing.T) {
	fakes := newFakeServices(makeServers(3))
	s := startBalancer(t, fakes, "entry-1", (&fakeProbe{}).probe)
	codes := []result.Code{result.OK, result.OK, result.BackendBroke, result.NoBackend, result.BackendRefused}
	var workers sync.WaitGroup
	for worker := range 64 {
		workers.Go(func() {
			for i := range 50 {
				deadline := time.Now().Add(time.Duration(i%5) * 10 * time.Millisecond)
				request := contract.PickRequest{Service: "portal", Class: structs.Class(i % structs.ClassCount), Deadline: deadline}
				if ticket, err := s.Pick(context.Background(), request); err == nil {
					finish(ticket, codes[(worker+i)%len(codes)])
				}
			}
		})
	}
	for i := range 20 {
		fakes.view.Publish(&contract.HostView{Loaded: true, Services: map[structs.ServiceName][]structs.BackendServer{"portal": makeServers(1 + i%3)}})
	}
	workers.Wait()
	must.NoError(t, kernel.NewLoopExecutor(s.loop).Do(t.Context(), func() {
		for _, r := range s.control.records {
			must.Zero(t, r.counters.inFlight.Load())
		}
		for _, sr := range s.control.services {
			must.Zero(t, sr.admission.controller.Running())
			for _, load := range sr.tierLoads {
				must.Zero(t, load.own.Load())
			}
		}
	}))
}

func TestControl_EjectionLimit(t *testing.T) {
	fakes := newFakeServices(makeServers(4))
	s := startBalancer(t, fakes, "entry-1", probeTCP)
	for range 300 {
		ticket := pick(t, s, contract.PickRequest{})
		if ticket.Server.Name == "portal-1" {
			finish(ticket, result.BackendOverloaded)
		} else {
			finish(ticket, result.OK)
		}
	}
	awaitSnapshot(t, s, func(sn *snapshot) bool { return sn.services["portal"].table.Servers()[1].Share == 0 })
	for range 50 {
		ticket := pick(t, s, contract.PickRequest{})
		must.NotEq(t, "portal-1", ticket.Server.Name)
		finish(ticket, result.BackendOverloaded)
	}
	waitFor(t, func() bool { return fakes.count("balance.ejections") == 2 })
}

// TestFinish_RefusalSkipsServer checks that a refusal takes effect without a
// change of the host list, and that only a refusal is reported as draining.
func TestFinish_RefusalSkipsServer(t *testing.T) {
	fakes := newFakeServices(makeServers(2))
	s := startBalancer(t, fakes, "entry-1", probeTCP)
	finish(pick(t, s, contract.PickRequest{Avoid: namesExcept(makeServers(2), "portal-0")}), result.BackendOverloaded)
	must.MapEmpty(t, fakes.reports())
	finish(pick(t, s, contract.PickRequest{Avoid: namesExcept(makeServers(2), "portal-1")}), result.BackendRefused)
	must.Eq(t, map[structs.HostName]contract.Signal{"portal-1": contract.SignalLeaving}, fakes.reports())
	for range limit.InitialLimit / 2 {
		must.Eq(t, structs.HostName("portal-0"), pick(t, s, contract.PickRequest{}).Server.Name)
	}
}

func TestControl_HostListUpdate(t *testing.T) {
	fakes := newFakeServices(makeServers(3))
	s := startBalancer(t, fakes, "entry-1", probeTCP)
	ticket := pick(t, s, contract.PickRequest{})
	fakes.view.Publish(&contract.HostView{Loaded: true, Services: map[structs.ServiceName][]structs.BackendServer{"portal": makeServers(2)[1:]}})
	awaitSnapshot(t, s, func(sn *snapshot) bool { return len(sn.services["portal"].servers) == 1 })
	must.Eq(t, structs.HostName("portal-1"), pick(t, s, contract.PickRequest{}).Server.Name)
	finish(ticket, result.OK)
	fakes.view.Publish(&contract.HostView{Loaded: true})
	awaitSnapshot(t, s, func(sn *snapshot) bool { return len(sn.services) == 0 })
}

// TestQuarantine_ZonePropagation lets a request crash a server through one
// daemon and then through another. An innocent request runs on each of the
// servers.
func TestQuarantine_ZonePropagation(t *testing.T) {
	const poison, innocent, bystander quarantine.Fingerprint = 7, 8, 9
	servers, faults := makeServers(4), &fakeProbe{}
	daemons := startZone(t, servers, faults)
	var crashedServers []structs.HostName
	crash := func(s *service, others ...quarantine.Fingerprint) {
		first := pick(t, s, contract.PickRequest{Fingerprint: poison, Avoid: crashedServers})
		crashedServers = append(crashedServers, first.Server.Name)
		var shared []contract.Ticket
		for _, f := range others {
			ticket := pick(t, s, contract.PickRequest{Fingerprint: f, Avoid: namesExcept(servers, first.Server.Name)})
			shared = append(shared, ticket)
		}
		faults.crash(first.Server.Address)
		for _, ticket := range append(shared, first) {
			finish(ticket, result.BackendBroke)
		}
	}
	crash(daemons[0], innocent)
	for _, s := range daemons {
		awaitSnapshot(t, s, func(sn *snapshot) bool { return sn.quarantine.Suspects[poison] && sn.quarantine.Suspects[innocent] })
	}
	crash(daemons[1], bystander)
	for _, s := range daemons {
		awaitSnapshot(t, s, func(sn *snapshot) bool { return sn.quarantine.Quarantined[poison] && len(sn.quarantine.Suspects) == 0 })
		_, err := s.Pick(t.Context(), contract.PickRequest{Service: "portal", Fingerprint: poison})
		must.Eq(t, result.Quarantined, result.CodeOf(err))
		finish(pick(t, s, contract.PickRequest{Fingerprint: innocent}), result.OK)
		finish(pick(t, s, contract.PickRequest{Fingerprint: bystander}), result.OK)
	}
}

// TestQuarantine_StartingDaemon starts a daemon after another one has
// quarantined a request.
func TestQuarantine_StartingDaemon(t *testing.T) {
	const poison quarantine.Fingerprint = 7
	first := startBalancer(t, newFakeServices(makeServers(2)), "entry-0", probeTCP)
	must.NoError(t, first.control.notices.Post(Notice{Quarantined: []quarantine.Fingerprint{poison}}))
	awaitSnapshot(t, first, func(sn *snapshot) bool { return sn.quarantine.Quarantined[poison] })
	fakes := newFakeServices(makeServers(2))
	fakes.balancers["entry-0"] = first
	view := *fakes.view.Load()
	view.Daemons = []structs.BackendServer{{Name: "entry-0", Place: localPlace, Address: "entry-0"}}
	fakes.view.Publish(&view)
	second := startBalancer(t, fakes, "entry-1", probeTCP)
	awaitSnapshot(t, second, func(sn *snapshot) bool { return sn.quarantine.Quarantined[poison] })
}

// startZone starts two daemons that reach each other.
func startZone(t *testing.T, servers []structs.BackendServer, faults *fakeProbe) []*service {
	t.Helper()
	hosts := []structs.HostName{"entry-0", "entry-1"}
	others := make(map[string]*service)
	var daemons []*service
	for _, host := range hosts {
		fakes := newFakeServices(servers)
		fakes.balancers = others
		daemons = append(daemons, startBalancer(t, fakes, host, faults.probe))
		others[string(host)] = daemons[len(daemons)-1]
		for _, known := range hosts {
			fakes.daemons = append(fakes.daemons, structs.BackendServer{Name: known, Place: localPlace, Address: string(known)})
		}
	}
	for _, s := range daemons {
		fakes := s.hosts.(*fakeServices)
		fakes.view.Publish(&contract.HostView{Loaded: true, Services: fakes.view.Load().Services, Daemons: fakes.daemons})
		calls := kernel.NewLoopExecutor(s.loop)
		waitFor(t, func() bool {
			seen := 0
			must.NoError(t, calls.Do(t.Context(), func() { seen = len(s.control.hosts.Daemons) }))
			return seen == len(hosts)
		})
	}
	return daemons
}

func namesExcept(servers []structs.BackendServer, name structs.HostName) []structs.HostName {
	var names []structs.HostName
	for _, server := range servers {
		if server.Name != name {
			names = append(names, server.Name)
		}
	}
	return names
}

// TestQuarantine_RunningServer checks that a truncated answer of a server that
// still accepts connections is not taken for a crash.
func TestQuarantine_RunningServer(t *testing.T) {
	faults := &fakeProbe{}
	s := startBalancer(t, newFakeServices(makeServers(1)), "entry-1", faults.probe)
	finish(pick(t, s, contract.PickRequest{Fingerprint: 7}), result.AnswerCut)
	waitFor(t, func() bool { return faults.probeCount() == maxProbes })
	must.MapEmpty(t, s.snapshot.Load().quarantine.Suspects)
	finish(pick(t, s, contract.PickRequest{Fingerprint: 7}), result.OK)
}

func TestControl_EngineReports(t *testing.T) {
	servers := makeServers(2)
	for i := range servers {
		servers[i].Kind = structs.KindEngine
	}
	fakes := newFakeServices(servers)
	fakes.engine.load = outside.LoadReport{Running: 5, Waiting: 2, Version: 9}
	s := startBalancer(t, fakes, "entry-1", probeTCP)
	finish(pick(t, s, contract.PickRequest{}), result.OK)
	awaitSnapshot(t, s, func(sn *snapshot) bool {
		listed := sn.services["portal"].table.Servers()
		return listed[0].Version == 9 && listed[1].Version == 9
	})
	must.Eq(t, 7, s.snapshot.Load().services["portal"].Load(0))
	_, err := s.Pick(t.Context(), contract.PickRequest{Service: "portal", MinVersion: 10})
	must.Eq(t, result.NoBackend, result.CodeOf(err))
	ticket := pick(t, s, contract.PickRequest{MinVersion: 9})
	ticket.Finish(contract.TicketOutcome{Version: 10, Units: 100, Latency: time.Second})
	awaitSnapshot(t, s, func(sn *snapshot) bool {
		listed := sn.services["portal"].table.Servers()
		return max(listed[0].Version, listed[1].Version) == 10
	})
}

// TestPick_MinVersion keeps one engine on version 4 while another has the
// required version 5.
func TestPick_MinVersion(t *testing.T) {
	s := startBalancer(t, newFakeServices(makeServers(2)), "entry-1", probeTCP)
	for i, name := range []structs.HostName{"portal-0", "portal-1"} {
		ticket := pick(t, s, contract.PickRequest{Avoid: namesExcept(makeServers(2), name)})
		ticket.Finish(contract.TicketOutcome{Version: structs.WeightVersion(4 + i)})
	}
	awaitSnapshot(t, s, func(sn *snapshot) bool {
		listed := sn.services["portal"].table.Servers()
		return listed[0].Version == 4 && listed[1].Version == 5
	})
	for i := range 100 {
		request := contract.PickRequest{Class: structs.ClassRollout, Affinity: uint64(i), MinVersion: 5}
		ticket := pick(t, s, request)
		must.Eq(t, structs.HostName("portal-1"), ticket.Server.Name)
		finish(ticket, result.OK)
	}
}

func TestFinish_CrossRegionCost(t *testing.T) {
	servers := makeServers(1)
	servers[0].Place = structs.Place{Zone: "volta-a", Region: "volta"}
	fakes := newFakeServices(servers)
	s := startBalancer(t, fakes, "entry-1", probeTCP)
	pick(t, s, contract.PickRequest{}).Finish(contract.TicketOutcome{Bytes: 1 << 29})
	must.Eq(t, int64(1<<29), fakes.count("balance.cross_region_bytes"))
	must.Eq(t, int64(1_000_000), fakes.count("balance.cross_region_price_micros"))
}
