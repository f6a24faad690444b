package contract

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// FleetLoad is the work of the services with a variable number of servers at one owner of
// batch jobs. It crosses net/rpc. The type name is part of the gob encoding.
type FleetLoad struct {
	// Owner is the name of the daemon that owns the jobs.
	Owner    string
	Services []ServiceLoad
}

// ServiceLoad is the work of one service. It crosses net/rpc.
type ServiceLoad struct {
	Service structs.ServiceName
	// Open is the time for which the unfinished items will still occupy one slot of a
	// server, and Running the number of those that are running.
	Open    time.Duration
	Running int
	Steps   []StepLoad
}

// StepLoad is the work of a trainer's step. It crosses net/rpc.
type StepLoad struct {
	Model  structs.ServiceName
	Number uint64
	// Work is the time for which the whole step occupies one slot of a server.
	Work time.Duration
	// Age is the time since the step was submitted, and Due the time from then until its
	// results are due.
	Age, Due time.Duration
}

// FleetSize orders servers according to the work.
type FleetSize interface {
	// RecordLoad passes the work of this daemon's jobs to the holder of the duties. It
	// must be called on the control goroutine.
	RecordLoad(services []ServiceLoad)
}
