// Package serverlimit decides how daemons keep together to the limits of requests a
// second that backend servers in need name in their responses. One daemon hands out the
// requests that a server takes, one by one, to all that have some for it; a daemon that
// does not reach that one has a small part of the limit to itself. It answers the load of
// many daemons that send to a few servers whose limits are below the demand.
package serverlimit

import (
	"maps"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/tokenbucket"
)

const (
	// minLimit is the lowest limit that is kept to, in requests a second: only the
	// response to a request shows that a limit no longer holds.
	minLimit = 0.25
	// sharedPart is the part of a limit that is handed out request by request, and
	// ownPart the part that the daemons which do not reach that place have together.
	// Over four seconds their sum and the collected tokens stay within one and a half
	// times the limit.
	sharedPart = 1.0
	ownPart    = 0.3
	// minBurst is the smallest number of requests that may be sent at once after a
	// pause, and burstTime the time in which as many are handed out at a high limit. The
	// items of a step arrive together.
	minBurst  = 2
	burstTime = 1500 * time.Millisecond
	// forgetAfter is how long a bucket is kept that nobody uses.
	forgetAfter = time.Minute
)

func setRate(bucket *tokenbucket.Bucket, now time.Time, rate float64) {
	bucket.SetRate(now, rate, tokenbucket.Capacity(rate, burstTime, minBurst))
}

// TakeOwn takes one request to a server from the part of its limit that a daemon has to
// itself while it does not reach the one which hands out the requests, where as many
// daemons are live. The bucket must be empty when the daemon loses that one. The results
// are those of Shared.Take.
func TakeOwn(bucket *tokenbucket.Bucket, now time.Time, limit float64, daemons int, patience time.Duration) (time.Duration, bool) {
	setRate(bucket, now, ownPart*max(limit, minLimit)/float64(max(1, daemons)))
	return bucket.Take(now, patience)
}

// Shared hands out the requests that servers with a limit take. It is not safe for
// concurrent use.
type Shared struct {
	buckets map[structs.HostName]*tokenbucket.Bucket
}

// NewShared returns a Shared that has handed out nothing. Its buckets begin empty, as
// another daemon may have handed out requests until just now.
func NewShared() *Shared { return &Shared{buckets: make(map[structs.HostName]*tokenbucket.Bucket)} }

// Take takes one request to a server with the given limit, in requests a second, that
// may be sent after at most patience. It returns the time until it may be sent, and
// whether it took one; if not, the time until there is one.
func (s *Shared) Take(now time.Time, server structs.HostName, limit float64, patience time.Duration) (time.Duration, bool) {
	bucket := s.buckets[server]
	if bucket == nil {
		s.forgetUnused(now)
		bucket = &tokenbucket.Bucket{}
		s.buckets[server] = bucket
	}
	setRate(bucket, now, sharedPart*max(limit, minLimit))
	return bucket.Take(now, patience)
}

func (s *Shared) forgetUnused(now time.Time) {
	maps.DeleteFunc(s.buckets, func(_ structs.HostName, b *tokenbucket.Bucket) bool { return now.Sub(b.RefilledAt()) > forgetAfter })
}
