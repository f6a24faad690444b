package contract

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/shutdown"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameShutdown offers Shutdown.
const NameShutdown kernel.Name = "process.shutdown"

// Shutdown holds the schedule of the planned stop of this process. Its methods may be
// called from any goroutine.
type Shutdown interface {
	// Begin sets the schedule of a stop that was requested at a time and returns it.
	// Only the first call has an effect.
	Begin(requested time.Time) shutdown.Schedule
	// Schedule returns the schedule. A stop that has not begun begins now.
	Schedule() shutdown.Schedule
}
