// Package journal decides how submissions run at most once. The keys of
// submissions are spread over buckets. Each bucket has one owner at a time,
// which records an intent before the first byte of a submission leaves for a
// backend server, and the outcome after it.
//
// The state of a bucket is a small head value, which is changed only by
// compare-and-swap on its revision, and immutable segments to which the head
// points. The head alone fences: once a new owner has changed it, every write
// of a former owner fails.
package journal

import (
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// BucketCount is the count of buckets of the whole service. With the spacing of
// GroupCommit it bounds the writes of all daemons together.
const BucketCount = 16

// Bucket numbers a bucket, from zero.
type Bucket uint32

// Key names a submission.
type Key struct {
	Workspace structs.WorkspaceName `json:"workspace"`
	// Name is the caller's Idempotency-Key.
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

// Fingerprint tells two requests with one key apart.
type Fingerprint string

// fingerprintBytes is how much of the SHA-256 sum a fingerprint keeps.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(path string, body []byte) Fingerprint {
	hash := sha256.New()
	_, _ = hash.Write([]byte(path))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body)
	return Fingerprint(fmt.Sprintf("%x", hash.Sum(nil)[:fingerprintBytes]))
}
