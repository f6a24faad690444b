package limit

import (
	"cmp"
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Demand is what a workspace asks of a service. It crosses net/rpc. The type name is part
// of the gob encoding.
type Demand struct {
	Workspace structs.WorkspaceName
	// Priority precedes the priority of routes; zero is the highest.
	Priority int
	// Places is the work that is asked for: the number of places that it would take if
	// nothing had to wait.
	Places float64
}

// guaranteedPart is the part of a service's places that is divided by what is asked,
// whatever the priorities are. A workspace is so served at least this part as often as all.
const guaranteedPart = 0.25

// Divide returns which part of what it asks each workspace is due when a service has this
// many places. It answers the load of a service of which more is asked than it can do, by
// many workspaces of which a few are large. A quarter of the places goes to all by what
// they ask; the rest goes to the workspaces of the highest priority first, in equal parts,
// of which a small workspace takes no more than it asks.
func Divide(places float64, demands []Demand) map[structs.WorkspaceName]float64 {
	asked := 0.0
	for _, demand := range demands {
		asked += demand.Places
	}
	due := make(map[structs.WorkspaceName]float64, len(demands))
	guaranteed := min(1, guaranteedPart*places/asked)
	if asked <= places {
		guaranteed = 1
	}
	for _, demand := range demands {
		due[demand.Workspace] = guaranteed
	}
	if guaranteed == 1 {
		return due
	}
	left := places - guaranteed*asked
	ordered := slices.Clone(demands)
	slices.SortFunc(ordered, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Places, b.Places), cmp.Compare(a.Workspace, b.Workspace))
	})
	for len(ordered) > 0 {
		level := ordered
		if end := slices.IndexFunc(ordered, func(d Demand) bool { return d.Priority != ordered[0].Priority }); end > 0 {
			level = ordered[:end]
		}
		ordered = ordered[len(level):]
		for i, demand := range level {
			part := min(left/float64(len(level)-i), demand.Places*(1-guaranteed))
			left -= part
			if demand.Places > 0 {
				due[demand.Workspace] += part / demand.Places
			}
		}
	}
	return due
}

// Pool adds up what the daemons report that workspaces ask of the services. It holds the
// last report of each daemon.
type Pool struct {
	reports map[string]report
}

type report struct {
	at      int64
	demands map[structs.ServiceName][]Demand
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{reports: make(map[string]report)} }

// Record replaces the report of a daemon, and forgets the reports of others that are older
// than oldest. The times are in any unit.
func (p *Pool) Record(daemon string, at, oldest int64, demands map[structs.ServiceName][]Demand) {
	p.reports[daemon] = report{at: at, demands: demands}
	for name, r := range p.reports {
		if r.at < oldest {
			delete(p.reports, name)
		}
	}
}

// Division is a daemon's part of a service of which more is asked than it can do. It crosses
// net/rpc. The type name is part of the gob encoding.
type Division struct {
	// Due is the part of what it asks that each workspace is due.
	Due map[structs.WorkspaceName]float64
	// Places is how many of the places are due to the workspaces by what they ask at this
	// daemon; zero means that there is room for all.
	Places float64
}

// Divide divides the places of a service, and returns the part of a daemon.
func (p *Pool) Divide(daemon string, service structs.ServiceName, places float64) Division {
	demands, asked := p.demands(service), 0.0
	for _, demand := range demands {
		asked += demand.Places
	}
	division := Division{Due: Divide(places, demands)}
	if asked <= places {
		return division
	}
	for _, own := range p.reports[daemon].demands[service] {
		division.Places += division.Due[own.Workspace] * own.Places
	}
	return division
}

// demands returns what is asked of a service at all daemons that have reported.
func (p *Pool) demands(service structs.ServiceName) []Demand {
	sums := make(map[structs.WorkspaceName]Demand)
	for _, r := range p.reports {
		for _, demand := range r.demands[service] {
			demand.Places += sums[demand.Workspace].Places
			sums[demand.Workspace] = demand
		}
	}
	demands := make([]Demand, 0, len(sums))
	for _, demand := range sums {
		demands = append(demands, demand)
	}
	return demands
}
