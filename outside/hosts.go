package outside

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// HostSnapshot are what a call to the host list returns.
type HostSnapshot struct {
	Servers []structs.BackendServer `json:"servers"`
	// Revision is the revision to pass to the next call.
	Revision uint64 `json:"through"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts waits until the list is newer than a revision, and returns the
	// whole list of a zone; an empty zone means all zones. After wait it
	// returns no servers and the revision that it was asked about.
	Hosts(ctx context.Context, zone structs.ZoneName, after uint64, wait time.Duration) (HostSnapshot, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Newest waits until a model has a newer version than after, or for
	// wait, and returns the newest version.
	Newest(ctx context.Context, model structs.ServiceName, after structs.WeightVersion, wait time.Duration) (structs.WeightVersion, error)
}
