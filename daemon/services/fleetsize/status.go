package fleetsize

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/scaling"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

var _ contract.StatusReporter = (*service)(nil)

// decision is the last decision on the size of a fleet.
type decision struct {
	in   scaling.Input
	plan scaling.Plan
	// ordered are the last orders, decided at orderedAt.
	ordered   []string
	orderedAt time.Time
}

// note keeps a decision for operators.
func (d *decision) note(in scaling.Input, plan scaling.Plan) {
	d.in, d.plan = in, plan
	if len(plan.Orders) > 0 {
		d.ordered, d.orderedAt = describeOrders(plan.Orders), in.Now
	}
}

// describeOrders returns the orders with their reasons.
func describeOrders(orders []scaling.Order) []string {
	described := make([]string, len(orders))
	for i, order := range orders {
		kind := "plain"
		if order.Reclaimable {
			kind = "reclaimable"
		}
		described[i] = fmt.Sprintf("%s %s %d (%s)", order.Zone, kind, order.Count, order.Why)
	}
	return described
}

func (d *decision) status(service structs.ServiceName) contract.FleetStatus {
	return contract.FleetStatus{
		Service: service, At: d.in.Now, Needed: d.plan.Need.Servers, Floor: d.plan.Need.Floor,
		Plain: d.plan.Plain, Reclaimable: d.plan.Reclaimable,
		OpenSeconds: d.in.Demand.Open.Seconds(), StepSeconds: d.in.Demand.StepWork.Seconds(), DueSeconds: d.in.Demand.Due.Seconds(),
		Running: d.in.Demand.Running, IsComplete: d.in.IsComplete,
		Orders: slices.Clone(d.ordered[:min(len(d.ordered), maxOrders)]), OrderedAt: d.orderedAt,
	}
}

// maxShownFleets bounds the fleets that operators are shown.
const maxShownFleets = 32

// ReportStatus implements contract.StatusReporter. Only the holder of the duties decides.
func (s *service) ReportStatus(ctx context.Context, status *contract.ManagedStatus) error {
	if !s.isConfigured {
		return nil
	}
	var shown []contract.FleetStatus
	err := s.executor.Do(ctx, func() {
		for _, name := range slices.SortedFunc(maps.Keys(s.fleets), cmp.Compare) {
			if last := s.fleets[name].last; last != nil && len(shown) < maxShownFleets {
				shown = append(shown, last.status(name))
			}
		}
	})
	if err == nil {
		status.Fleets = shown
	}
	return err
}
