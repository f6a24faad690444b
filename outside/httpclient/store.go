package httpclient

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Store is a client of the key-value service, the host list and the weight
// store, which share an address. It is safe for concurrent use.
type Store struct {
	base   string
	client *http.Client
}

var (
	_ outside.Store       = (*Store)(nil)
	_ outside.HostList    = (*Store)(nil)
	_ outside.WeightStore = (*Store)(nil)
)

// NewStore returns a client of the services at an IP address and port.
func NewStore(address string, dial DialFunc) *Store {
	return &Store{base: "http://" + address, client: &http.Client{Transport: NewTransport(dial)}}
}

var statusErrors = map[int]error{
	http.StatusNotFound:              outside.ErrNotFound,
	http.StatusConflict:              outside.ErrConflict,
	http.StatusTooManyRequests:       outside.ErrRateLimited,
	http.StatusRequestEntityTooLarge: outside.ErrTooLarge,
	http.StatusGone:                  outside.ErrLeaseLost,
	http.StatusPreconditionFailed:    outside.ErrFenced,
}

// callJSON posts a message, decodes the reply and maps HTTP statuses to the errors
// of package outside.
func callJSON(ctx context.Context, client *http.Client, url string, message, reply any) error {
	status, err := postJSON(ctx, client, url, message, reply)
	if mapped, ok := statusErrors[status]; ok {
		return mapped
	}
	if err != nil {
		return errors.Wrap(outside.ErrUnavailable, err.Error())
	}
	if status != http.StatusOK {
		return errors.Wrapf(outside.ErrUnavailable, "unexpected status %d", status)
	}
	return nil
}

func (s *Store) call(ctx context.Context, path string, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, outside.CallTimeout)
	defer cancel()
	return callJSON(ctx, s.client, s.base+path, message, reply)
}

// callWithWait is call for a request that the service may hold for wait.
func (s *Store) callWithWait(ctx context.Context, wait time.Duration, path string, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return callJSON(ctx, s.client, s.base+path, message, reply)
}

// Get implements outside.Store.
func (s *Store) Get(ctx context.Context, key string) (outside.Entry, error) {
	var entry outside.Entry
	err := s.call(ctx, PathGet, KeyRequest{Key: key}, &entry)
	return entry, err
}

// List implements outside.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]outside.Entry, error) {
	var reply ListReply
	err := s.call(ctx, PathList, KeyRequest{Key: prefix}, &reply)
	return reply.Entries, err
}

// CompareAndSwap implements outside.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected outside.Revision, value []byte, lease outside.LeaseID) (outside.Revision, error) {
	if len(value) > outside.MaxValueBytes {
		return 0, outside.ErrTooLarge
	}
	var reply ConditionalWriteReply
	err := s.call(ctx, PathCompareAndSwap, ConditionalWriteRequest{Key: key, Expected: expected, Value: value, Lease: lease}, &reply)
	return reply.Revision, err
}

// Delete implements outside.Store.
func (s *Store) Delete(ctx context.Context, key string, expected outside.Revision) error {
	return s.call(ctx, PathDelete, ConditionalWriteRequest{Key: key, Expected: expected}, nil)
}

// Grant implements outside.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error) {
	var reply LeaseReply
	err := s.call(ctx, PathGrant, LeaseRequest{TTL: ttl}, &reply)
	return reply.Lease, err
}

// KeepAlive implements outside.Store.
func (s *Store) KeepAlive(ctx context.Context, lease outside.LeaseID) error {
	return s.call(ctx, PathKeepAlive, LeaseRequest{Lease: lease}, nil)
}

// Revoke implements outside.Store.
func (s *Store) Revoke(ctx context.Context, lease outside.LeaseID) error {
	return s.call(ctx, PathRevoke, LeaseRequest{Lease: lease}, nil)
}

// Watch implements outside.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) (outside.Changes, error) {
	var changes outside.Changes
	err := s.callWithWait(ctx, wait, PathWatch, WatchRequest{Prefix: prefix, After: after, Wait: wait}, &changes)
	return changes, err
}

// Hosts implements outside.HostList.
func (s *Store) Hosts(ctx context.Context, zone structs.ZoneName, after uint64, wait time.Duration) (outside.HostSnapshot, error) {
	var snapshot outside.HostSnapshot
	err := s.callWithWait(ctx, wait, PathHosts, HostsRequest{Zone: zone, After: after, Wait: wait}, &snapshot)
	return snapshot, err
}

// Newest implements outside.WeightStore.
func (s *Store) Newest(ctx context.Context, model structs.ServiceName, after structs.WeightVersion, wait time.Duration) (structs.WeightVersion, error) {
	var reply WeightsReply
	err := s.callWithWait(ctx, wait, PathWeights, WeightsRequest{Model: model, After: after, Wait: wait}, &reply)
	return reply.Version, err
}
