package fleetsize

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/scaling"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// rpcName is the name under which the receiver is registered with net/rpc.
const rpcName = "Fleet"

// Receiver serves the calls of other daemons under the name Fleet.
type Receiver struct{ service *service }

// Loaded queues the work of an owner of jobs. It fails when the mailbox is full; the next
// report replaces it.
func (r *Receiver) Loaded(load contract.FleetLoad, _ *struct{}) error {
	return r.service.loads.Post(load)
}

// RecordLoad implements contract.FleetSize. Only owners of jobs report, and only to the
// holder, so the messages grow with the owners.
func (s *service) RecordLoad(services []contract.ServiceLoad) {
	if !s.isConfigured || len(services) == 0 {
		return
	}
	view, holder := s.session.View().Load(), s.duties.View().Load()
	load := contract.FleetLoad{Owner: view.Self.Name, Services: services}
	if holder.IsSelf {
		s.handleLoad(load)
		return
	}
	member, isLive := memberOn(holder.Holder, view)
	if !isLive || member.Name == view.Self.Name {
		return
	}
	s.workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var reply struct{}
		if err := s.peers.Call(ctx, member.RPCAddress, rpcName+".Loaded", load, &reply); err != nil {
			s.log.WithError(err).WithField("daemon", member.Name).Info("Failed to report the load to the holder of the duties.")
		}
	})
}

// memberOn returns the daemon of a host that started last, if one is live.
func memberOn(host string, view *contract.SessionView) (membership.Member, bool) {
	for _, member := range membership.Newest(slices.Collect(maps.Values(view.Live))) {
		if membership.HostOf(member.Name) == host {
			return member, true
		}
	}
	return membership.Member{}, false
}

// handleLoad takes the report of an owner of jobs. Steps are dated by this daemon's clock.
func (s *service) handleLoad(load contract.FleetLoad) {
	current := s.catalog.Current().Load().Catalog
	if current == nil {
		return
	}
	now := s.loop.Now()
	for _, reported := range load.Services {
		if current.Services[reported.Service].Scaling == nil {
			continue
		}
		next := scaling.Load{Open: reported.Open, Running: reported.Running}
		for _, step := range reported.Steps {
			next.Steps = append(next.Steps, scaling.Step{
				Model: step.Model, Number: step.Number, Work: step.Work, SubmittedAt: now.Add(-step.Age), Due: step.Due,
			})
		}
		s.fleetOf(reported.Service).observer.Observe(load.Owner, next, now)
	}
}

var outcomeNames = map[scaling.Outcome]string{
	scaling.OrderAccepted: "accepted", scaling.OrderUnavailable: "unavailable",
	scaling.OrderUnknown: "unknown", scaling.OrderNotExecuted: "not executed",
}

// call sends an order and returns its outcome and a detail for the log.
func (s *service) call(ctx context.Context, name structs.ServiceName, order scaling.Order) (scaling.Outcome, string) {
	outcome, err := s.duties.OrderServers(ctx, outside.ServerOrder{Service: name, Zone: order.Zone, Reclaimable: order.Reclaimable, Count: order.Count})
	switch {
	case result.CodeOf(err) == result.NotHolder:
		return scaling.OrderNotExecuted, err.Error()
	case err != nil:
		return scaling.OrderUnknown, err.Error()
	case outcome == outside.DutyDone:
		return scaling.OrderAccepted, ""
	case outcome == outside.DutyConflict && order.Reclaimable:
		return scaling.OrderUnavailable, outcome.String()
	}
	return scaling.OrderNotExecuted, outcome.String()
}

// record logs a decision that orders servers, and sets the gauges of the service. The
// configuration bounds the number of services.
func (s *service) record(name structs.ServiceName, f *fleet, in scaling.Input, plan scaling.Plan) {
	plain, reclaimable := 0, 0
	for key, pool := range f.planner.Pools {
		if key.Reclaimable {
			reclaimable += pool.Present
		} else {
			plain += pool.Present
		}
	}
	gauge := func(kind string, value int) { s.metrics.Gauge("fleet."+kind+"."+string(name), int64(value)) }
	gauge("needed", plan.Need.Servers)
	gauge("wanted", plan.Plain+plan.Reclaimable)
	gauge("present", plain+reclaimable)
	gauge("reclaimable", reclaimable)
	if len(plan.Orders) == 0 {
		return
	}
	s.log.WithFields(logrus.Fields{
		"service": name, "orders": strings.Join(describeOrders(plan.Orders), ", "), "needed": plan.Need.Servers, "floor": plan.Need.Floor,
		"plain": plain, "reclaimable": reclaimable, "open_ms": in.Demand.Open.Milliseconds(), "step_ms": in.Demand.StepWork.Milliseconds(),
		"period_ms": in.Demand.Period.Milliseconds(), "due_ms": in.Demand.Due / time.Millisecond, "running": in.Demand.Running, "complete": in.IsComplete,
	}).Info("The size of a fleet changes.")
}
