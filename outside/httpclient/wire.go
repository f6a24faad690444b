package httpclient

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Paths of the platform's HTTP interfaces. Each takes a POST request with a JSON
// message.
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

// KeyRequest requests a key, or the keys under a prefix.
type KeyRequest struct {
	Key string `json:"key"`
}

// ConditionalWriteRequest requests a conditional write or deletion of a key.
type ConditionalWriteRequest struct {
	Key      string           `json:"key"`
	Expected outside.Revision `json:"expected"`
	Value    []byte           `json:"value,omitempty"`
	Lease    outside.LeaseID  `json:"lease,omitempty"`
}

// ConditionalWriteReply holds the new revision of the key.
type ConditionalWriteReply struct {
	Revision outside.Revision `json:"revision"`
}

// ListReply holds the entries of a list.
type ListReply struct {
	Entries []outside.Entry `json:"entries"`
}

// LeaseRequest grants a lease with a TTL, or renews or revokes a lease.
type LeaseRequest struct {
	Lease outside.LeaseID `json:"lease,omitempty"`
	TTL   time.Duration   `json:"ttl,omitempty"`
}

// LeaseReply holds the ID of a granted lease.
type LeaseReply struct {
	Lease outside.LeaseID `json:"lease"`
}

// WatchRequest waits for writes under a prefix after a revision.
type WatchRequest struct {
	Prefix string           `json:"prefix"`
	After  outside.Revision `json:"after"`
	Wait   time.Duration    `json:"wait"`
}

// HostsRequest waits for a newer host list of a zone; an empty zone means all
// zones.
type HostsRequest struct {
	Zone  structs.ZoneName `json:"zone,omitempty"`
	After uint64           `json:"after"`
	Wait  time.Duration    `json:"wait"`
}

// WeightsRequest waits for a newer weight version of a model.
type WeightsRequest struct {
	Model structs.ServiceName   `json:"model"`
	After structs.WeightVersion `json:"after"`
	Wait  time.Duration         `json:"wait"`
}

// WeightsReply holds the newest weight version.
type WeightsReply struct {
	Version structs.WeightVersion `json:"version"`
}

// CancelRequest cancels a stream.
type CancelRequest struct {
	ID string `json:"id"`
}

// OrderReply holds the weight version that the engine runs.
type OrderReply struct {
	Version structs.WeightVersion `json:"version"`
}
