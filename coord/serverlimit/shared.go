package serverlimit

import (
	"maps"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
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
	ownPart    = 0.1
	// forgetAfter is how long a bucket is kept that nobody uses.
	forgetAfter = time.Minute
)

// OwnRate returns the rate of a daemon that does not reach the one which hands out the
// requests, in requests a second, where as many daemons are live. Its bucket must begin
// empty when it loses that daemon.
func OwnRate(limit float64, daemons int) float64 {
	return ownPart * max(limit, minLimit) / float64(max(1, daemons))
}

// Shared hands out the requests that servers with a limit take. It is not safe for
// concurrent use.
type Shared struct {
	buckets map[structs.HostName]*Bucket
}

// NewShared returns a Shared that has handed out nothing. Its buckets begin empty, as
// another daemon may have handed out requests until just now.
func NewShared() *Shared { return &Shared{buckets: make(map[structs.HostName]*Bucket)} }

// Take takes one request to a server with the given limit, in requests a second, that
// may be sent after at most patience. It returns the time until it may be sent, and
// whether it took one; if not, the time until there is one.
func (s *Shared) Take(now time.Time, server structs.HostName, limit float64, patience time.Duration) (time.Duration, bool) {
	bucket := s.buckets[server]
	if bucket == nil {
		s.forgetUnused(now)
		bucket = &Bucket{}
		s.buckets[server] = bucket
	}
	bucket.SetRate(now, sharedPart*max(limit, minLimit))
	return bucket.Take(now, patience)
}

func (s *Shared) forgetUnused(now time.Time) {
	maps.DeleteFunc(s.buckets, func(_ structs.HostName, b *Bucket) bool { return now.Sub(b.last) > forgetAfter })
}
