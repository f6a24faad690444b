package contract

import (
	"context"
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
	// Acquire waits until one request may be sent to a server, for at most patience.
	// It returns at once for a server that names no limit. It fails with code
	// Overloaded, and the time after which the server takes a request, or with the
	// error of ctx.
	Acquire(ctx context.Context, server structs.HostName, patience time.Duration) error
	// HasRoom reports whether Acquire may succeed without patience, as far as that is
	// known. It does not wait.
	HasRoom(server structs.HostName) bool
}
