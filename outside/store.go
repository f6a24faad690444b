package outside

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the key-value service, the transactional store and engines. Only
// ErrUnavailable leaves open whether a write took effect.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that a key does not have the expected revision and that
	// nothing was written.
	ErrConflict = errors.New("store: revision mismatch")
	// ErrRateLimited means that the service rejected the call without processing
	// it.
	ErrRateLimited = errors.New("store: rate limit exceeded")
	// ErrTooLarge means that the value exceeds the service's limit.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseLost means that the lease has expired or was never granted.
	ErrLeaseLost = errors.New("store: lease expired")
	// ErrFenced means that an earlier order had a newer term.
	ErrFenced = errors.New("engine: stale term")
	// ErrRefused means that the service is overloaded or down and did nothing.
	ErrRefused = errors.New("store: request refused")
	// ErrCompacted means that the history after the requested revision is no
	// longer available.
	ErrCompacted = errors.New("store: history compacted")
	// ErrUnavailable means that no complete response arrived; a write may have
	// taken effect.
	ErrUnavailable = errors.New("store: no response")
)

// MaxValueBytes is the maximum size of a value of the key-value service, in bytes.
const MaxValueBytes = 1 << 20

// Revision is the number of a write; revisions only increase. Zero stands for a
// key that does not exist.
type Revision uint64

// LeaseID identifies a lease; zero stands for none.
type LeaseID uint64

// Entry is a key with its value and the revision of its last write. In a watch a
// deleted key has a nil value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Changes is the result of a watch.
type Changes struct {
	Entries []Entry `json:"entries"`
	// Revision is the argument for the next watch.
	Revision Revision `json:"through"`
}

// Store is the platform's key-value service. Each call counts against its rate
// limits; a watch counts as one call.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with a prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes a value if the key has the expected revision, where
	// zero means that the key must not exist. It returns the new revision. With a
	// lease, the key is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete deletes a key if it has the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// Grant creates a lease that expires ttl after the last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the TTL of a lease, or fails with ErrLeaseLost.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits, at most for wait, until keys under prefix are written after a
	// revision, and returns the newest value of each of them.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}
