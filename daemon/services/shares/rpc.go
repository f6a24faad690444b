package shares

import (
	"cmp"
	"context"
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Receiver handles the net/rpc calls of other daemons.
type Receiver struct{ service *service }

// DivideCall reports what workspaces ask of services at a daemon.
type DivideCall struct {
	Daemon  string
	Demands map[structs.ServiceName][]limit.Demand
}

// DivideReply holds the daemon's part of each service that it has named.
type DivideReply struct {
	Divisions map[structs.ServiceName]limit.Division
}

// Divide is called at the leader by daemons of which services are full.
func (r *Receiver) Divide(call DivideCall, reply *DivideReply) error {
	return r.service.loopExecutor.Do(context.Background(), func() { *reply = r.service.divide(call) })
}

// largest returns the demands with the workspaces that ask most.
func largest(demands map[structs.ServiceName][]limit.Demand) map[structs.ServiceName][]limit.Demand {
	for name, list := range demands {
		slices.SortFunc(list, func(a, b limit.Demand) int { return cmp.Compare(b.Places, a.Places) })
		demands[name] = list[:min(len(list), maxReported)]
	}
	return demands
}
