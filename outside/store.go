package outside

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the key-value service. Of these only ErrUnavailable leaves open
// whether a write took effect.
var (
	// ErrNotFound means that there is no value under the key.
	ErrNotFound = errors.New("store: no value under this key")
	// ErrConflict means that the value has another revision than expected,
	// so that nothing was written.
	ErrConflict = errors.New("store: the value has another revision")
	// ErrRateLimited means that the service refused the call unread.
	ErrRateLimited = errors.New("store: too many calls")
	// ErrTooLarge means that the value is over the service's limit.
	ErrTooLarge = errors.New("store: the value is too large")
	// ErrLeaseLost means that the lease has lapsed or was never granted.
	ErrLeaseLost = errors.New("store: the lease has lapsed")
	// ErrFenced means that an order bore an older term than one before it.
	ErrFenced = errors.New("engine: the order's term is too old")
	// ErrRefused means that the service did nothing, because it is overloaded
	// or down.
	ErrRefused = errors.New("store: the call was refused")
	// ErrCompacted means that the history after a revision is gone.
	ErrCompacted = errors.New("store: the history was compacted")
	// ErrUnavailable means that no answer came; a write may have taken
	// effect.
	ErrUnavailable = errors.New("store: no answer")
)

// MaxValueBytes is the largest value that the key-value service holds, in bytes.
const MaxValueBytes = 1 << 20

// Revision numbers the writes of the key-value service; it only grows. Zero
// stands for a key without a value.
type Revision uint64

// LeaseID names a lease; zero stands for none.
type LeaseID uint64

// Entry is a value and the revision of its last write. A deleted key has a
// nil value in a watch.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Changes are what a watch returns.
type Changes struct {
	Entries []Entry `json:"entries"`
	// Revision is the revision to pass to the next watch.
	Revision Revision `json:"through"`
}

// Store is the platform's key-value service. Each call counts against its
// rates, a waiting watch as one.
type Store interface {
	// Get returns the value under a key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the values whose keys begin with a prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes a value if the key's revision is the expected
	// one, zero meaning that there must be none. With a lease the value is
	// deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes a value if its revision is the expected one.
	Delete(ctx context.Context, key string, expected Revision) error
	// Grant makes a lease that ends after ttl without KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts a lease's ttl or fails with ErrLeaseLost.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key under prefix was written after a revision, or
	// for wait, and returns the newest value of each such key.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}
