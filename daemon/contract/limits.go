package contract

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameServerLimits offers ServerLimits.
const NameServerLimits kernel.Name = "traffic.limits"

// ServerLimits keeps to the limits of requests a second that backend servers name. Its
// methods may be called from any goroutine.
type ServerLimits interface {
	// Observe records the limit that a response names, in requests a second from all
	// daemons together, or that it names none, which a negative limit means. The
	// request was sent at the given time.
	Observe(server structs.HostName, limit float64, sentAt time.Time)
}
