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

// finish ends a request with an error of a code, or with an answer for OK.
func finish(ticket contract.Ticket, code result.Code) {
	outcome := contract.TicketOutcome{Latency: time.Millisecond}
	if code != result.OK {
		outcome.Err = result.New(code, "test")
	}
	ticket.Finish(outcome)
}

func TestPick_UnknownServiceIsNotRun(t *testing.T) {
	s := start(t, newWorld(fleet(1)), "entry-1", connect)
	_, err := s.Pick(t.Context(), contract.PickRequest{Service: "nobody"})
	must.Eq(t, result.NoBackend, result.CodeOf(err))
}

func TestPick_WaitsForAPlaceInOrderOfClass(t *testing.T) {
	s := start(t, newWorld(fleet(1)), "entry-1", connect)
	var held []contract.Ticket
	for range limit.InitialLimit {
		held = append(held, pick(t, s, contract.PickRequest{}))
	}
	gate := s.snapshot.Load().services["portal"].pool
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
			gate.mu.Lock()
			defer gate.mu.Unlock()
			return gate.gate.QueueLength(class) == 1
		})
	}
	finish(held[0], result.OK)
	must.Eq(t, structs.ClassLookup, <-order)
	for _, ticket := range held[1:] {
		finish(ticket, result.OK)
	}
	must.Eq(t, structs.ClassInternal, <-order)
}

// waitFor yields until a condition holds. How long that takes is no part of the
// verdict; a condition that never holds ends with the test's own time limit.
func waitFor(t testing.TB, holds func() bool) {
	t.Helper()
	pause := time.NewTicker(time.Millisecond)
	defer pause.Stop()
	for !holds() {
		<-pause.C
	}
}

func TestPick_RefusesWhatIsDueBeforeAPlace(t *testing.T) {
	s := start(t, newWorld(fleet(1)), "entry-1", connect)
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
	must.Zero(t, view.pool.gate.QueueLength(structs.ClassLookup))
}

func TestFinish_CountsOnce(t *testing.T) {
	s := start(t, newWorld(fleet(1)), "entry-1", connect)
	ticket := pick(t, s, contract.PickRequest{})
	finish(ticket, result.OK)
	finish(ticket, result.OK)
	view := s.snapshot.Load().services["portal"]
	must.Zero(t, view.Load(0))
	must.Zero(t, view.pool.gate.Running())
}

// TestPick_AllPlacesComeBack ends requests in all ways while the host list
// changes.
func TestPick_AllPlacesComeBack(t *testing.T) {
	w := newWorld(fleet(3))
	s := start(t, w, "entry-1", (&crashable{}).probe)
	codes := []result.Code{result.OK, result.OK, result.BackendBroke, result.NoBackend, result.BackendRefused}
	var traffic sync.WaitGroup
	for worker := range 64 {
		traffic.Go(func() {
			for i := range 50 {
				due := time.Now().Add(time.Duration(i%5) * 10 * time.Millisecond)
				request := contract.PickRequest{Service: "portal", Class: structs.Class(i % structs.ClassCount), Deadline: due}
				if ticket, err := s.Pick(context.Background(), request); err == nil {
					finish(ticket, codes[(worker+i)%len(codes)])
				}
			}
		})
	}
	for i := range 20 {
		w.view.Publish(&contract.HostView{Loaded: true, Services: map[structs.ServiceName][]structs.BackendServer{"portal": fleet(1 + i%3)}})
	}
	traffic.Wait()
	must.NoError(t, kernel.NewLoopExecutor(s.loop).Do(t.Context(), func() {
		for _, r := range s.control.records {
			must.Zero(t, r.place.inFlight.Load())
		}
		for _, sr := range s.control.services {
			must.Zero(t, sr.pool.gate.Running())
			for _, load := range sr.loads {
				must.Zero(t, load.own.Load())
			}
		}
	}))
}

func TestControl_EjectsAFailingServerAndKeepsHalf(t *testing.T) {
	w := newWorld(fleet(4))
	s := start(t, w, "entry-1", connect)
	for range 300 {
		ticket := pick(t, s, contract.PickRequest{})
		if ticket.Server.Name == "portal-1" {
			finish(ticket, result.BackendOverloaded)
		} else {
			finish(ticket, result.OK)
		}
	}
	await(t, s, func(sn *snapshot) bool { return sn.services["portal"].table.Servers()[1].Share == 0 })
	for range 50 {
		ticket := pick(t, s, contract.PickRequest{})
		must.NotEq(t, "portal-1", ticket.Server.Name)
		finish(ticket, result.BackendOverloaded)
	}
	waitFor(t, func() bool { return w.count("balance.ejections") == 2 })
}

// TestFinish_ARefusalPassesTheServerOverAtOnce holds that no view of the hosts
// is needed for it, and that only a refusal is taken for a sign of leaving.
func TestFinish_ARefusalPassesTheServerOverAtOnce(t *testing.T) {
	w := newWorld(fleet(2))
	s := start(t, w, "entry-1", connect)
	finish(pick(t, s, contract.PickRequest{Avoid: except(fleet(2), "portal-0")}), result.BackendOverloaded)
	must.MapEmpty(t, w.reports())
	finish(pick(t, s, contract.PickRequest{Avoid: except(fleet(2), "portal-1")}), result.BackendRefused)
	must.Eq(t, map[structs.HostName]contract.Signal{"portal-1": contract.SignalLeaving}, w.reports())
	for range limit.InitialLimit / 2 {
		must.Eq(t, structs.HostName("portal-0"), pick(t, s, contract.PickRequest{}).Server.Name)
	}
}

func TestControl_FollowsTheHostList(t *testing.T) {
	w := newWorld(fleet(3))
	s := start(t, w, "entry-1", connect)
	held := pick(t, s, contract.PickRequest{})
	w.view.Publish(&contract.HostView{Loaded: true, Services: map[structs.ServiceName][]structs.BackendServer{"portal": fleet(2)[1:]}})
	await(t, s, func(sn *snapshot) bool { return len(sn.services["portal"].servers) == 1 })
	must.Eq(t, structs.HostName("portal-1"), pick(t, s, contract.PickRequest{}).Server.Name)
	finish(held, result.OK)
	w.view.Publish(&contract.HostView{Loaded: true})
	await(t, s, func(sn *snapshot) bool { return len(sn.services) == 0 })
}

// TestQuarantine_ReachesAllDaemonsOfTheZone sends a poison through one daemon
// and then through another; an innocent request shares each server.
func TestQuarantine_ReachesAllDaemonsOfTheZone(t *testing.T) {
	const poison, innocent, bystander quarantine.Fingerprint = 7, 8, 9
	servers, faults := fleet(4), &crashable{}
	daemons := startZone(t, servers, faults)
	var crashed []structs.HostName
	crash := func(s *service, others ...quarantine.Fingerprint) {
		first := pick(t, s, contract.PickRequest{Fingerprint: poison, Avoid: crashed})
		crashed = append(crashed, first.Server.Name)
		var shared []contract.Ticket
		for _, f := range others {
			ticket := pick(t, s, contract.PickRequest{Fingerprint: f, Avoid: except(servers, first.Server.Name)})
			shared = append(shared, ticket)
		}
		faults.crash(first.Server.Address)
		for _, ticket := range append(shared, first) {
			finish(ticket, result.BackendBroke)
		}
	}
	crash(daemons[0], innocent)
	for _, s := range daemons {
		await(t, s, func(sn *snapshot) bool { return sn.requests.Suspects[poison] && sn.requests.Suspects[innocent] })
	}
	crash(daemons[1], bystander)
	for _, s := range daemons {
		await(t, s, func(sn *snapshot) bool { return sn.requests.Quarantined[poison] && len(sn.requests.Suspects) == 0 })
		_, err := s.Pick(t.Context(), contract.PickRequest{Service: "portal", Fingerprint: poison})
		must.Eq(t, result.Quarantined, result.CodeOf(err))
		finish(pick(t, s, contract.PickRequest{Fingerprint: innocent}), result.OK)
		finish(pick(t, s, contract.PickRequest{Fingerprint: bystander}), result.OK)
	}
}

// TestQuarantine_StartingDaemonAsksTheOthers starts a daemon after its
// neighbour has quarantined a request.
func TestQuarantine_StartingDaemonAsksTheOthers(t *testing.T) {
	const poison quarantine.Fingerprint = 7
	first := start(t, newWorld(fleet(2)), "entry-0", connect)
	must.NoError(t, first.control.notices.Post(Notice{Quarantined: []quarantine.Fingerprint{poison}}))
	await(t, first, func(sn *snapshot) bool { return sn.requests.Quarantined[poison] })
	w := newWorld(fleet(2))
	w.others["entry-0"] = first
	view := *w.view.Load()
	view.Daemons = []structs.BackendServer{{Name: "entry-0", Place: here, Address: "entry-0"}}
	w.view.Publish(&view)
	second := start(t, w, "entry-1", connect)
	await(t, second, func(sn *snapshot) bool { return sn.requests.Quarantined[poison] })
}

// startZone runs two daemons that reach each other.
func startZone(t *testing.T, servers []structs.BackendServer, faults *crashable) []*service {
	t.Helper()
	hosts := []structs.HostName{"entry-0", "entry-1"}
	others := make(map[string]*service)
	var daemons []*service
	for _, host := range hosts {
		w := newWorld(servers)
		w.others = others
		daemons = append(daemons, start(t, w, host, faults.probe))
		others[string(host)] = daemons[len(daemons)-1]
		for _, known := range hosts {
			w.daemons = append(w.daemons, structs.BackendServer{Name: known, Place: here, Address: string(known)})
		}
	}
	for _, s := range daemons {
		w := s.hosts.(*world)
		w.view.Publish(&contract.HostView{Loaded: true, Services: w.view.Load().Services, Daemons: w.daemons})
		calls := kernel.NewLoopExecutor(s.loop)
		waitFor(t, func() bool {
			seen := 0
			must.NoError(t, calls.Do(t.Context(), func() { seen = len(s.control.hosts.Daemons) }))
			return seen == len(hosts)
		})
	}
	return daemons
}

func except(servers []structs.BackendServer, name structs.HostName) []structs.HostName {
	var names []structs.HostName
	for _, server := range servers {
		if server.Name != name {
			names = append(names, server.Name)
		}
	}
	return names
}

func TestQuarantine_CutAnswersOfALivingServerAreNoCrash(t *testing.T) {
	faults := &crashable{}
	s := start(t, newWorld(fleet(1)), "entry-1", faults.probe)
	finish(pick(t, s, contract.PickRequest{Fingerprint: 7}), result.AnswerCut)
	waitFor(t, func() bool { return faults.probed() == maxProbes })
	must.MapEmpty(t, s.snapshot.Load().requests.Suspects)
	finish(pick(t, s, contract.PickRequest{Fingerprint: 7}), result.OK)
}

func TestControl_LearnsVersionsAndLoadsOfEngines(t *testing.T) {
	servers := fleet(2)
	for i := range servers {
		servers[i].Kind = structs.KindEngine
	}
	w := newWorld(servers)
	w.engine.load = outside.LoadReport{Running: 5, Waiting: 2, Version: 9}
	s := start(t, w, "entry-1", connect)
	finish(pick(t, s, contract.PickRequest{}), result.OK)
	await(t, s, func(sn *snapshot) bool {
		listed := sn.services["portal"].table.Servers()
		return listed[0].Version == 9 && listed[1].Version == 9
	})
	must.Eq(t, 7, s.snapshot.Load().services["portal"].Load(0))
	_, err := s.Pick(t.Context(), contract.PickRequest{Service: "portal", MinVersion: 10})
	must.Eq(t, result.NoBackend, result.CodeOf(err))
	ticket := pick(t, s, contract.PickRequest{MinVersion: 9})
	ticket.Finish(contract.TicketOutcome{Version: 10, Units: 100, Latency: time.Second})
	await(t, s, func(sn *snapshot) bool {
		listed := sn.services["portal"].table.Servers()
		return max(listed[0].Version, listed[1].Version) == 10
	})
}

// TestPick_NoRolloutForAnEngineOnOldWeights lets an engine be stuck on version
// 4 while another has the wanted one.
func TestPick_NoRolloutForAnEngineOnOldWeights(t *testing.T) {
	s := start(t, newWorld(fleet(2)), "entry-1", connect)
	for i, name := range []structs.HostName{"portal-0", "portal-1"} {
		ticket := pick(t, s, contract.PickRequest{Avoid: except(fleet(2), name)})
		ticket.Finish(contract.TicketOutcome{Version: structs.WeightVersion(4 + i)})
	}
	await(t, s, func(sn *snapshot) bool {
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

func TestFinish_CountsAndPricesBytesBetweenRegions(t *testing.T) {
	servers := fleet(1)
	servers[0].Place = structs.Place{Zone: "volta-a", Region: "volta"}
	w := newWorld(servers)
	s := start(t, w, "entry-1", connect)
	pick(t, s, contract.PickRequest{}).Finish(contract.TicketOutcome{Bytes: 1 << 29})
	must.Eq(t, int64(1<<29), w.count("balance.cross_region_bytes"))
	must.Eq(t, int64(1_000_000), w.count("balance.cross_region_price_micros"))
}
