package placement

import (
	"math"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
)

const (
	// sharedConnections is the part of a server's maximum of connections that all daemons
	// may keep together. The rest is for requests beyond their parts, which close theirs,
	// and for daemons that have just come.
	sharedConnections = 0.8
	// itemConnections is the part of an engine's maximum that the owners of batch jobs keep
	// for items, out of the shared one.
	itemConnections = 0.3
)

// ConnectionPart returns how many connections to a server of a service one of a number of
// live daemons may keep. It answers the load of many daemons before few servers, each of
// which takes a limited number of connections from all callers together and resets others.
// Owners, of which there is one for each model, need more to engines than other daemons do.
func ConnectionPart(service catalog.Service, daemons int, forItems bool) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt
	}
	maximum, each := float64(service.MaxConnections), float64(max(1, daemons))
	if service.Engine == nil {
		return int(sharedConnections * maximum / each)
	}
	part := (sharedConnections - itemConnections) * maximum / each
	if forItems {
		part += itemConnections * maximum / float64(max(1, len(service.Engine.Models)))
	}
	return int(part)
}
