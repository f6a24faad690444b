package contract

import (
	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameShares is the service that divides full services among workspaces, across daemons.
const NameShares kernel.Name = "traffic.shares"

// Admissions is what the balancer knows of the demand of workspaces. It is offered under
// NameBalance. Its methods may be called from any goroutine.
type Admissions interface {
	// TakePressed returns what workspaces ask of the services that could not take a
	// request at once since the last call.
	TakePressed() map[structs.ServiceName][]limit.Demand
	// SetDivision sets this daemon's part of a service by what all daemons report. The zero
	// value leaves it to what this daemon sees.
	SetDivision(service structs.ServiceName, division limit.Division)
}
