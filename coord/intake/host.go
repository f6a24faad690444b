package intake

import "time"

const (
	// bytesPart is the part of a host's memory that may be held for clients. The garbage
	// collector keeps the process to twice that, with the daemon's own work in it.
	bytesPart = 0.3
	// workPart is the part for accepted batch jobs.
	workPart = 0.1
	// connectionBytes is the memory of a connection without a request, and
	// connectionsPart the part of a host's memory for all of them.
	connectionBytes = 12 << 10
	connectionsPart = 0.1
	// platformDescriptors are kept from sockets by the platform.
	platformDescriptors = 200
	// The parts of the other descriptors. What is left is for the store, for idle
	// connections to servers and for the runs of batch jobs.
	callersPart  = 0.45
	requestsPart = 0.3
	peersPart    = 0.04
	probesPart   = 0.01
	// minPeers and minProbes are the fewest connections of a door.
	minPeers  = 16
	minProbes = 8
)

// DefaultStalledAfter is longer than the pause of a sound client on a lossy link: a lost
// packet is sent again after at most a second.
const DefaultStalledAfter = 1200 * time.Millisecond

// Door is a way by which clients reach a daemon.
type Door uint8

// The doors.
const (
	// DoorCallers is for callers and trainers.
	DoorCallers Door = iota
	// DoorRelay is for requests that other daemons pass on, and DoorCalls for their calls.
	DoorRelay
	DoorCalls
	// DoorProbes is for the probes of a load balancer, and DoorMetrics for the metrics.
	DoorProbes
	DoorMetrics
)

// BudgetOf returns what a host with this much memory, in bytes, and so many descriptors
// may hold for its clients.
func BudgetOf(memory int64, descriptors int) Budget {
	sockets := max(0, descriptors-platformDescriptors)
	return Budget{
		Bytes:        int64(bytesPart * float64(memory)),
		Connections:  max(minPeers, min(int(callersPart*float64(sockets)), int(connectionsPart*float64(memory)/connectionBytes))),
		Requests:     max(minPeers, int(requestsPart*float64(sockets))),
		Work:         int64(workPart * float64(memory)),
		StalledAfter: DefaultStalledAfter,
	}
}

// ConnectionsAt returns how many connections a door has on a host with so many
// descriptors.
func (b Budget) ConnectionsAt(door Door, descriptors int) int {
	sockets := float64(max(0, descriptors-platformDescriptors))
	switch door {
	case DoorRelay, DoorCalls:
		return max(minPeers, int(peersPart*sockets))
	case DoorProbes, DoorMetrics:
		return max(minProbes, int(probesPart*sockets))
	}
	return b.Connections
}
