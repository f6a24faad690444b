package outside

import (
	"context"
	"time"
)

// Record is a value of the platform's store with what the store says of it.
type Record struct {
	Key   string
	Value []byte
	// Revision is that of the last write, Created that of the first one since
	// the key was last absent.
	Revision Revision
	Created  Revision
	// Removed is set on a deletion that a watch reports; Value is nil then.
	Removed bool
}

// Condition requires a key to have a revision; zero requires it to be absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Write puts a value under a key. With a lease the key goes when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is applied whole or not at all. It holds at most 32 entries.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Listing is one consistent-enough view of a prefix: its pages are not one
// snapshot, and AsOf is the revision of the first page, from which a watch may
// go on without missing a change.
type Listing struct {
	Records []Record
	AsOf    Revision
}

// TransactionalStore is a store that writes several keys under conditions in one step. Its
// errors are those of Store; ErrCompacted asks for a new List.
type TransactionalStore interface {
	// Get returns the record under a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns every record under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits until something under a prefix changed after a revision.
	// The changes come in order; the revision is the one to go on from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Record, Revision, error)
	// Commit applies a transaction. ErrConflict and ErrLeaseLost mean that it
	// was not applied, as do ErrRefused and ErrRateLimited; after
	// ErrUnavailable it may have been or may still be.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
	// Grant makes a lease and returns the ttl that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive restarts a lease's ttl, or fails with ErrLeaseLost.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
