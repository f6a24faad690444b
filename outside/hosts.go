package outside

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// HostSnapshot is the host list of a zone at a revision.
type HostSnapshot struct {
	Servers []structs.BackendServer `json:"servers"`
	// Revision is the argument for the next call.
	Revision uint64 `json:"through"`
}

// HostList is the platform's list of live and draining hosts. It lags behind
// their state.
type HostList interface {
	// Hosts waits until the list is newer than the revision after, and returns
	// all hosts of a zone; an empty zone means all zones. If nothing changes
	// within wait, it returns no servers and the same revision.
	Hosts(ctx context.Context, zone structs.ZoneName, after uint64, wait time.Duration) (HostSnapshot, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Newest waits until a model has a newer version than after, at most for
	// wait, and returns the newest version.
	Newest(ctx context.Context, model structs.ServiceName, after structs.WeightVersion, wait time.Duration) (structs.WeightVersion, error)
}
