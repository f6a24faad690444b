package outside

import (
	"context"
	"time"
)

// Record is a key of the transactional store with its value and metadata.
type Record struct {
	Key   string
	Value []byte
	// Revision is the revision of the last write. Created is the revision of the
	// write that created the key.
	Revision Revision
	Created  Revision
	// Removed is set if a watch reports a deletion; Value is nil then.
	Removed bool
}

// Condition requires a key to have a revision; zero requires that the key does
// not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write stores a value under a key. With a lease, the store deletes the key when
// the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is applied atomically. It holds at most 32 entries.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Listing holds the records under a prefix. It is not a snapshot, because its
// pages may have different revisions. AsOf is the revision of the first page: a
// watch that starts there misses no change.
type Listing struct {
	Records []Record
	AsOf    Revision
}

// TransactionalStore is the platform's key-value store, which writes several keys
// atomically under conditions. Its errors are those of Store. After ErrCompacted
// the caller must call List again.
type TransactionalStore interface {
	// Get returns the record under a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns every record under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListStale is List from a copy that may lag by seconds, at a fraction of the
	// price. Watch returns what the copy lacks after the revision of the listing.
	ListStale(ctx context.Context, prefix string) (Listing, error)
	// Watch waits, at most for wait, until keys under a prefix change after a
	// revision. It returns the changes in order and the revision for the next
	// call.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Record, Revision, error)
	// Commit applies a transaction and returns its revision. ErrConflict,
	// ErrLeaseLost, ErrRefused and ErrRateLimited mean that it was not applied.
	// After ErrUnavailable it may have been applied or may still be.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
	// Grant creates a lease and returns its effective TTL.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive restarts the TTL of a lease, or fails with ErrLeaseLost.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
