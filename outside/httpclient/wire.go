package httpclient

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// The paths of the platform's HTTP interfaces, each called by POST with the
// message of the same name.
const (
	PathGet            = "/v1/kv/get"
	PathList           = "/v1/kv/list"
	PathCompareAndSwap = "/v1/kv/compare-and-swap"
	PathDelete         = "/v1/kv/delete"
	PathGrant          = "/v1/lease/grant"
	PathKeepAlive      = "/v1/lease/keep-alive"
	PathRevoke         = "/v1/lease/revoke"
	PathWatch          = "/v1/kv/watch"
	PathHosts          = "/v1/hosts"
	PathWeights        = "/v1/weights/newest"
	PathGenerate       = "/v1/generate"
	PathCancel         = "/v1/cancel"
	PathLoad           = "/v1/load"
	PathOrder          = "/v1/order"
)

// KeyRequest asks for a key or the keys under a prefix.
type KeyRequest struct {
	Key string `json:"key"`
}

// ConditionalWriteRequest asks for a conditional write or delete.
type ConditionalWriteRequest struct {
	Key      string           `json:"key"`
	Expected outside.Revision `json:"expected"`
	Value    []byte           `json:"value,omitempty"`
	Lease    outside.LeaseID  `json:"lease,omitempty"`
}

// ConditionalWriteReply gives the new revision.
type ConditionalWriteReply struct {
	Revision outside.Revision `json:"revision"`
}

// ListReply gives entries.
type ListReply struct {
	Entries []outside.Entry `json:"entries"`
}

// LeaseRequest asks about a lease.
type LeaseRequest struct {
	Lease outside.LeaseID `json:"lease,omitempty"`
	TTL   time.Duration   `json:"ttl,omitempty"`
}

// LeaseReply names a lease.
type LeaseReply struct {
	Lease outside.LeaseID `json:"lease"`
}

// WatchRequest waits for writes under a prefix.
type WatchRequest struct {
	Prefix string           `json:"prefix"`
	After  outside.Revision `json:"after"`
	Wait   time.Duration    `json:"wait"`
}

// HostsRequest waits for a newer host list.
type HostsRequest struct {
	Zone  structs.ZoneName `json:"zone,omitempty"`
	After uint64           `json:"after"`
	Wait  time.Duration    `json:"wait"`
}

// WeightsRequest waits for a newer version.
type WeightsRequest struct {
	Model structs.ServiceName   `json:"model"`
	After structs.WeightVersion `json:"after"`
	Wait  time.Duration         `json:"wait"`
}

// WeightsReply gives the newest version.
type WeightsReply struct {
	Version structs.WeightVersion `json:"version"`
}

// CancelRequest ends a stream.
type CancelRequest struct {
	ID string `json:"id"`
}

// OrderReply gives the version that an engine runs.
type OrderReply struct {
	Version structs.WeightVersion `json:"version"`
}
