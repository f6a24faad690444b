// Package journal decides whether a submission may run, so that each
// idempotency key runs at most once. Keys are hashed into buckets. Each bucket
// has one owner at a time, which records an intent before it sends the first
// byte of a submission to a backend server, and the outcome afterwards.
//
// The state of a bucket is a small head value, changed only by compare-and-swap
// on its revision, and the immutable segments that the head refers to. Only the
// head fences: once a new owner has changed it, every write of a former owner
// fails.
package journal

import (
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// BucketCount is the number of buckets of the whole service. Together with the
// spacing of GroupCommit it bounds the write rate of all daemons.
const BucketCount = 16

// Bucket is the number of a bucket, from zero.
type Bucket uint32

// Key identifies a submission.
type Key struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	// Name is the Idempotency-Key of the caller.
	Name string `json:"name"`
}

// Bucket returns the bucket that the key belongs to.
func (k Key) Bucket() Bucket {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(k.Workspace))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(k.Name)
	return Bucket(digest.Sum64() % BucketCount)
}

// Fingerprint distinguishes different requests that carry the same key.
type Fingerprint string

// fingerprintBytes is the length to which the SHA-256 sum is truncated.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request path and body.
func FingerprintOf(path string, body []byte) Fingerprint {
	hash := sha256.New()
	_, _ = hash.Write([]byte(path))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body)
	return Fingerprint(fmt.Sprintf("%x", hash.Sum(nil)[:fingerprintBytes]))
}
